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
