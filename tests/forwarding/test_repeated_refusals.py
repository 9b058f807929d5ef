"""A server that sends an earlier refusal once more, where another response is due."""

import pytest

# An action's own response may follow one without an id for this long.
EXTRA_RESPONSE_WAIT_S = 0.5
EVENT = b"id: 1\ndata: own\n\n"
NOT_EXECUTED = "X-Chivesaddle-Not-Executed: 1"
REFUSALS = [(503, NOT_EXECUTED), (429, NOT_EXECUTED), (421, "X-Other: 1")]


def refuse(connection, status, extra_header, request_id=None):
    connection.respond(
        status, b"", request_id=request_id, signed=False, extra_header=extra_header
    )


@pytest.mark.parametrize(("status", "extra_header"), REFUSALS)
class TestConnectionAfterARefusal:
    """Guards against a request that runs and is reported as not run, or runs twice."""

    def test_is_closed(self, harness, status, extra_header):
        harness.caller().request("/unsafe/x")
        refused = harness.connections[0]
        refuse(refused, status, extra_header)
        harness.advance()
        harness.advance()
        assert refused.transport.is_lost

    def test_repeats_nothing_to_the_second_send_of_the_same_request(
        self, harness, caller, status, extra_header
    ):
        caller.request("/unsafe/x")
        sent_to = []
        while caller.status is None and len(sent_to) < len(harness.connections):
            connection = harness.connections[len(sent_to)]
            sent_to.append(connection)
            refuse(connection, status, extra_header)
            # The repeated copy follows the refusal at once, then after a turn.
            if not connection.transport.is_lost:
                refuse(connection, status, extra_header)
            harness.advance()
            harness.advance()
        assert len(sent_to) > 1
        assert len({id(connection.transport) for connection in sent_to}) == len(sent_to)
        assert all(connection.transport.is_lost for connection in sent_to)
        assert caller.status == 503


@pytest.mark.parametrize(("status", "extra_header"), REFUSALS)
@pytest.mark.parametrize("target", ["/unsafe/x", "/safe/x", "/resumable/x"])
class TestRefusalOfAnEarlierRequestOnAKeptConnection:
    """Guards against a refusal that is taken for one of the request in flight."""

    @pytest.fixture
    def kept(self, harness, target):
        """A kept connection on which a second request waits for its response."""
        first = harness.caller()
        first.request(target, "a1")
        connection = harness.connections[0]
        connection.respond(body=EVENT)
        harness.advance()
        assert first.status == 200
        second = harness.caller()
        second.request(target, "a2")
        assert harness.connections == [connection]
        return connection, second

    def test_with_the_id_of_the_earlier_request_is_skipped(
        self, harness, kept, status, extra_header
    ):
        connection, caller = kept
        refuse(connection, status, extra_header, request_id="a1")
        harness.advance()
        assert caller.status is None
        assert harness.connections == [connection]
        connection.respond(body=EVENT, request_id="a2")
        harness.advance()
        assert caller.status == 200
        assert b"data: own" in caller.received()

    def test_without_an_id_does_not_count_as_not_run(
        self, harness, kept, target, status, extra_header
    ):
        connection, caller = kept
        head = f"HTTP/1.1 {status} X\r\n{extra_header}\r\nContent-Length: 0"
        connection.send(f"{head}\r\n\r\n".encode())
        harness.advance()
        if target == "/unsafe/x":
            assert caller.status is None
            harness.advance(EXTRA_RESPONSE_WAIT_S)
        harness.advance()
        assert connection.transport.is_lost
        if target == "/unsafe/x":
            assert harness.connections == [connection]
            assert caller.status == 502
        else:
            # It may run twice, and counts as having run at the first server.
            assert len(harness.connections) == 2
            refuse(harness.connections[1], 503, NOT_EXECUTED, request_id="a2")
            harness.advance()
            assert caller.status == 502
