"""Successors whose response is empty or cut."""

import pytest
from twisted.internet.error import ConnectionDone

from .test_silent_servers import (
    EVENT_1,
    MAX_GAP_S,
    advance,
    go_on,
    is_whole,
    later_connections,
)


class TestResponseThatIsNotWhole:
    """Guards against a server that is given up for an incomplete response."""

    def test_an_empty_stream_does_not_take_a_request_over(self, harness, caller):
        caller.request("/resumable/x")
        server = harness.connections[0]
        advance(harness, MAX_GAP_S + 0.1)
        (other,) = later_connections(harness)
        other.start_stream()
        other.end_stream()
        advance(harness, 0.2)
        if not server.transport.is_lost:
            server.start_stream(EVENT_1)
            go_on(server)
        assert caller.status == 200
        assert is_whole(caller)

    @pytest.mark.parametrize("target", ["/safe/x", "/resumable/x"])
    def test_an_unframed_response_that_is_cut_does_not(self, harness, caller, target):
        caller.request(target)
        server = harness.connections[0]
        advance(harness, 0.5 if target == "/safe/x" else MAX_GAP_S + 0.1)
        harness.advance(0.01)
        (other,) = later_connections(harness)
        other.send(
            b"HTTP/1.1 200 OK\r\nX-Chivesaddle-Server-Signature: sig\r\n"
            + f"X-Chivesaddle-Attempt-Identifier: {other.request_id}\r\n\r\n".encode()
        )
        other.transport.lose_connection(ConnectionDone)
        harness.advance(0.1)
        harness.advance(0.1)
        if not server.transport.is_lost:
            if target == "/safe/x":
                server.respond()
            else:
                server.start_stream(EVENT_1)
                go_on(server)
        assert caller.status == 200
