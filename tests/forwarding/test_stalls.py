"""Timeouts of a stream between backend server, daemon and caller."""

import pytest

EVENT_1 = b"id: 1\ndata: a\n\n"
EVENT_2 = b"id: 2\ndata: b\n\n"
# Of the routes in conftest.py: time limit, and longest time without an event.
TIME_LIMIT_S = 9.0
MAX_GAP_S = 4.0


def advance(harness, seconds, at_each_step=lambda: None):
    for _ in range(round(seconds / 0.1)):
        harness.advance(0.1)
        at_each_step()


def second_server(harness):
    """Return the connection on which the stream goes on, None if there is none."""
    return harness.connections[1] if len(harness.connections) > 1 else None


class TestServerThatStalls:
    def test_before_the_response_is_replaced(self, harness, caller):
        caller.request("/resumable/x")
        advance(harness, MAX_GAP_S + 0.2)
        assert second_server(harness).header("last-event-id") is None

    @pytest.mark.parametrize("sent", [b"", b"d", b": wait\n\n"])
    def test_after_the_head_is_replaced(self, harness, caller, sent):
        """Guards against a server that responds at once and then never streams."""
        caller.request("/resumable/x")
        server = harness.connections[0]
        server.start_stream()
        advance(harness, MAX_GAP_S + 0.2, lambda: sent and server.chunk(sent))
        second = second_server(harness)
        second.start_stream(EVENT_1)
        harness.advance()
        assert server.transport.is_lost
        second.end_stream()
        assert caller.received().endswith(b"0\r\n\r\n")

    @pytest.mark.parametrize("sent", [b"", b"d", b": wait\n\n"])
    def test_between_events_is_replaced(self, harness, caller, sent):
        """Guards against bytes that come now and then and keep a dead stream alive."""
        caller.request("/resumable/x")
        server = harness.connections[0]
        server.start_stream(EVENT_1)
        advance(harness, MAX_GAP_S + 0.2, lambda: sent and server.chunk(sent))
        second = second_server(harness)
        assert second.header("last-event-id") == "1"
        second.start_stream(EVENT_2)
        second.end_stream()
        assert caller.received().count(b"id: 1\n") == 1
        assert caller.received().endswith(b"0\r\n\r\n")

    def test_is_not_suspected_of_a_crash(self, harness, caller):
        caller.request("/resumable/x")
        harness.connections[0].start_stream(EVENT_1)
        advance(harness, MAX_GAP_S + 0.2)
        second_server(harness).start_stream(EVENT_2)
        harness.connections[0].transport.lose_connection()
        assert not harness.crashes.collect()

    def test_ends_at_the_time_limit_if_the_stream_cannot_be_resumed(
        self, harness, caller
    ):
        caller.request("/stream/x")
        server = harness.connections[0]
        server.start_stream(EVENT_1)
        advance(harness, TIME_LIMIT_S - 0.2, lambda: server.chunk(b"d"))
        assert not caller.transport.is_lost
        advance(harness, 0.4)
        assert caller.transport.is_lost
        assert server.transport.is_lost


class TestSlowStream:
    """Guards against sound streams that are cut."""

    @pytest.mark.parametrize(
        ("target", "gap_s"), [("/resumable/x", 3.5), ("/stream/x", 8.0)]
    )
    def test_with_long_gaps_goes_on(self, harness, caller, target, gap_s):
        caller.request(target)
        server = harness.connections[0]
        server.start_stream(EVENT_1)
        advance(harness, gap_s)
        server.chunk(EVENT_2)
        server.end_stream()
        assert caller.received().endswith(b"0\r\n\r\n")
        assert len(harness.connections) == 1

    def test_whose_events_arrive_byte_by_byte_goes_on(self, harness, caller):
        caller.request("/resumable/x")
        server = harness.connections[0]
        server.start_stream()
        for byte in EVENT_1 + EVENT_2:
            server.chunk(bytes([byte]))
            advance(harness, 0.2)
        server.end_stream()
        assert caller.received().endswith(b"0\r\n\r\n")
        assert len(harness.connections) == 1

    def test_of_a_caller_that_pauses_is_not_taken_for_a_stalled_server(
        self, harness, caller
    ):
        caller.request("/resumable/x")
        server = harness.connections[0]
        caller.protocol.pauseProducing()
        server.start_stream(EVENT_1)
        advance(harness, MAX_GAP_S + 1.0)
        caller.protocol.resumeProducing()
        advance(harness, 1.0)
        server.chunk(EVENT_2)
        server.end_stream()
        assert caller.received().endswith(b"0\r\n\r\n")
        assert len(harness.connections) == 1

    @pytest.mark.parametrize("target", ["/resumable/x", "/stream/x"])
    def test_of_a_caller_that_reads_no_more_ends_at_the_time_limit(
        self, harness, caller, target
    ):
        """Guards against runs that a dead caller keeps at their server."""
        caller.request(target)
        server = harness.connections[0]
        caller.protocol.pauseProducing()
        server.start_stream(EVENT_1)
        advance(harness, TIME_LIMIT_S - 0.2)
        assert not server.transport.is_lost
        advance(harness, 0.4)
        assert server.transport.is_lost
        assert caller.transport.is_lost
        assert len(harness.connections) == 1

    def test_with_a_long_gap_goes_on_if_there_is_no_other_server(self, harness, caller):
        """Giving up the only server would break the stream off for certain."""
        harness.servers.remove("i-2", may_have_expired=False)
        caller.request("/resumable/x")
        server = harness.connections[0]
        server.start_stream(EVENT_1)
        advance(harness, MAX_GAP_S + 2.0)
        server.chunk(EVENT_2)
        server.end_stream()
        assert caller.received().endswith(b"0\r\n\r\n")

    def test_with_a_long_gap_goes_on_while_the_retry_budget_is_used_up(
        self, harness, caller
    ):
        caller.request("/resumable/x")
        server = harness.connections[0]
        server.start_stream(EVENT_1)
        while harness.budget.try_acquire("app"):
            pass
        advance(harness, MAX_GAP_S + 2.0)
        server.chunk(EVENT_2)
        server.end_stream()
        assert caller.received().endswith(b"0\r\n\r\n")
        assert len(harness.connections) == 1
