"""Timers of requests that have ended."""

from .test_silent_servers import (
    MAX_GAP_S,
    NOT_RUN,
    advance,
    go_on,
    is_whole,
    start_stream,
)


class TestTimersOfAHandover:
    def test_none_is_left_after_the_end(self, harness, caller):
        """Guards against timers that keep ended requests in memory."""
        harness.add_server(3)
        server = start_stream(harness, caller)
        advance(harness, MAX_GAP_S + 0.1)
        harness.connections[1].respond(503, extra_header=NOT_RUN)
        for _ in range(27):
            harness.advance(0.01)
        go_on(server)
        harness.advance()
        assert is_whole(caller)
        names = [
            getattr(call.func, "__qualname__", "")
            for call in harness.reactor.clock.getDelayedCalls()
        ]
        assert not [name for name in names if name.startswith("Handover")]
