"""Successors that are silent beside a silent server."""

from .test_silent_servers import (
    MAX_GAP_S,
    advance,
    start_stream,
)

# Two servers must not work on one request for longer.
MAX_OVERLAP_S = 0.4


class TestSuccessorWithOtherRequests:
    def test_does_not_work_on_the_request_for_longer(self, harness):
        """Its other request has been sent just before, so that it is not silent."""
        callers = [harness.caller() for _ in range(2)]
        harness.servers.get("i-2").ejected_until = 1e9
        server = start_stream(harness, callers[0])
        harness.servers.get("i-2").ejected_until = 0.0
        advance(harness, MAX_GAP_S - 0.2)
        harness.servers.get("i-1").ejected_until = 1e9
        callers[1].request("/safe/x", "a2")
        harness.servers.get("i-1").ejected_until = 0.0
        advance(harness, 0.2)
        harness.advance(0.01)
        both = [
            connection
            for connection in harness.connections
            if connection.request_id == server.request_id
            and not connection.transport.is_lost
        ]
        assert len(both) == 2
        for _ in range(round(MAX_OVERLAP_S / 0.05) + 1):
            harness.advance(0.05)
        harness.advance()
        assert sum(not connection.transport.is_lost for connection in both) == 1
