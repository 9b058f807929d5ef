import socket

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.protocol import Protocol
from twisted.internet.tcp import Connection
from twisted.internet.testing import StringTransport

from chivesaddle.http1 import CallerConnection
from chivesaddle.http1.server import CallerLimits, Listener
from chivesaddle.http1.sockets import write_at_once


class PollSet:
    """Counts the changes of the poll set of a reactor that never runs."""

    def __init__(self):
        self.writers = []

    def addWriter(self, writer):  # noqa: N802
        self.writers.append(writer)

    def removeWriter(self, writer):  # noqa: N802
        self.writers.remove(writer)


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

    def test_order_is_kept_while_data_is_queued(self, pair):
        """Guards against bytes that overtake what the kernel did not accept yet."""
        connection, far = pair
        expected = b""
        received = b""
        for number in range(40):
            block = bytes([number]) * 65_536
            write_at_once(connection, block)
            expected += block
        assert connection.reactor.writers
        while len(received) < len(expected):
            received += far.recv(1 << 20)
            connection.doWrite()
        assert received == expected

    def test_closed_connection_is_left_to_the_reactor(self, pair):
        connection, far = pair
        far.close()
        write_at_once(connection, b"abc")
        assert connection.reactor.writers
        assert isinstance(connection.doWrite(), Exception)


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
