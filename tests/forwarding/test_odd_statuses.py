"""Responses whose status line has a status that HTTP does not have."""

import pytest

HEADERS = (
    b"X-Chivesaddle-Attempt-Identifier: a1\r\n"
    b"X-Chivesaddle-Server-Signature: sig\r\nContent-Length: 2\r\n\r\nok"
)
STATUSES = [
    "000", "0", "00", "099", "99", "20", "2000", "0200", "+200", "-200", "2x0", "abc",
    "600", "700", "999", "1000", "", "2 00", "\u0662\u0660\u0660",
]  # fmt: skip


@pytest.mark.parametrize("status", STATUSES)
class TestStatusThatIsNone:
    """Guards against bytes that are no answer and are passed on as one."""

    @pytest.mark.parametrize("target", ["/unsafe/x", "/stream/x"])
    def test_is_answered_502_where_nothing_may_run_again(
        self, harness, caller, target, status
    ):
        caller.request(target)
        (server,) = harness.connections
        server.send(f"HTTP/1.1 {status} X\r\n".encode() + HEADERS)
        harness.advance()
        assert caller.status == 502
        assert b"signature" not in caller.received().lower()
        assert server.transport.is_lost

    @pytest.mark.parametrize("target", ["/safe/x", "/resumable/x"])
    def test_is_tried_at_another_server_where_it_may(
        self, harness, caller, target, status
    ):
        caller.request(target)
        (server,) = harness.connections
        server.send(f"HTTP/1.1 {status} X\r\n".encode() + HEADERS)
        harness.advance()
        harness.advance()
        other = harness.connections[1]
        if target == "/safe/x":
            other.respond()
        else:
            other.start_stream(b"id: 1\ndata: a\n\n")
            other.end_stream()
        assert caller.status == 200


@pytest.mark.parametrize("status", [200, 299, 404, 451, 500, 599])
def test_status_that_http_has_is_passed_on(harness, caller, status):
    caller.request("/unsafe/x")
    harness.connections[0].respond(status)
    assert caller.status == status
