import socket

import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from chivesaddle.core.aio import start
from chivesaddle.http1 import CallerConnection, CallerLimits
from chivesaddle.http1.server import Listener

REQUEST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"


class Transport(StringTransport):
    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.reset = False

    def abortConnection(self):  # noqa: N802
        self.reset = True
        self.clock.callLater(0, self.protocol.connectionLost, Failure(ConnectionLost()))

    def loseConnection(self):  # noqa: N802
        super().loseConnection()
        self.clock.callLater(0, self.protocol.connectionLost, Failure(ConnectionDone()))


@pytest.fixture
def requests():
    return []


@pytest.fixture
def listener(clock, requests):
    def limits():
        return CallerLimits(
            header_bytes=500, body_bytes=10, header_timeout_s=3.0, idle_timeout_s=15.0
        )

    return Listener(clock, lambda *call: requests.append(call), limits)


@pytest.fixture
def connection(clock, listener):
    connection = CallerConnection(listener)
    transport = Transport(clock)
    transport.protocol = connection
    connection.makeConnection(transport)
    return connection


def status(connection):
    return int(connection.transport.value().split(b" ")[1])


class TestRequests:
    def test_request_is_handled_when_its_body_is_complete(self, connection, requests):
        connection.dataReceived(REQUEST[:-1])
        assert not requests
        connection.dataReceived(REQUEST[-1:])
        assert requests[0][0].body == b"abc"

    def test_chunked_body_is_assembled(self, connection, requests):
        connection.dataReceived(
            b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\na\r\n2\r\nbc\r\n0\r\n\r\n"
        )
        assert requests[0][0].body == b"abc"

    def test_pipelined_request_waits_for_the_first_response(self, connection, requests):
        connection.dataReceived(REQUEST + REQUEST)
        assert len(requests) == 1
        requests[0][1].answer(200)
        assert len(requests) == 2

    def test_many_pipelined_requests_that_are_answered_at_once(self, listener, clock):
        """Guards against nested calls that exceed the depth of the stack."""
        listener.handler = lambda request, responder: responder.answer(404)
        connection = CallerConnection(listener)
        connection.makeConnection(Transport(clock))
        connection.dataReceived(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 2_000)
        assert connection.transport.value().count(b" 404 ") == 2_000

    def test_two_framings_of_one_body_are_rejected(self, connection, requests):
        """Guards against a request smuggled in the body of another one."""
        connection.dataReceived(
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + REQUEST
        )
        assert status(connection) == 400
        assert not requests


class TestLimits:
    def test_large_body_is_rejected(self, connection):
        connection.dataReceived(
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n" + b"a" * 11
        )
        assert status(connection) == 413

    def test_large_header_is_rejected(self, connection):
        connection.dataReceived(b"GET /x HTTP/1.1\r\nHost: h\r\nA: " + b"a" * 600)
        assert status(connection) == 431

    def test_slow_header_times_out(self, connection, clock):
        connection.dataReceived(b"GET /x HT")
        clock.advance(3.1)
        assert status(connection) == 408

    def test_idle_connection_is_closed_after_the_idle_timeout(self, connection, clock):
        clock.advance(14)
        assert not connection.transport.disconnecting
        clock.advance(2)
        assert connection.transport.disconnecting

    def test_connection_with_a_request_in_progress_is_not_idle(
        self, connection, clock, requests
    ):
        connection.dataReceived(REQUEST)
        clock.advance(60)
        assert not connection.transport.disconnecting


class TestDraining:
    def test_busy_connection_closes_after_its_response(
        self, connection, listener, requests
    ):
        connection.dataReceived(REQUEST)
        listener.start_draining()
        assert not connection.transport.disconnecting
        requests[0][1].answer(200, b"done")
        assert b"connection: close" in connection.transport.value().lower()
        assert connection.transport.value().endswith(b"done")
        assert connection.transport.disconnecting

    def test_idle_connection_closes_at_once(self, connection, listener):
        listener.start_draining()
        assert connection.transport.disconnecting

    def test_connection_closes_after_a_response_that_began_before(
        self, connection, listener, requests
    ):
        """Guards against a next request that the end of the daemon cuts."""
        connection.dataReceived(REQUEST)
        responder = requests[0][1]
        responder.start(200, b"", [])
        listener.start_draining()
        responder.write(b"event")
        responder.finish()
        assert connection.transport.disconnecting

    @pytest.mark.parametrize("received", [len(REQUEST) + 5, 2 * len(REQUEST)])
    def test_pipelined_request_is_answered_before_the_connection_closes(
        self, connection, listener, requests, received
    ):
        connection.dataReceived((REQUEST + REQUEST)[:received])
        responder = requests[0][1]
        responder.start(200, b"", [])
        listener.start_draining()
        responder.finish()
        assert not connection.transport.disconnecting
        connection.dataReceived((REQUEST + REQUEST)[received:])
        requests[1][1].answer(200, b"done")
        assert connection.transport.value().endswith(b"done")
        assert connection.transport.disconnecting

    @pytest.mark.parametrize("received", [REQUEST[:5], REQUEST[:-1]])
    def test_request_that_arrives_slowly_is_unfinished(
        self, connection, listener, requests, received
    ):
        """Guards against the end of a daemon in the middle of a request's body."""
        connection.dataReceived(received)
        listener.start_draining()
        assert listener.unfinished == 1
        connection.dataReceived(REQUEST[len(received) :])
        assert listener.unfinished == 1
        requests[0][1].answer(200)
        assert listener.unfinished == 0

    def test_request_that_is_incomplete_at_the_end_is_refused(
        self, connection, listener, requests
    ):
        connection.dataReceived(REQUEST[:-1])
        listener.start_draining()
        listener.refuse_incomplete()
        assert status(connection) == 503
        assert connection.transport.disconnecting
        assert not requests

    def test_request_that_the_kernel_has_received_keeps_its_connection(
        self, connection, listener, requests
    ):
        """Guards against resets of what arrived while the daemon was frozen."""
        ours, caller = socket.socketpair()
        with ours, caller:
            connection.transport.getHandle = lambda: ours
            caller.sendall(REQUEST)
            listener.start_draining()
            assert not connection.transport.disconnecting
            assert listener.unfinished == 1
            connection.dataReceived(ours.recv(1_000))
        requests[0][1].answer(200)
        assert connection.transport.disconnecting


class TestBackpressure:
    def test_writer_waits_while_the_caller_does_not_read(
        self, connection, requests, run, clock
    ):
        connection.dataReceived(REQUEST)
        connection.pauseProducing()
        waiting = start(requests[0][1].wait_writable())
        assert not waiting.called
        connection.resumeProducing()
        assert waiting.called

    def test_writer_that_waited_for_a_lost_caller_does_not_finish(
        self, connection, requests, clock
    ):
        """Guards against a response that counts as complete though its end is lost."""
        connection.dataReceived(REQUEST)
        responder = requests[0][1]
        responder.start(200, b"", [])
        connection.pauseProducing()

        async def finish():
            await responder.wait_writable()
            responder.finish()

        start(finish())
        connection.connectionLost(Failure(ConnectionLost()))
        assert not responder.finished
        assert not clock.getDelayedCalls()

    def test_writer_does_not_wait_for_a_disconnected_caller(self, connection, requests):
        connection.dataReceived(REQUEST)
        connection.pauseProducing()
        waiting = start(requests[0][1].wait_writable())
        connection.connectionLost(Failure(ConnectionLost()))
        assert waiting.called
        assert requests[0][1].is_disconnected


def test_response_is_unfinished_until_the_kernel_has_all_of_it(
    connection, listener, requests
):
    """Guards against the lost end of a response when the process stops."""
    connection.dataReceived(REQUEST)
    assert listener.unfinished == 1
    connection.transport.dataBuffer = b"the end of the response"
    requests[0][1].answer(200, b"ok")
    assert (listener.in_flight, listener.unfinished) == (0, 1)
    connection.transport.dataBuffer = b""
    assert listener.unfinished == 0


class TestLimitsThatChange:
    """Guards against limits of a configuration that is no longer in force."""

    @pytest.fixture
    def limits(self, listener):
        limits = CallerLimits(500, 10, 3.0, 15.0)
        listener.limits = lambda: CallerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        )
        return limits

    def post(self, connection, size, padding=0):
        head = f"POST /x HTTP/1.1\r\nHost: h\r\nA: {'a' * padding}\r\n"
        head += f"Content-Length: {size}\r\n\r\n"
        connection.dataReceived(head.encode() + b"b" * size)

    def answer(self, connection, requests):
        requests[-1][1].answer(200)
        connection.transport.clear()

    @pytest.mark.parametrize("has_served", [False, True])
    def test_larger_body_is_taken_on_an_open_connection(
        self, connection, requests, limits, has_served
    ):
        if has_served:
            self.post(connection, 3)
            self.answer(connection, requests)
        limits.body_bytes = 20
        self.post(connection, 20)
        assert requests[-1][0].body == b"b" * 20

    def test_smaller_body_limit_applies_to_the_next_request(
        self, connection, requests, limits
    ):
        self.post(connection, 10)
        self.answer(connection, requests)
        limits.body_bytes = 5
        self.post(connection, 6)
        assert status(connection) == 413

    @pytest.mark.parametrize("later", [5, 20])
    def test_body_that_arrives_meanwhile_may_use_both(
        self, connection, requests, limits, later
    ):
        size = max(10, later)
        head = f"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n\r\n"
        connection.dataReceived(head.encode() + b"b" * 3)
        limits.body_bytes = later
        connection.dataReceived(b"b" * (size - 3))
        assert len(requests[-1][0].body) == size

    @pytest.mark.parametrize("has_served", [False, True])
    def test_larger_head_is_taken_on_an_open_connection(
        self, connection, requests, limits, has_served
    ):
        if has_served:
            self.post(connection, 3)
            self.answer(connection, requests)
        limits.header_bytes = 2_000
        for start_at in range(0, 1_200, 100):
            head = b"POST /x HTTP/1.1\r\nHost: h\r\nA: " + b"a" * 1_100
            connection.dataReceived(head[start_at : start_at + 100])
        connection.dataReceived(b"\r\nContent-Length: 0\r\n\r\n")
        assert not connection.transport.value()
        assert len(requests) == 1 + has_served

    def test_smaller_head_limit_applies_to_the_next_request(
        self, connection, requests, limits
    ):
        self.post(connection, 3)
        self.answer(connection, requests)
        limits.header_bytes = 100
        connection.dataReceived(b"GET /x HTTP/1.1\r\nHost: h\r\nA: " + b"a" * 200)
        assert status(connection) == 431

    def test_pipelined_request_has_the_new_limits(self, connection, requests, limits):
        connection.dataReceived(REQUEST)
        connection.dataReceived(
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 15\r\n\r\n" + b"b" * 15
        )
        limits.body_bytes, limits.header_bytes = 20, 600
        requests[0][1].answer(200)
        assert requests[1][0].body == b"b" * 15

    def test_connection_may_idle_for_longer(self, connection, clock, limits):
        clock.advance(10)
        limits.idle_timeout_s = 30.0
        clock.advance(19)
        assert not connection.transport.disconnecting
        clock.advance(1.1)
        assert connection.transport.disconnecting
