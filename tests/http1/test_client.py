import errno
import socket

import pytest
from twisted.internet.error import ConnectError, ConnectionDone, ConnectionLost
from twisted.internet.testing import (
    MemoryReactorClock,
    StringTransportWithDisconnection,
)
from twisted.python.failure import Failure

from chivesaddle.core.aio import start
from chivesaddle.http1 import (
    ConnectionPool,
    Connector,
    NotSent,
    ResponseBroken,
    exchange,
)
from chivesaddle.http1.client import ServerConnection
from chivesaddle.http1.exchange import MAX_BODY_BYTES


@pytest.fixture
def reactor():
    return MemoryReactorClock()


def take_error(deferred):
    error = deferred.result.value
    deferred.addErrback(lambda _: None)
    return error


class TestConnector:
    def test_nested_failure_gives_a_short_message(self, reactor):
        """Guards against a traceback in the log of a daemon that can't start."""
        result = start(Connector(reactor).connect("127.0.0.1:9", 5))
        error = ConnectError(string=str(Failure(ConnectionLost())))
        factory = reactor.tcpClients[0][2]
        factory.clientConnectionFailed(None, Failure(error))
        raised = take_error(result)
        assert isinstance(raised, NotSent)
        assert "Traceback" not in str(raised)
        assert "ConnectError" in str(raised)

    def test_connect_timeout_raises_not_sent(self, reactor):
        result = start(Connector(reactor).connect("127.0.0.1:9", 1))
        reactor.advance(1.1)
        assert isinstance(take_error(result), NotSent)

    @pytest.mark.parametrize(
        "address",
        [
            "127.0.0.1:0",
            "127.0.0.1:65536",
            "127.0.0.1:99999999999999999999",
            "127.0.0.1:-1",
            "127.0.0.1:x",
            "127.0.0.1",
            ":80",
            "",
            "x" * 1_000_000,
        ],
    )
    def test_address_without_a_usable_port_raises_not_sent_at_once(
        self, reactor, address
    ):
        """Guards against an error of the reactor that reaches no request."""
        error = take_error(start(Connector(reactor).connect(address, 5)))
        assert isinstance(error, NotSent)
        assert len(str(error)) < 500
        assert not reactor.tcpClients

    @pytest.mark.parametrize(
        "error", [OverflowError("port"), socket.gaierror("name"), ValueError("odd")]
    )
    def test_connection_that_the_reactor_does_not_attempt_raises_not_sent(
        self, reactor, error
    ):
        def fail(*args, **kwargs):
            raise error

        reactor.connectTCP = fail
        raised = take_error(start(Connector(reactor).connect("127.0.0.1:9", 5)))
        assert isinstance(raised, NotSent)
        assert type(error).__name__ in str(raised)


class TestExchange:
    def test_body_without_end_is_broken_off(self):
        """Guards against a report or a list that fills the memory."""
        reactor = MemoryReactorClock()
        pool = ConnectionPool(Connector(reactor), reactor)
        result = start(exchange(pool, reactor, "127.0.0.1:9", "GET", "/x", deadline=60))
        connection = reactor.tcpClients[0][2].buildProtocol(None)
        transport = StringTransportWithDisconnection()
        transport.protocol = connection
        transport.abortConnection = transport.loseConnection
        connection.makeConnection(transport)
        connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\n")
        sent = 0
        while transport.connected and sent < 4 * MAX_BODY_BYTES:
            connection.dataReceived(b"x" * 65_536)
            sent += 65_536
        assert sent <= MAX_BODY_BYTES + 2 * 65_536
        assert isinstance(take_error(result), ResponseBroken)


class ResetSocket:
    """Socket whose peer resets it; the kernel tells that once."""

    def __init__(self):
        self.has_failed = False

    def setsockopt(self, *_):
        pass

    def recv(self, *_):
        if not self.has_failed:
            self.has_failed = True
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        return b""


class ResetTransport(StringTransportWithDisconnection):
    def __init__(self):
        super().__init__()
        self.handle = ResetSocket()

    def getHandle(self):  # noqa: N802
        return self.handle

    def setTcpNoDelay(self, _):  # noqa: N802
        pass


@pytest.mark.parametrize("is_looked_at", [False, True])
def test_reset_is_no_end_of_a_response_without_length(is_looked_at):
    """Guards against half a body that is taken for whole after a look at the socket."""
    connection = ServerConnection()
    transport = ResetTransport()
    transport.protocol = connection
    connection.makeConnection(transport)
    connection.send("POST", b"/x", [(b"host", b"h")], b"x")
    head = start(connection.read_head())
    connection.dataReceived(b"HTTP/1.1 200 OK\r\n\r\nhalf")
    assert head.result.status == 200
    assert start(connection.read_chunk()).result == b"half"
    rest = start(connection.read_chunk())
    reason = ConnectionLost()
    if is_looked_at:
        assert not connection.is_seen_open
        # What the reactor finds after that.
        reason = ConnectionDone()
    connection.connectionLost(Failure(reason))
    assert isinstance(take_error(rest), ResponseBroken)
