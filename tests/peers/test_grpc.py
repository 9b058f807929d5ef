import json
import subprocess
import sys
from pathlib import Path

import chivesaddle

SCRIPT = Path(__file__).parent / "two_daemons.py"


class TestGrpc:
    def test_two_daemons_work_together_over_sockets(self):
        """Guards the parts that fakes replace: channels, server and the event loop.

        A process of its own, because the reactor can be installed only once.
        """
        done = subprocess.run(
            [sys.executable, str(SCRIPT)],
            env={"PYTHONPATH": str(Path(chivesaddle.__file__).parents[1])},
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert done.stdout, done.stderr
        assert json.loads(done.stdout) == {
            "missed": [],
            "suspects": ["fp"],
            "status": ["a", "b"],
            "events": ["b"],
            "missing_after_stop": ["b"],
            "silent": "PeerUnreachable",
            "bytes": True,
        }
