"""Servers that send bytes without end, in a stream's event and in other bodies."""

import tracemalloc

import pytest

EVENT_1 = b"id: 1\ndata: a\n\n"
PIECE = b"x" * 16_384
MEGABYTE = 1_000_000


def send_without_end(harness, connection, most_bytes):
    """Send until the daemon closes the connection; return the bytes sent."""
    sent = 0
    while sent < most_bytes and not connection.transport.is_lost:
        connection.chunk(PIECE)
        sent += len(PIECE)
        harness.advance()
    return sent


class TestEndlessEvent:
    def test_is_broken_off_and_its_connection_closed(self, harness, caller):
        """Guards against an event that fills the memory until the time limit."""
        caller.request("/stream/x")
        connection = harness.connections[0]
        connection.start_stream(EVENT_1 + b"id: 2\ndata: ")
        assert send_without_end(harness, connection, 4 * MEGABYTE) < MEGABYTE
        assert connection.transport.is_lost
        assert caller.transport.is_lost
        assert PIECE not in caller.received()
        server = harness.servers.get(f"i-{connection.address[7]}")
        assert server.failure_rate > 0

    @pytest.mark.parametrize("begun", [b"", EVENT_1])
    def test_goes_on_at_another_server_if_the_stream_may_be_resumed(
        self, harness, caller, begun
    ):
        caller.request("/resumable/x")
        connection = harness.connections[0]
        connection.start_stream(begun + b"data: ")
        send_without_end(harness, connection, 4 * MEGABYTE)
        harness.advance()
        second = harness.connections[1]
        assert second.header("last-event-id") == ("1" if begun else None)
        second.start_stream(b"id: 2\ndata: b\n\n")
        second.end_stream()
        assert caller.received().endswith(b"0\r\n\r\n")

    def test_of_200_responses_takes_less_than_40_mb(self, harness):
        """The bound of the users for a daemon under 200 such responses."""
        connections = []
        for number in range(200):
            harness.caller().request(
                "/stream/x", f"a{number}", body=str(number).encode()
            )
            connections.append(harness.connections[-1])
        tracemalloc.start()
        for connection in connections:
            connection.start_stream(EVENT_1 + b"data: ")
        for _ in range(2 * MEGABYTE // len(PIECE)):
            for connection in connections:
                if not connection.transport.is_lost:
                    connection.chunk(PIECE)
            harness.advance()
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert peak < 40 * MEGABYTE


class TestEndlessHead:
    def test_interim_responses_are_broken_off(self, harness, caller):
        """Guards against a head that keeps the event loop busy to the time limit."""
        caller.request("/unsafe/x")
        (connection,) = harness.connections
        connection.send(b"HTTP/1.1 100 Continue\r\n\r\n" * 200)
        harness.advance()
        assert connection.transport.is_lost
        assert caller.status == 502

    def test_few_interim_responses_are_skipped(self, harness, caller):
        caller.request("/unsafe/x")
        (connection,) = harness.connections
        for _ in range(3):
            connection.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        connection.respond()
        assert caller.status == 200

    @pytest.mark.parametrize(
        "piece",
        [
            b"X-A: " + b"a" * 1_000 + b"\r\n",
            b"\r\n",
            b"a" * 1_000,
            b"HTTP/1.1 200 " + b"a" * 1_000,
            b" folded\r\n",
        ],
    )
    @pytest.mark.parametrize("begun", [b"", b"HTTP/1.1 200 OK\r\n"])
    def test_is_broken_off(self, harness, caller, begun, piece):
        caller.request("/unsafe/x")
        (connection,) = harness.connections
        if begun:
            connection.send(begun)
        sent = 0
        while sent < 4 * MEGABYTE and not connection.transport.is_lost:
            connection.send(piece * 20)
            sent += 20 * len(piece)
            harness.advance()
        assert connection.transport.is_lost
        assert caller.status == 502


class TestEndlessBody:
    def test_of_an_earlier_request_is_broken_off(self, harness, caller):
        """Guards against a copy that is skipped for as long as it goes on."""
        caller.request("/safe/x")
        (connection,) = harness.connections
        connection.start_stream(request_id="an earlier one")
        assert send_without_end(harness, connection, 8 * MEGABYTE) < 2 * MEGABYTE

    @pytest.mark.parametrize("piece", [b"\r\n", b"a" * 1_000 + b"\r\n"])
    def test_trailers_are_broken_off(self, harness, caller, piece):
        caller.request("/safe/x")
        (connection,) = harness.connections
        connection.start_stream(b"body")
        connection.send(b"0\r\n")
        sent = 0
        while sent < 4 * MEGABYTE and not connection.transport.is_lost:
            connection.send(b"X-T: " + piece)
            sent += len(piece)
            harness.advance()
        assert connection.transport.is_lost

    def test_of_a_successor_without_events_is_not_kept(self, harness, caller):
        """Guards against comments that fill the memory while a server is silent."""
        caller.request("/resumable/x")
        (silent,) = harness.connections
        silent.start_stream()
        for _ in range(45):
            harness.advance(0.1)
            if len(harness.connections) > 1:
                break
        successor = harness.connections[1]
        successor.start_stream()
        tracemalloc.start()
        sent = 0
        while sent < 8 * MEGABYTE and not successor.transport.is_lost:
            successor.chunk(b": wait\n\n" * 2_000)
            sent += 16_000
            harness.advance()
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert successor.transport.is_lost
        assert peak < 2 * MEGABYTE
        silent.chunk(EVENT_1)
        silent.end_stream()
        assert caller.received().endswith(b"0\r\n\r\n")
