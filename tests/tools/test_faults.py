import json
import os
import subprocess
import sys

TESTS = """
import pytest

@pytest.mark.fault("silence", step="step {number}", fault="broken")
@pytest.mark.parametrize("number", [1, 2])
def test_number(number):
    assert number == 1

@pytest.mark.fault("orders", step="read")
def test_what_is_skipped():
    pytest.skip("not now")

@pytest.mark.fault("crashes", step="end")
def test_whose_clean_up_fails(request):
    request.addfinalizer(lambda: 1 / 0)

def test_without_a_row():
    assert False
"""


class TestFaultMatrix:
    def test_every_row_counts_once_and_only_a_full_pass_passes(self, tmp_path):
        """Guards against a matrix that counts skipped or failed rows as passed."""
        (tmp_path / "pytest.ini").write_text("[pytest]\nmarkers = fault: a row\n")
        (tmp_path / "test_rows.py").write_text(TESTS)
        output = tmp_path / "faults.json"
        command = [sys.executable, "-m", "chivesaddle.tools.faults"]
        command += ["--tests", str(tmp_path), "--output", str(output)]
        done = subprocess.run(
            command,
            capture_output=True,
            text=True,
            cwd=tmp_path,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, sys.path))},
            timeout=60,
        )
        assert done.returncode == 1
        assert done.stdout.splitlines()[-1] == "1 passed, 3 failed"
        assert "no row for property leaving" in done.stderr
        rows = json.loads(output.read_text())
        cells = [(r["property"], r["step"], r["fault"], r["verdict"]) for r in rows]
        assert cells == [
            ("orders", "read", "what is skipped", "failed"),
            ("crashes", "end", "whose clean up fails", "failed"),
            ("silence", "step 1", "broken", "passed"),
            ("silence", "step 2", "broken", "failed"),
        ]
