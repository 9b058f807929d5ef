import re
import shlex
from pathlib import Path

import pytest
from typer.testing import CliRunner

from chivesaddle.cli.app import app

ROOT = Path(__file__).parent.parent
README = (ROOT / "README.md").read_text()
TARGETS = sorted(set(re.findall(r"^    make ([\w-]+)", README, re.MULTILINE)))
COMMANDS = re.findall(r"^    \.venv/bin/chivesaddle (.+)$", README, re.MULTILINE)


class TestReadme:
    """Guards against a README whose commands no longer exist."""

    def test_commands_were_found(self):
        assert len(TARGETS) >= 5 and len(COMMANDS) >= 4

    @pytest.mark.parametrize("target", TARGETS)
    def test_make_target_exists(self, target):
        assert re.search(rf"^{target}:", (ROOT / "Makefile").read_text(), re.MULTILINE)

    @pytest.mark.parametrize("line", COMMANDS)
    def test_command_line_is_accepted(self, line):
        # Unknown commands and options fail before the help is shown.
        result = CliRunner().invoke(app, [*shlex.split(line), "--help"])
        assert result.exit_code == 0, result.output

    @pytest.mark.parametrize(
        "link", sorted(set(re.findall(r"\]\(([\w./-]+\.md)\)", README)))
    )
    def test_linked_page_exists(self, link):
        assert (ROOT / link).exists()
