"""Silent servers that begin a body when another one has the request."""

from .test_silent_servers import (
    later_connections,
)


class TestSilentServerThatHasBegunToRespond:
    def test_keeps_the_request(self, harness, caller):
        """Guards against a response that is thrown away while it arrives."""
        caller.request("/safe/x")
        server = harness.connections[0]
        harness.advance(0.51)
        harness.advance()
        harness.advance()
        (other,) = later_connections(harness)
        server.send(
            b"HTTP/1.1 200 OK\r\nX-Chivesaddle-Server-Signature: sig\r\n"
            + f"X-Chivesaddle-Attempt-Identifier: {server.request_id}\r\n".encode()
            + b"Content-Length: 4\r\n\r\nab"
        )
        for _ in range(4):
            harness.advance(0.1)
        assert not server.transport.is_lost
        server.send(b"cd")
        harness.advance()
        assert caller.received().endswith(b"abcd")
        assert other.transport.is_lost
