import httpx
import pytest

from chivesaddle.standins.blocks import BLOCK_BYTES
from chivesaddle.tools.demo import PROMPT_BYTES, prompt_text, sse_values
from chivesaddle.tools.processes import ToolError


def stream_response(*lines):
    return httpx.Response(200, text="\n\n".join(lines) + "\n\n")


class TestPromptText:
    def test_prompts_have_one_size_and_share_no_block(self):
        """Guards against an uncached request that reuses blocks of the first one."""
        first, other = prompt_text("Course handbook"), prompt_text("Unknown handbook 0")
        assert len(first.encode()) == len(other.encode()) == PROMPT_BYTES
        assert first[:BLOCK_BYTES] != other[:BLOCK_BYTES]


class TestSseValues:
    def test_values_end_at_done(self):
        values = sse_values(
            stream_response('data: {"a": 1}', 'data: {"a": 2}', "data: [DONE]")
        )
        assert [value["a"] for value in values] == [1, 2]

    @pytest.mark.parametrize("last", [": comment", 'data: {"error": {"code": "x"}}'])
    def test_truncated_or_failed_stream_is_reported(self, last):
        """Guards against a truncated response that is measured as a fast one."""
        with pytest.raises(ToolError):
            list(sse_values(stream_response('data: {"a": 1}', last)))
