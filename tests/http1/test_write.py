import socket
import struct
from types import SimpleNamespace

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionAborted, ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.internet.tcp import Connection
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from chivesaddle.core.aio import start
from chivesaddle.http1 import CallerConnection, ServerConnection
from chivesaddle.http1.server import CallerLimits, Listener
from chivesaddle.http1.sockets import (
    UnreadInput,
    has_queued_bytes,
    has_unacknowledged_bytes,
    peek,
    write_at_once,
)


class PollSet:
    """The poll set of a reactor that never runs."""

    def __init__(self):
        self.writers = set()

    def addWriter(self, writer):  # noqa: N802
        self.writers.add(writer)

    def removeWriter(self, writer):  # noqa: N802
        self.writers.discard(writer)

    def removeReader(self, reader):  # noqa: N802
        pass

    def callLater(self, *_):  # noqa: N802
        pass


@pytest.fixture
def pair():
    near, far = socket.socketpair()
    near.setblocking(False)
    far.setblocking(False)
    connection = Connection(near, Protocol(), PollSet())
    connection.connected = 1
    yield connection, far
    near.close()
    far.close()


class TestWriteAtOnce:
    def test_data_is_sent_without_a_turn_of_the_reactor(self, pair):
        connection, far = pair
        write_at_once(connection, b"abc")
        assert far.recv(10) == b"abc"
        assert not connection.reactor.writers

    @pytest.mark.parametrize("turns", [0, 1])
    def test_order_is_kept_while_data_is_queued(self, pair, turns):
        """Guards against bytes that overtake what the kernel did not accept yet."""
        connection, far = pair
        expected = b""
        for number in range(40):
            block = bytes([number]) * 65_536
            write_at_once(connection, block)
            expected += block
        assert connection.reactor.writers
        for _ in range(turns):
            connection.doWrite()
        received = far.recv(1 << 20)
        write_at_once(connection, b"end")
        expected += b"end"
        while len(received) < len(expected):
            connection.doWrite()
            received += far.recv(1 << 20)
        assert received == expected

    def test_closed_connection_is_left_to_the_reactor(self, pair):
        connection, far = pair
        far.close()
        write_at_once(connection, b"abc")
        assert connection.reactor.writers
        assert isinstance(connection.doWrite(), Exception)

    def test_aborted_connection_sends_nothing(self, pair):
        """Guards against bytes between an abort and the loss of the connection."""
        connection, far = pair
        connection.abortConnection()
        write_at_once(connection, b"abc")
        with pytest.raises(BlockingIOError):
            far.recv(10)


@pytest.fixture
def sending(pair):
    """A connection to a server that has read nothing yet, with a long request."""
    transport, far = pair
    connection = transport.protocol = ServerConnection()
    connection.transport = transport
    connection.when_connected.callback(connection)
    connection.send(b"POST", b"/x", [(b"host", b"h")], LONG_BODY)
    return connection, transport, far


LONG_BODY = b"".join(number.to_bytes(4, "big") for number in range(1_000_000))
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class TestLongRequest:
    def test_arrives_in_order_with_a_short_queue(self, sending):
        """Guards against a second copy of each long body, and against its loss."""
        connection, transport, far = sending
        received = bytearray()
        while transport.reactor.writers:
            held = len(transport.dataBuffer) - transport.offset
            held += transport._tempDataLen
            assert held <= 300_000
            assert connection.is_reusable is False
            received += far.recv(100_000)
            transport.doWrite()
        far.setblocking(True)
        while not received.endswith(LONG_BODY[-8:]):
            received += far.recv(1 << 20)
        head, _, body = bytes(received).partition(b"\r\n\r\n")
        assert b"content-length: 4000000" in head.lower()
        assert body == LONG_BODY

    @pytest.mark.parametrize("reason", [ConnectionAborted, ConnectionDone])
    def test_is_freed_with_its_connection(self, sending, reason):
        """Guards against memory of uploads that failed, which adds up to a kill."""
        connection, transport, _ = sending
        assert has_queued_bytes(transport)
        transport.connectionLost(Failure(reason()))
        assert connection.has_unsent_request
        assert connection._body_sender is None
        assert not has_queued_bytes(transport)

    @pytest.mark.parametrize("reads", [False, True])
    def test_is_followed_by_no_other_before_it_is_sent(self, sending, reads):
        """Guards against a head in the middle of the body before it."""
        connection, transport, far = sending
        received = b""
        while reads and transport.reactor.writers:
            received += far.recv(1 << 20)
            transport.doWrite()
        connection.dataReceived(RESPONSE)
        start(connection.read_head())
        start(connection.read_chunk())
        start(connection.read_chunk())
        assert connection.is_reusable is reads
        assert connection.lost is not reads


@pytest.fixture
def stream(pair):
    """A chunked response that has begun, on a connection with a socket."""
    connection, far = pair
    requests = []
    listener = Listener(FakeClock(), lambda *call: requests.append(call), CallerLimits)
    connection.protocol = CallerConnection(listener)
    connection.protocol.transport = connection
    connection.getPeer = lambda: IPv4Address("TCP", "127.0.0.1", 9)
    connection.registerProducer(connection.protocol, True)
    connection.protocol.dataReceived(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    responder = requests[0][1]
    responder.start(200, b"X", [], b"begin")
    return responder, connection, far


async def write_pieces(responder, pieces):
    for piece in pieces:
        responder.write(piece)
        await responder.wait_writable()
    responder.finish()


class TestSlowCallers:
    @pytest.mark.parametrize("size", [1_000, 65_536, 300_000])
    def test_bytes_held_are_bounded_and_all_arrive_in_order(self, stream, size):
        """Guards against a writer that goes on while a caller does not read.

        The last size is above what one call sends, so that a part of it is accepted.
        """
        responder, connection, far = stream
        pieces = [bytes([number % 251]) * size for number in range(8_000_000 // size)]
        written = start(write_pieces(responder, pieces))
        received = bytearray()
        while not written.called or connection.reactor.writers:
            held = len(connection.dataBuffer) - connection.offset
            held += connection._tempDataLen
            assert held <= connection.bufferSize + size + 10
            received += far.recv(100_000)
            connection.doWrite()
        received += far.recv(1 << 20)
        reader = h11.Connection(h11.CLIENT)
        reader.send(h11.Request(method=b"GET", target=b"/", headers=[(b"host", b"h")]))
        reader.send(h11.EndOfMessage())
        reader.receive_data(bytes(received))
        body = bytearray()
        while not isinstance(event := reader.next_event(), h11.EndOfMessage):
            body += event.data if isinstance(event, h11.Data) else b""
        assert body == b"begin" + b"".join(pieces)

    def test_loss_is_reported_by_the_reactor_and_not_by_a_write(self, stream):
        """Guards against a disconnect that is handled in the middle of a write."""
        responder, connection, far = stream
        far.close()
        responder.write(b"lost")
        assert not responder.is_disconnected
        connection.connectionLost(Failure(connection.doWrite()))
        assert responder.is_disconnected
        responder.write(b"after")
        responder.finish()
        assert not responder.finished


class TestResponseFraming:
    @given(
        pieces=st.lists(st.binary(min_size=1, max_size=40)),
        head=st.sampled_from(
            [b"GET / HTTP/1.1", b"GET / HTTP/1.0", b"HEAD / HTTP/1.1"]
        ),
        status=st.sampled_from([200, 204, 304, 500]),
    )
    @settings(derandomize=True)
    def test_bytes_are_those_of_h11(self, pieces, head, status):
        """Guards against a framing that h11 would not have written."""
        request = head + b"\r\nHost: h\r\n\r\n"
        if head.startswith(b"HEAD") or status in (204, 304):
            pieces = []
        requests = []
        connection = CallerConnection(
            Listener(FakeClock(), lambda *call: requests.append(call), CallerLimits)
        )
        connection.makeConnection(StringTransport())
        connection.dataReceived(request)
        responder = requests[0][1]
        first, rest = pieces[:1], pieces[1:]
        responder.start(status, b"X", [(b"a", b"b")], b"".join(first))
        for piece in rest:
            responder.write(piece)
        responder.finish()

        reference = h11.Connection(h11.SERVER)
        reference.receive_data(request)
        reference.next_event()
        expected = reference.send(
            h11.Response(status_code=status, reason=b"X", headers=[(b"a", b"b")])
        )
        for piece in pieces:
            expected += reference.send(h11.Data(data=piece))
        expected += reference.send(h11.EndOfMessage())
        assert connection.transport.value() == expected


class FakeClock:
    """Clock without timers."""

    def seconds(self):
        return 0.0

    def callLater(self, *_):  # noqa: N802
        return None


class TestPeek:
    def test_open_connection_has_nothing_to_read(self, pair):
        connection, _ = pair
        assert peek(connection) is UnreadInput.NONE

    def test_end_is_found_before_the_reactor_reads_it(self, pair):
        """Guards against a request that is sent after its caller has left."""
        connection, far = pair
        far.close()
        assert peek(connection) is UnreadInput.END

    def test_unread_bytes_are_left_to_the_reactor(self, pair):
        connection, far = pair
        far.sendall(b"next")
        far.close()
        assert peek(connection) is UnreadInput.BYTES
        assert connection.socket.recv(10) == b"next"
        assert peek(connection) is UnreadInput.END

    def test_reset_is_told_once_and_is_no_end(self):
        """Guards against a reset that looks like a close in order afterwards."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            near = socket.create_connection(listener.getsockname())
            far, _ = listener.accept()
        linger = struct.pack("ii", 1, 0)
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        far.close()
        with near:
            connection = SimpleNamespace(getHandle=lambda: near)
            assert peek(connection) is UnreadInput.FAILURE
            assert peek(connection) is UnreadInput.END

    def test_closed_socket_has_ended(self, pair):
        connection, _ = pair
        connection.socket.close()
        assert peek(connection) is UnreadInput.END


class TestUnacknowledgedBytes:
    """Guards against a cut answer that looks whole beside an unread upload."""

    @pytest.fixture
    def tcp_pair(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            near = socket.create_connection(listener.getsockname())
            far, _ = listener.accept()
        near.setblocking(False)
        connection = Connection(near, Protocol(), PollSet())
        connection.connected = 1
        yield connection, far
        near.close()
        far.close()

    def test_are_seen_until_the_peer_has_read(self, tcp_pair):
        connection, far = tcp_pair
        assert not has_unacknowledged_bytes(connection)
        sent = connection.socket.send(bytes(16_000_000))
        assert has_unacknowledged_bytes(connection)
        while sent:
            sent -= len(far.recv(1_000_000))
        far.sendall(b"answer")
        connection.socket.setblocking(True)
        assert connection.socket.recv(10) == b"answer"
        assert not has_unacknowledged_bytes(connection)

    def test_count_what_the_transport_has_queued(self, tcp_pair):
        connection, _ = tcp_pair
        connection.write(b"x")
        assert has_unacknowledged_bytes(connection)

    def test_of_a_transport_without_a_socket_are_none(self):
        assert not has_unacknowledged_bytes(StringTransport())
