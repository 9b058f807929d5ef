import pytest

from .conftest import Transport

# The response behind one without an id is awaited for this long.
EXTRA_RESPONSE_WAIT_S = 0.5
EVENT = b"id: 1\ndata: a\n\n"


@pytest.fixture
def reused(harness):
    """A server's connection on which a second request waits for its response."""
    first = harness.caller()
    first.request("/resumable/x")
    server = harness.connections[0]
    server.start_stream(EVENT)
    server.end_stream()
    harness.advance()
    assert first.received().endswith(b"0\r\n\r\n")
    second = harness.caller()
    second.request("/resumable/x", request_id="a2")
    assert len(harness.connections) == 1
    return server, second


class TestLateSecondCopyOfAResponse:
    """Guards against a caller that gets the response to another request."""

    @pytest.mark.parametrize("status", [200, 404, 503])
    def test_is_skipped_on_a_reused_connection(self, reused, status):
        server, caller = reused
        server.respond(status, b"other", request_id="a1")
        assert caller.status is None
        server.start_stream(b"data: own\n\n", request_id="a2")
        server.end_stream()
        assert b"data: own" in caller.received()
        assert b"other" not in caller.received()

    def test_of_a_stream_is_skipped_at_any_split(self, harness, reused):
        server, caller = reused
        sent = []
        send, server.send = server.send, sent.append
        server.start_stream(EVENT, request_id="a1")
        server.end_stream()
        server.start_stream(b"data: own\n\n", request_id="a2")
        server.end_stream()
        data = b"".join(sent)
        for start in range(0, len(data), 7):
            send(data[start : start + 7])
        assert caller.status == 200
        assert b"data: own" in caller.received()
        assert b"data: a" not in caller.received()

    @pytest.mark.parametrize("status", [200, 404])
    def test_without_an_id_is_not_forwarded(self, harness, reused, status):
        server, caller = reused
        server.send(b"HTTP/1.1 %d X\r\nContent-Length: 5\r\n\r\nother" % status)
        harness.advance()
        assert b"other" not in caller.received()
        assert server.transport.is_lost


class TestExtraResponseWithoutAnId:
    """Guards against a 502 for an action whose own response arrives behind it."""

    @pytest.fixture
    def reused(self, harness, caller):
        first = harness.caller()
        first.request("/unsafe/x")
        server = harness.connections[0]
        server.respond()
        harness.advance()
        assert first.status == 200
        caller.request("/unsafe/x", request_id="a2")
        assert harness.connections == [server]
        return server

    @pytest.mark.parametrize("status", [200, 404, 503])
    @pytest.mark.parametrize("extra_responses", [1, 2])
    @pytest.mark.parametrize("wait_s", [0.0, 0.01, 0.4])
    def test_is_skipped(self, harness, caller, reused, status, extra_responses, wait_s):
        extra = b"HTTP/1.1 %d X\r\nContent-Length: 5\r\n\r\nother" % status
        reused.send(extra * extra_responses)
        harness.advance(wait_s)
        reused.respond(body=b"own", request_id="a2")
        harness.advance()
        assert caller.status == 200
        assert caller.received().endswith(b"own")
        assert len(harness.connections) == 1

    def test_is_awaited_for_a_bounded_time(self, harness, caller, reused):
        """Guards against callers that wait for servers which send no ids."""
        reused.send(b"HTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\nother")
        harness.advance(EXTRA_RESPONSE_WAIT_S + 0.1)
        assert caller.status == 502
        assert b"other" not in caller.received()
        assert reused.transport.is_lost

    def test_ends_the_wait_with_its_connection(self, harness, caller, reused):
        reused.send(b"HTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\nother")
        reused.transport.lose_connection()
        harness.advance()
        assert caller.status == 502


class TestResponseWithoutAnId:
    @pytest.mark.parametrize("status", [421, 503])
    def test_that_arrives_before_the_request_is_written_is_not_taken(
        self, harness, caller, monkeypatch, status
    ):
        """Guards against a request that runs twice.

        A server that says of something else that it did not run it still gets the
        request.
        """
        monkeypatch.setattr(Transport, "dataBuffer", b"queued", raising=False)
        caller.request("/unsafe/x")
        server = harness.connections[0]
        server.send(
            f"HTTP/1.1 {status} X\r\nX-Chivesaddle-Not-Executed: 1\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        harness.advance()
        assert caller.status == 502
        assert server.transport.is_lost
        assert len(harness.connections) == 1

    def test_after_a_response_to_another_request_is_not_taken(self, harness, caller):
        caller.request("/unsafe/x")
        server = harness.connections[0]
        server.respond(200, b"other", request_id="a0")
        server.send(
            b"HTTP/1.1 503 X\r\nX-Chivesaddle-Not-Executed: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        harness.advance(EXTRA_RESPONSE_WAIT_S + 0.1)
        assert caller.status == 502
        assert len(harness.connections) == 1
