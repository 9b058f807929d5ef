import socket
from types import SimpleNamespace

import pytest
from twisted.internet.error import ConnectionLost
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from chivesaddle.core.aio import start
from chivesaddle.http1 import (
    ConnectionPool,
    Connector,
    ResponseBroken,
    ResponseLate,
    Reuse,
    exchange,
)

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
COPY = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"


class Transport(StringTransport):
    """Transport with a write buffer and a socket."""

    def __init__(self):
        super().__init__()
        self.own_socket, self.peer_socket = socket.socketpair()
        self.is_lost = False
        self.dataBuffer = b""

    def write(self, data):
        super().write(data)
        self.dataBuffer = data

    def write_buffer(self):
        self.dataBuffer = b""

    def abortConnection(self):  # noqa: N802
        if not self.is_lost:
            self.is_lost = True
            reason = Failure(ConnectionLost())
            self.reactor.callLater(0, self.protocol.connectionLost, reason)


class Network:
    """Connections of a pool to one server."""

    def __init__(self):
        self.reactor = MemoryReactorClock()
        self.pool = ConnectionPool(Connector(self.reactor), self.reactor)
        self.connections = []
        self.reuse = Reuse(5.0, lambda head, body: body != b"old")

    def call(self, is_reused=True):
        reuse = self.reuse if is_reused else None
        now = self.reactor.seconds()
        result = start(
            exchange(
                self.pool,
                self.reactor,
                "127.0.0.1:9",
                "GET",
                "/x",
                deadline=now + 2,
                reuse=reuse,
            )
        )
        if len(self.reactor.tcpClients) > len(self.connections):
            protocol = self.reactor.tcpClients[-1][2].buildProtocol(None)
            transport = Transport()
            transport.protocol, transport.reactor = protocol, self.reactor
            protocol.makeConnection(transport)
            transport.getHandle = lambda: transport.own_socket
            self.connections.append(
                SimpleNamespace(protocol=protocol, transport=transport)
            )
        return result, self.connections[-1]

    def call_once(self):
        """Complete one call and return its connection, which the pool keeps."""
        result, connection = self.call()
        connection.transport.write_buffer()
        connection.protocol.dataReceived(RESPONSE)
        assert result.result[1] == b"own"
        return connection


@pytest.fixture
def network():
    network = Network()
    yield network
    for connection in network.connections:
        connection.transport.own_socket.close()
        connection.transport.peer_socket.close()


def failure_of(result):
    error = result.result.value
    result.addErrback(lambda _: None)
    return error


class TestSecondCopyOfAResponse:
    """Guards against a call that gets the response to another one."""

    def test_on_an_idle_connection_ends_it(self, network):
        first = network.call_once()
        first.protocol.dataReceived(COPY)
        assert first.transport.is_lost
        assert network.call()[1] is not first

    def test_that_waits_in_the_kernel_ends_the_connection_before_its_reuse(
        self, network
    ):
        first = network.call_once()
        first.transport.peer_socket.send(COPY)
        assert network.call()[1] is not first
        assert first.transport.is_lost

    def test_together_with_the_response_ends_the_connection(self, network):
        result, first = network.call()
        first.transport.write_buffer()
        first.protocol.dataReceived(RESPONSE + COPY)
        assert result.result[1] == b"own"
        assert first.transport.is_lost
        assert network.call()[1] is not first

    @pytest.mark.parametrize("is_reused", [True, False])
    def test_that_arrives_before_the_request_is_written_is_not_taken(
        self, network, is_reused
    ):
        if is_reused:
            network.call_once()
        result, connection = network.call(is_reused)
        connection.protocol.dataReceived(RESPONSE)
        assert isinstance(failure_of(result), ResponseBroken)
        assert connection.transport.is_lost

    def test_that_is_not_the_response_to_this_call_ends_the_connection(self, network):
        first = network.call_once()
        result, connection = network.call()
        assert connection is first
        connection.transport.write_buffer()
        connection.protocol.dataReceived(COPY)
        assert isinstance(failure_of(result), ResponseBroken)
        assert first.transport.is_lost

    def test_cannot_reach_calls_with_connections_of_their_own(self, network):
        first = network.call_once()
        result, connection = network.call(is_reused=False)
        assert connection is not first
        connection.transport.write_buffer()
        connection.protocol.dataReceived(RESPONSE)
        assert result.result[1] == b"own"
        assert connection.transport.is_lost


class TestConnection:
    def test_closed_by_the_server_is_not_reused(self, network):
        """The reactor may not have read the end of the connection yet."""
        first = network.call_once()
        first.transport.peer_socket.close()
        assert network.call()[1] is not first

    def test_in_order_is_reused(self, network):
        assert network.call_once() is network.call_once()

    def test_of_a_late_call_is_closed(self, network):
        """Its response, which arrives later, would be taken by the next call."""
        network.call_once()
        result, connection = network.call()
        network.reactor.advance(2)
        assert isinstance(failure_of(result), ResponseLate)
        assert connection.transport.is_lost
        assert network.call()[1] is not connection

    def test_of_a_cancelled_call_is_closed(self, network):
        network.call_once()
        result, connection = network.call()
        result.cancel()
        failure_of(result)
        assert connection.transport.is_lost
        assert network.call()[1] is not connection
