import json
import subprocess
import sys
from pathlib import Path

import chivesaddle

SCRIPT = Path(__file__).parent / "two_daemons.py"


class TestGrpc:
    def test_two_daemons_work_together_over_sockets(self):
        """Covers what fakes replace elsewhere: channels, server and event loop.

        Runs in a subprocess, because a process can install only one reactor.
        """
        process = subprocess.run(
            [sys.executable, str(SCRIPT)],
            env={"PYTHONPATH": str(Path(chivesaddle.__file__).parents[1])},
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert process.stdout, process.stderr
        assert json.loads(process.stdout) == {
            "missed": [],
            "suspects": ["fp"],
            "status": ["a", "b"],
            "events": ["b"],
            "missing_after_stop": ["b"],
            "silent": "PeerUnreachable",
            "bytes": True,
        }
