import pytest

from chivesaddle.engines import EngineProtocolError
from chivesaddle.engines.sse import MAX_EVENT_BYTES, EventSplitter

EVENTS = [b'data: {"a": "\xc3\xb5"}\n\n', b": note\n\n", b"data: [DONE]\n\n"]


class TestEventSplitter:
    @pytest.mark.parametrize("size", [1, 2, 3, 7])
    @pytest.mark.parametrize("newline", [b"\n", b"\r\n"])
    def test_events_do_not_depend_on_how_the_data_is_split(self, size, newline):
        """Guards against events lost or joined when a segment ends inside one."""
        data = b"".join(EVENTS).replace(b"\n", newline)
        splitter = EventSplitter()
        found = []
        for start in range(0, len(data), size):
            found += splitter.feed(data[start : start + size])
        assert found == EVENTS

    def test_an_event_above_the_size_limit_is_rejected(self):
        """Guards against unbounded memory use by an event that does not end."""
        with pytest.raises(EngineProtocolError):
            EventSplitter().feed(b"x" * (MAX_EVENT_BYTES + 1))
