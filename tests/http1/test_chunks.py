import itertools

import h11
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from chivesaddle.core.aio import start
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.http1 import ServerConnection
from chivesaddle.http1.client import READ_BUFFER_HIGH_WATER_BYTES

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
SIZES = (b"%x", b"%X", b"0%x", b"%017x", b"%x;a=b", b"%x ", b"-%x", b"%x\n", b"+%x")


@st.composite
def responses(draw):
    """Chunked responses, most of them well-formed, and where segments end."""
    parts = [b"HTTP/1.1 100 Continue\r\n\r\n"] if draw(st.booleans()) else []
    parts.append(
        HEAD + draw(st.sampled_from([b"", b"Connection: close\r\n"])) + b"\r\n"
    )
    for data in draw(st.lists(st.binary(min_size=1, max_size=30), max_size=6)):
        size = draw(st.sampled_from(SIZES[:1] * 12 + SIZES)) % len(data)
        line_end = draw(
            st.sampled_from([b"\r\n"] * 12 + [b"\n", b"", b"\rx", b"\r\nx"])
        )
        parts += [size + b"\r\n", data, line_end]
    parts.append(
        draw(st.sampled_from([b"0\r\n\r\n"] * 3 + [b"00\r\nA: b\r\n\r\n", b""]))
    )
    parts.append(draw(st.sampled_from([b"", b"", b"x", HEAD + b"\r\n0\r\n\r\n"])))
    data = b"".join(parts)
    cuts = draw(st.lists(st.integers(0, len(data)), max_size=12))
    bounds = [0, *sorted(cuts), len(data)]
    segments = [data[a:b] for a, b in itertools.pairwise(bounds) if b > a]
    return segments, draw(st.booleans())


class Connection(ServerConnection):
    """Connection that can leave the whole response to h11."""

    decodes = True

    def _can_decode(self, head):
        return self.decodes and super()._can_decode(head)


async def read_response(connection, seen):
    try:
        head = await connection.read_head()
        seen.append(head.status)
        while (chunk := await connection.read_chunk()) is not None:
            # Where a body is cut differs, which callers do not see.
            seen[-1:] = (
                [seen[-1] + chunk] if isinstance(seen[-1], bytes) else [seen[-1], chunk]
            )
        seen.append("end")
    except ChivesaddleError as error:
        seen.append(type(error))


def observe(segments, is_closed, *, decodes, reads_late):
    """Return what a reader of the response saw, and the state of the connection."""
    connection = Connection()
    connection.decodes = decodes
    transport = StringTransport()
    transport.abortConnection = transport.loseConnection
    connection.makeConnection(transport)
    connection.send(b"GET", b"/", [(b"host", b"h")], b"")
    seen = []
    if not reads_late:
        start(read_response(connection, seen))
    for segment in segments:
        if not transport.disconnecting:
            connection.dataReceived(segment)
    if is_closed:
        connection.connectionLost(Failure(ConnectionDone()))
    if reads_late:
        start(read_response(connection, seen))
    return seen, connection.lost, connection.is_reusable


class TestSlowReaders:
    def test_bytes_held_are_bounded_until_they_are_read(self, run):
        """Guards against a response that fills the memory behind a slow caller."""
        connection = ServerConnection()
        transport = StringTransport()
        connection.makeConnection(transport)
        connection.send(b"GET", b"/", [(b"host", b"h")], b"")
        connection.dataReceived(HEAD + b"\r\n")
        run(connection.read_head())
        for _ in range(3):
            held = b""
            while transport.producerState == "producing":
                connection.dataReceived(b"3e8\r\n" + b"x" * 1_000 + b"\r\n")
                held += b"x" * 1_000
                assert len(held) <= READ_BUFFER_HIGH_WATER_BYTES + 1_000
            while transport.producerState == "paused":
                held = held.removeprefix(run(connection.read_chunk()))
            assert len(held) <= READ_BUFFER_HIGH_WATER_BYTES // 2
            while held:
                held = held.removeprefix(run(connection.read_chunk()))


class TestChunkedBodies:
    @given(responses(), st.booleans())
    @settings(derandomize=True, max_examples=400)
    def test_are_read_as_h11_reads_them(self, response, reads_late):
        """Guards against a cut, broken or surplus response that looks complete."""
        segments, is_closed = response
        results = [
            observe(segments, is_closed, decodes=decodes, reads_late=reads_late)
            for decodes in (True, False)
        ]
        assert results[0] == results[1]

    def test_plain_chunks_do_not_take_events_of_h11(self, monkeypatch):
        events = []
        next_event = h11.Connection.next_event

        def record(connection):
            events.append(next_event(connection))
            return events[-1]

        monkeypatch.setattr(h11.Connection, "next_event", record)
        segments = [HEAD + b"\r\n3\r\nabc\r\n", *[b"1\r\nx\r\n"] * 9, b"0\r\n\r\n"]
        seen, _, is_reusable = observe(segments, False, decodes=True, reads_late=False)
        assert seen == [200, b"abcxxxxxxxxx", "end"]
        assert is_reusable
        assert not any(isinstance(event, h11.Data) for event in events)

    def test_bytes_after_an_empty_response_in_the_same_segment_are_surplus(self):
        """Guards against a connection that is reused before they are parsed."""
        segments = [b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nextra"]
        seen, lost, _ = observe(segments, False, decodes=True, reads_late=False)
        assert seen == [200, "end"]
        assert lost
