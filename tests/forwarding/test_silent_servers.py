"""Requests whose server is silent for a while and then goes on."""

import pytest

from .conftest import Harness

EVENT_1 = b"id: 1\ndata: a\n\n"
EVENT_2 = b"id: 2\ndata: b\n\n"
# Of the routes in conftest.py: longest time without an event of a stream, and without a
# head of a repeatable request.
MAX_GAP_S = 4.0
MAX_HEAD_WAIT_S = 0.6
NOT_RUN = "X-Chivesaddle-Not-Executed: 1"


def start_stream(harness, caller, request_id="a1"):
    """Start a stream; return the connection to its server after the first event."""
    caller.request("/resumable/x", request_id)
    server = harness.connections[-1]
    server.start_stream(EVENT_1)
    return server


def advance(harness, seconds):
    for _ in range(round(seconds / 0.1)):
        harness.advance(0.1)


def later_connections(harness, count=1):
    return harness.connections[count:]


def go_on(server):
    server.chunk(EVENT_2)
    server.end_stream()


def is_whole(caller):
    return caller.received().endswith(EVENT_2 + b"\r\n0\r\n\r\n")


class TestStreamOfASilentServer:
    def test_goes_on_there_if_the_other_server_refuses_it(self, harness, caller):
        server = start_stream(harness, caller)
        advance(harness, MAX_GAP_S + 0.2)
        for other in later_connections(harness):
            other.respond(503, extra_header=NOT_RUN)
        advance(harness, 0.6)
        go_on(server)
        assert is_whole(caller)

    def test_goes_on_there_if_the_other_server_loses_the_connection(
        self, harness, caller
    ):
        server = start_stream(harness, caller)
        advance(harness, MAX_GAP_S + 0.2)
        for other in later_connections(harness):
            other.transport.lose_connection()
        advance(harness, 0.6)
        go_on(server)
        assert is_whole(caller)

    @pytest.mark.parametrize(
        "events", [EVENT_1, b"data: no id\n\n", b"HTTP/1.1 500 X\n\n"]
    )
    def test_goes_on_there_if_the_other_server_does_not_resume_it(
        self, harness, caller, events
    ):
        server = start_stream(harness, caller)
        advance(harness, MAX_GAP_S + 0.2)
        for other in later_connections(harness):
            other.start_stream(events)
        advance(harness, 0.6)
        go_on(server)
        assert is_whole(caller)

    @pytest.mark.parametrize("status", [200, 404, 500])
    def test_goes_on_there_if_the_other_server_responds_without_events(
        self, harness, caller, status
    ):
        server = start_stream(harness, caller)
        advance(harness, MAX_GAP_S + 0.2)
        for other in later_connections(harness):
            other.respond(status, extra_header="Content-Type: text/plain")
        advance(harness, 0.6)
        go_on(server)
        assert is_whole(caller)

    def test_goes_on_there_if_other_streams_take_the_retry_budget(self, harness):
        """Guards against streams that look at the same budget and then compete."""
        callers = [harness.caller() for _ in range(4)]
        harness.add_server(1, slots=8)
        servers = [
            start_stream(harness, caller, f"a{number}")
            for number, caller in enumerate(callers)
        ]
        while harness.budget.try_acquire("app"):
            pass
        # Room for one retry.
        harness.budget._retries["app"].popleft()
        advance(harness, MAX_GAP_S + 0.2)
        for other in later_connections(harness, len(servers)):
            other.start_stream(EVENT_2)
            other.end_stream()
        for server in servers:
            if not server.transport.is_lost:
                go_on(server)
        assert [is_whole(caller) for caller in callers] == [True] * 4

    def test_goes_on_there_if_the_other_server_is_silent_too(self, harness):
        callers = [harness.caller() for _ in range(2)]
        harness.servers.get("i-2").ejected_until = 1e9
        servers = [start_stream(harness, callers[0])]
        harness.servers.get("i-2").ejected_until = 0.0
        harness.servers.get("i-1").ejected_until = 1e9
        servers.append(start_stream(harness, callers[1], "a2"))
        harness.servers.get("i-1").ejected_until = 0.0
        advance(harness, MAX_GAP_S + 1.0)
        for server in servers:
            if not server.transport.is_lost:
                go_on(server)
        assert [is_whole(caller) for caller in callers] == [True] * 2


class TestRequestWithoutAHead:
    """Guards against a 502 for a request that its server would have answered."""

    KINDS = pytest.mark.parametrize(
        ("target", "wait_s"),
        [("/safe/x", MAX_HEAD_WAIT_S), ("/resumable/x", MAX_GAP_S + 0.2)],
    )

    def answer(self, server, target):
        if target == "/safe/x":
            server.respond(body=EVENT_2 + b"\r\n0\r\n\r\n")
        else:
            server.start_stream(EVENT_1)
            go_on(server)

    @KINDS
    def test_is_answered_by_its_silent_server_if_the_other_one_refuses_it(
        self, harness, caller, target, wait_s
    ):
        caller.request(target)
        server = harness.connections[0]
        advance(harness, wait_s)
        (other,) = later_connections(harness)
        other.respond(503, extra_header=NOT_RUN)
        advance(harness, 0.2)
        self.answer(server, target)
        assert caller.status == 200
        assert is_whole(caller)

    @KINDS
    def test_is_answered_by_its_silent_server_if_the_retry_budget_is_used_up(
        self, harness, caller, target, wait_s
    ):
        caller.request(target)
        server = harness.connections[0]
        while harness.budget.try_acquire("app"):
            pass
        advance(harness, wait_s)
        self.answer(server, target)
        assert caller.status == 200
        assert is_whole(caller)

    @KINDS
    def test_is_answered_by_its_only_server(self, harness, caller, target, wait_s):
        harness.servers.remove("i-2", may_have_expired=False)
        caller.request(target)
        server = harness.connections[0]
        advance(harness, wait_s + 0.2)
        self.answer(server, target)
        assert caller.status == 200
        assert is_whole(caller)


class TestTwoServersWithOneRequest:
    """Guards against two servers that work on one request, and against runs in vain."""

    # Two servers must not work on one request for longer.
    MAX_OVERLAP_S = 0.4

    def test_the_silent_one_is_closed_once_the_other_one_sends_an_event(
        self, harness, caller
    ):
        server = start_stream(harness, caller)
        advance(harness, MAX_GAP_S + 0.1)
        (other,) = later_connections(harness)
        assert not server.transport.is_lost
        other.start_stream()
        harness.advance()
        assert not server.transport.is_lost
        other.chunk(EVENT_2)
        harness.advance()
        assert server.transport.is_lost
        other.end_stream()
        assert is_whole(caller)

    def test_the_silent_one_is_closed_in_time_if_the_other_one_is_alive(self):
        harness = Harness()

        async def probe_server(server, deadline):
            return server.id == "i-2"

        harness.forwarder = harness.make_forwarder(probe_server=probe_server)
        harness.servers.get("i-2").ejected_until = 1e9
        caller = harness.caller()
        server = start_stream(harness, caller)
        harness.servers.get("i-2").ejected_until = 0.0
        advance(harness, MAX_GAP_S + 0.1)
        (other,) = later_connections(harness)
        advance(harness, self.MAX_OVERLAP_S)
        harness.advance()
        assert server.transport.is_lost
        assert not other.transport.is_lost
        other.start_stream(EVENT_2)
        other.end_stream()
        assert is_whole(caller)

    def test_the_other_one_is_closed_once_the_silent_one_goes_on(self, harness, caller):
        server = start_stream(harness, caller)
        advance(harness, MAX_GAP_S + 0.1)
        (other,) = later_connections(harness)
        server.chunk(EVENT_2)
        harness.advance()
        assert other.transport.is_lost
        assert not server.transport.is_lost
        server.end_stream()
        assert is_whole(caller)

    def test_the_other_one_goes_on_if_the_silent_one_loses_the_connection(
        self, harness, caller
    ):
        server = start_stream(harness, caller)
        advance(harness, MAX_GAP_S + 0.1)
        (other,) = later_connections(harness)
        server.transport.lose_connection()
        harness.advance()
        assert not other.transport.is_lost
        other.start_stream(EVENT_2)
        other.end_stream()
        assert is_whole(caller)
        assert len(harness.connections) == 2

    def test_both_are_closed_if_the_caller_leaves(self, harness, caller):
        server = start_stream(harness, caller)
        advance(harness, MAX_GAP_S + 0.1)
        (other,) = later_connections(harness)
        caller.close_connection()
        harness.advance()
        assert server.transport.is_lost
        assert other.transport.is_lost

    def test_both_are_closed_at_the_time_limit(self, harness, caller):
        harness.servers.get("i-2").ejected_until = 1e9
        start_stream(harness, harness.caller(), "a2")
        harness.servers.get("i-2").ejected_until = 0.0
        server = start_stream(harness, caller)
        advance(harness, 9.2)
        assert server.transport.is_lost
        assert all(c.transport.is_lost for c in harness.connections)

    def test_a_stream_is_sent_to_no_more_servers_than_its_route_allows(
        self, harness, caller
    ):
        harness.add_server(3)
        server = start_stream(harness, caller)
        advance(harness, MAX_GAP_S + 0.1)
        server.chunk(EVENT_2)
        advance(harness, MAX_GAP_S + 0.2)
        assert len(harness.connections) == 2
        assert not server.transport.is_lost

    def test_a_stream_that_was_refused_is_sent_to_a_third_server(self, harness, caller):
        harness.add_server(3)
        server = start_stream(harness, caller)
        advance(harness, MAX_GAP_S + 0.1)
        harness.connections[1].respond(503, extra_header=NOT_RUN)
        advance(harness, 0.5)
        harness.connections[2].start_stream(EVENT_2)
        harness.connections[2].end_stream()
        harness.advance()
        assert server.transport.is_lost
        assert is_whole(caller)


class TestLogOfAServerThatIsGivenUp:
    def test_says_that_it_was_connected_and_how_long_it_was_silent(
        self, harness, caller, caplog
    ):
        caplog.set_level("INFO")
        server = start_stream(harness, caller)
        given_up = server.header("x-chivesaddle-expected-instance")
        advance(harness, MAX_GAP_S + 0.2)
        (other,) = later_connections(harness)
        other.start_stream(EVENT_2)
        other.end_stream()
        (line,) = [r for r in caplog.records if r.getMessage().endswith("send failed")]
        assert line.was_given_up
        assert line.silent_ms >= MAX_GAP_S * 1e3
        (line,) = [r for r in caplog.records if r.getMessage().endswith("answered")]
        assert line.given_up == [given_up]


class TestRequestWhoseTimeLimitIsOver:
    def test_is_answered_as_timed_out(self, harness, caller):
        """Guards against a search for another server that none can answer in time."""
        harness.servers.remove("i-2", may_have_expired=False)
        caller.request("/safe/x")
        harness.advance(0.99)
        harness.connections[0].transport.lose_connection()
        harness.advance()
        assert caller.status == 504


class TestStreamWhoseServerBreaks:
    PROMPT = "X-Chivesaddle-Model: m\r\nX-Chivesaddle-Token-Counts: {},10"

    def test_waits_for_the_other_server_that_is_full(self, harness):
        """Guards against a wait that was over before the stream could need it."""
        harness.use_model_engines()
        callers = [harness.caller() for _ in range(2)]
        harness.servers.get("i-2").ejected_until = 1e9
        callers[0].request("/resumable/x", "a1", headers=self.PROMPT.format(20))
        broken = harness.connections[0]
        broken.start_stream(EVENT_1)
        harness.servers.get("i-2").ejected_until = 0.0
        harness.servers.get("i-1").ejected_until = 1e9
        callers[1].request("/resumable/x", "a2", headers=self.PROMPT.format(80))
        full = harness.connections[1]
        full.start_stream(EVENT_1)
        for number in range(2, 50):
            harness.advance(0.1)
            broken.chunk(b"id: %d\ndata: a\n\n" % number)
        broken.transport.lose_connection()
        advance(harness, 0.5)
        full.transport.clear()
        go_on(full)
        advance(harness, 0.3)
        assert full.header("last-event-id") == "49"
        full.start_stream(b"id: 50\ndata: b\n\n")
        full.end_stream()
        assert callers[0].received().endswith(b"0\r\n\r\n")
