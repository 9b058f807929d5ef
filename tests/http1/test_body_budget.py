"""Uploads of many callers at once, as after a suspension of the process."""

import pytest
from twisted.internet.testing import StringTransport

from chivesaddle.http1 import CallerConnection, CallerLimits
from chivesaddle.http1.body_budget import MAX_HELD_BYTES, BodyBudget
from chivesaddle.http1.server import Listener

LONG = 4_000_000
PIECE = 65_536
# A body is noticed as long only then.
MAX_UNNOTICED = 2 * PIECE
MAX_WAIT_S = 3.0
MAX_LINGER_S = 2.0


class Transport(StringTransport):
    """Ends at once."""

    def loseConnection(self):  # noqa: N802
        super().loseConnection()
        self.protocol.connectionLost()

    abortConnection = loseConnection  # noqa: N815


class Upload:
    """A caller whose kernel holds all of its request."""

    def __init__(self, listener, size, is_chunked=False):
        framing = b"Content-Length: %d" % size
        data = bytes(size)
        if is_chunked:
            framing = b"Transfer-Encoding: chunked"
            data = b"%x\r\n%b\r\n0\r\n\r\n" % (size, data)
        self.left = b"POST /x HTTP/1.1\r\nHost: h\r\n%b\r\n\r\n%b" % (framing, data)
        self.connection = CallerConnection(listener)
        self.transport = Transport()
        self.transport.protocol = self.connection
        self.connection.makeConnection(self.transport)
        self.received = 0

    def deliver(self):
        """Deliver one piece unless reading is paused; return whether there was one."""
        if not self.left or self.transport.producerState == "paused":
            return False
        piece, self.left = self.left[:PIECE], self.left[PIECE:]
        self.received += len(piece)
        self.connection.dataReceived(piece)
        return True

    @property
    def status(self):
        value = self.transport.value()
        return int(value.split(b" ")[1]) if value else None


@pytest.fixture
def requests():
    return []


@pytest.fixture
def listener(clock, requests):
    return Listener(clock, lambda *call: requests.append(call), CallerLimits)


@pytest.fixture
def deliver_all(clock):
    def deliver_all(uploads):
        while any([upload.deliver() for upload in uploads]):
            clock.advance(0)

    return deliver_all


@pytest.mark.parametrize("is_chunked", [False, True])
class TestManyLongBodies:
    def test_are_read_one_after_the_other(
        self, clock, listener, requests, deliver_all, is_chunked
    ):
        """Guards against a kill for memory, which loses all requests of the daemon."""
        uploads = [Upload(listener, LONG, is_chunked) for _ in range(25)]
        answered = 0
        while answered < len(uploads):
            deliver_all(uploads)
            held = sum(upload.received for upload in uploads) - answered * LONG
            assert held <= MAX_HELD_BYTES + len(uploads) * MAX_UNNOTICED
            assert len(requests) > answered
            for _, responder in requests[answered:]:
                responder.answer(200)
                answered += 1
            clock.advance(0)
        assert [upload.status for upload in uploads] == [200] * len(uploads)
        assert listener.bodies.held_bytes == 0

    def test_are_refused_after_a_wait(
        self, clock, listener, requests, deliver_all, is_chunked
    ):
        """Guards against callers that wait for uploads which do not end."""
        uploads = [Upload(listener, LONG, is_chunked) for _ in range(12)]
        deliver_all(uploads)
        assert len(requests) == 10
        clock.advance(MAX_WAIT_S - 0.1)
        assert [upload.status for upload in uploads] == [None] * 12
        clock.advance(0.2)
        assert [upload.status for upload in uploads[10:]] == [503] * 2
        deliver_all(uploads)
        assert not any(upload.left for upload in uploads), "the rest is read"
        assert len(requests) == 10
        assert not any(upload.transport.disconnecting for upload in uploads)
        clock.advance(MAX_LINGER_S)
        assert all(upload.transport.disconnecting for upload in uploads[10:])
        for _, responder in requests:
            responder.answer(200)
        assert listener.bodies.held_bytes == 0

    def test_hold_up_no_short_ones(
        self, clock, listener, requests, deliver_all, is_chunked
    ):
        deliver_all([Upload(listener, LONG, is_chunked) for _ in range(12)])
        deliver_all([Upload(listener, 10_000, is_chunked) for _ in range(100)])
        assert len(requests) == 110

    def test_go_on_when_the_caller_of_another_one_leaves(
        self, clock, listener, requests, deliver_all, is_chunked
    ):
        uploads = [Upload(listener, LONG, is_chunked) for _ in range(12)]
        deliver_all(uploads)
        uploads[0].connection.connectionLost()
        uploads[10].connection.connectionLost()
        clock.advance(0)
        deliver_all(uploads[11:])
        assert len(requests) == 11

    def test_may_follow_each_other_on_a_connection(
        self, clock, listener, requests, deliver_all, is_chunked
    ):
        upload = Upload(listener, LONG, is_chunked)
        request = upload.left
        for number in range(15):
            upload.left = request
            deliver_all([upload])
            requests[number][1].answer(200)
        assert listener.bodies.held_bytes == 0


def test_announced_length_counts_up_to_the_limit(listener, requests, deliver_all):
    """Guards against one caller that keeps all long bodies of others out."""
    endless = Upload(listener, LONG)
    endless.left = endless.left.replace(b"Length: ", b"Length: 99")[: 2 * PIECE]
    deliver_all([endless])
    uploads = [Upload(listener, LONG) for _ in range(9)]
    deliver_all(uploads)
    assert len(requests) == 9


class TestBodyBudget:
    def test_body_above_the_limit_is_admitted_alone(self):
        budget, admitted = BodyBudget(10), []
        assert budget.admit("a", 5, admitted.clear)
        assert not budget.admit("b", 20, lambda: admitted.append("b"))
        assert not budget.admit("c", 1, lambda: admitted.append("c"))
        budget.release("a")
        assert admitted == ["b"]
        budget.release("b")
        assert admitted == ["b", "c"]
        assert budget.held_bytes == 1

    def test_shorter_body_lets_others_go_on(self):
        budget, admitted = BodyBudget(10), []
        assert budget.admit("a", 10, admitted.clear)
        assert not budget.admit("b", 6, lambda: admitted.append("b"))
        budget.shrink("a", 4)
        assert admitted == ["b"]
