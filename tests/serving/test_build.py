"""The id of the build in the log."""

import subprocess
import sys
from pathlib import Path

from chivesaddle.serving.build import NOT_BUILT, read_build_id

SCRIPT = Path(__file__).parents[2] / "deploy" / "build_id.py"


def test_is_read_as_the_build_wrote_it(tmp_path):
    """Guards against logs that do not tell which sources run."""
    written = tmp_path / "build"
    subprocess.run([sys.executable, str(SCRIPT), str(written)], check=True)
    assert read_build_id(written) == written.read_text() != NOT_BUILT


def test_of_sources_that_were_not_built_is_named_as_such(tmp_path):
    """Guards against a daemon that does not start without a build."""
    assert read_build_id(tmp_path / "none") == NOT_BUILT
    (tmp_path / "odd").write_bytes(b"\xff")
    assert read_build_id(tmp_path / "odd") == NOT_BUILT
