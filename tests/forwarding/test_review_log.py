"""Log lines of requests that stay at a silent server."""

from .test_silent_servers import (
    MAX_GAP_S,
    NOT_RUN,
    advance,
    go_on,
    is_whole,
    later_connections,
    start_stream,
)


class TestLogOfARequestThatStays:
    def test_names_the_server_that_answered(self, harness, caller, caplog):
        """Guards against incidents that are traced to another server."""
        caplog.set_level("INFO")
        server = start_stream(harness, caller)
        name = server.header("x-chivesaddle-expected-instance")
        advance(harness, MAX_GAP_S + 0.1)
        (other,) = later_connections(harness)
        other.respond(503, extra_header=NOT_RUN)
        advance(harness, 0.1)
        go_on(server)
        assert is_whole(caller)
        (line,) = [r for r in caplog.records if r.getMessage().endswith("answered")]
        assert line.server == name
