"""Requests that are passed on to a daemon that is silent for a while, and goes on."""

import pytest

from chivesaddle.core.ids import DaemonId
from chivesaddle.forwarding.passing import MAX_PEERS, PeerDaemon

from . import test_lost_paths
from .test_lost_paths import Cut, PathFleet
from .test_software_versions import resume, start_version_mix, version_of

EVENT_1 = b"id: 1\ndata: a\n\n"
EVENT_2 = b"id: 2\ndata: b\n\n"
# Of the routes in conftest.py: longest time without an event of a stream, and without a
# head of a repeatable request.
MAX_GAP_S = 4.0
MAX_HEAD_WAIT_S = 0.5
# Two servers must not work on one request for longer.
MAX_OVERLAP_S = 0.4
PEERS = [PeerDaemon(DaemonId(f"d{n}"), f"10.0.1.{n}:80") for n in range(1, 6)]
REFUSAL = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
KINDS = pytest.mark.parametrize(
    ("target", "wait_s"),
    [("/safe/x", MAX_HEAD_WAIT_S), ("/resumable/x", MAX_GAP_S)],
)


@pytest.fixture
def cut_off(harness):
    """A daemon that reaches no server, and two others that do."""
    harness.peer_paths.peers = PEERS[:2]
    return harness


def advance(harness, seconds):
    for _ in range(round(seconds / 0.05)):
        harness.advance(0.05)


def connections_to(harness, peer):
    return [c for c in harness.connections if c.address == peer.address]


def pass_on_until_silent(harness, caller, target, wait_s):
    """Return the connections to the first daemon, which is silent, and to the next."""
    caller.request(target)
    (first,) = harness.connections
    advance(harness, wait_s + 0.05)
    first_one, *others = harness.connections
    assert first_one is first
    return first, others


def pass_on_beside_another(harness, caller, target):
    """Return the connection to the first daemon; the next has another request."""
    other_caller = harness.caller()
    harness.peer_paths.peers = PEERS[1::-1]
    other_caller.request("/stream/x", "a2")
    harness.peer_paths.peers = PEERS[:2]
    caller.request(target)
    (first,) = connections_to(harness, PEERS[0])
    return first


def answer(connection):
    if "/safe/" in connection.head:
        connection.respond(body=EVENT_1 + EVENT_2 + b"\r\n0\r\n\r\n")
    else:
        connection.start_stream(EVENT_1, EVENT_2)
        connection.end_stream()


def is_answered(caller):
    return caller.status == 200 and caller.received().endswith(
        EVENT_2 + b"\r\n0\r\n\r\n"
    )


@KINDS
class TestRequestOfASilentDaemon:
    """Guards against a 502 for a request that the first daemon would have answered."""

    def test_is_answered_through_it_if_the_next_one_refuses_it(
        self, cut_off, caller, target, wait_s
    ):
        first, [other] = pass_on_until_silent(cut_off, caller, target, wait_s)
        other.send(REFUSAL)
        advance(cut_off, 0.3)
        answer(first)
        assert is_answered(caller)

    @pytest.mark.parametrize("status", [500, 502, 504])
    def test_is_answered_through_it_if_the_next_one_fails(
        self, cut_off, caller, target, wait_s, status
    ):
        first, [other] = pass_on_until_silent(cut_off, caller, target, wait_s)
        other.send(f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n".encode())
        advance(cut_off, 0.3)
        answer(first)
        assert is_answered(caller)

    @pytest.mark.parametrize("failure", ["refusing", "unresponsive"])
    def test_is_answered_through_it_if_the_next_one_is_not_reached(
        self, cut_off, caller, target, wait_s, failure
    ):
        addresses = getattr(cut_off.reactor, f"{failure}_addresses")
        addresses.add(PEERS[1].address)
        first, others = pass_on_until_silent(cut_off, caller, target, wait_s)
        advance(cut_off, 0.4)
        assert others == []
        answer(first)
        assert is_answered(caller)

    def test_is_answered_through_it_if_the_next_one_loses_the_connection(
        self, cut_off, caller, target, wait_s
    ):
        first, [other] = pass_on_until_silent(cut_off, caller, target, wait_s)
        other.transport.lose_connection()
        advance(cut_off, 0.3)
        answer(first)
        assert is_answered(caller)

    def test_is_answered_through_it_if_the_next_one_is_silent_too(
        self, cut_off, caller, target, wait_s
    ):
        first = pass_on_beside_another(cut_off, caller, target)
        advance(cut_off, wait_s + MAX_OVERLAP_S)
        assert len(connections_to(cut_off, PEERS[1])) == 2
        answer(first)
        assert is_answered(caller)

    def test_goes_on_at_the_next_one_if_that_sends_beacons(
        self, cut_off, caller, target, wait_s
    ):
        """Guards against a third server, which the first daemon finds later.

        The next daemon answered none of its requests yet, since the servers read
        their prompts.
        """
        first = pass_on_beside_another(cut_off, caller, target)
        advance(cut_off, wait_s + 0.1)
        cut_off.peer_paths.beacon_at_by_peer[PEERS[1].id] = cut_off.reactor.seconds()
        advance(cut_off, 0.3)
        assert first.transport.is_lost
        _, other = connections_to(cut_off, PEERS[1])
        if target == "/resumable/x":
            answer(other)
            assert is_answered(caller)

    def test_is_answered_through_it_if_the_next_one_sent_beacons_only_before(
        self, cut_off, caller, target, wait_s
    ):
        first = pass_on_beside_another(cut_off, caller, target)
        advance(cut_off, wait_s - 0.1)
        cut_off.peer_paths.beacon_at_by_peer[PEERS[1].id] = cut_off.reactor.seconds()
        advance(cut_off, MAX_OVERLAP_S + 0.1)
        assert not first.transport.is_lost
        answer(first)
        assert is_answered(caller)

    def test_is_answered_through_it_if_the_retry_budget_is_used_up(
        self, cut_off, caller, target, wait_s
    ):
        while cut_off.budget.try_acquire("app"):
            pass
        first, others = pass_on_until_silent(cut_off, caller, target, wait_s)
        assert others == []
        answer(first)
        assert is_answered(caller)

    def test_is_answered_through_it_if_no_other_one_reaches_servers(
        self, cut_off, caller, target, wait_s
    ):
        cut_off.peer_paths.peers = PEERS[:1]
        first, others = pass_on_until_silent(cut_off, caller, target, wait_s)
        assert others == []
        answer(first)
        assert is_answered(caller)

    def test_is_answered_through_the_next_one_if_that_answers_first(
        self, cut_off, caller, target, wait_s
    ):
        first, [other] = pass_on_until_silent(cut_off, caller, target, wait_s)
        assert not first.transport.is_lost
        answer(other)
        cut_off.advance()
        assert first.transport.is_lost
        assert is_answered(caller)
        assert cut_off.results == ["answered"]

    def test_is_answered_through_the_next_one_if_it_breaks(
        self, cut_off, caller, target, wait_s
    ):
        first, [other] = pass_on_until_silent(cut_off, caller, target, wait_s)
        first.transport.lose_connection()
        cut_off.advance()
        assert not other.transport.is_lost
        answer(other)
        assert is_answered(caller)

    def test_ends_at_the_next_one_if_it_answers_first(
        self, cut_off, caller, target, wait_s
    ):
        """Guards against servers that work for a caller that has its response."""
        first, [other] = pass_on_until_silent(cut_off, caller, target, wait_s)
        answer(first)
        cut_off.advance()
        assert other.transport.is_lost
        assert is_answered(caller)

    def test_is_run_by_two_servers_for_a_short_time_only(
        self, cut_off, caller, target, wait_s
    ):
        first, [other] = pass_on_until_silent(cut_off, caller, target, wait_s)
        advance(cut_off, MAX_OVERLAP_S)
        assert first.transport.is_lost
        assert not other.transport.is_lost
        if target == "/resumable/x":
            answer(other)
            assert is_answered(caller)

    def test_ends_at_both_if_the_caller_leaves(self, cut_off, caller, target, wait_s):
        first, [other] = pass_on_until_silent(cut_off, caller, target, wait_s)
        caller.close_connection()
        cut_off.advance()
        assert first.transport.is_lost and other.transport.is_lost

    def test_is_passed_on_with_the_number_of_its_runs(
        self, cut_off, caller, target, wait_s
    ):
        """Guards against more runs than the route allows."""
        first, [other] = pass_on_until_silent(cut_off, caller, target, wait_s)
        assert first.header("passed-on-after-runs") == "0"
        assert other.header("passed-on-after-runs") == "1"


class TestRulesOfRequestsThatArePassedOn:
    @pytest.mark.parametrize("target", ["/unsafe/x", "/stream/x"])
    def test_one_that_must_not_be_repeated_stays(self, cut_off, caller, target):
        caller.request(target)
        advance(cut_off, 0.9)
        (first,) = cut_off.connections
        assert not first.transport.is_lost

    def test_at_most_a_fixed_number_of_daemons_get_one(self, harness, caller):
        harness.peer_paths.peers = PEERS
        caller.request("/resumable/x")
        (first,) = harness.connections
        refused = {first}
        for _ in range(120):
            harness.advance(0.05)
            for other in set(harness.connections) - refused:
                refused.add(other)
                other.send(REFUSAL)
        assert len(harness.connections) == MAX_PEERS
        assert len({c.address for c in harness.connections}) == MAX_PEERS
        answer(first)
        assert is_answered(caller)

    def test_one_whose_response_has_begun_is_not_sent_to_the_next_one(
        self, cut_off, caller
    ):
        """Guards against two daemons that watch the silence of one stream."""
        caller.request("/resumable/x")
        (first,) = cut_off.connections
        first.start_stream(EVENT_1)
        advance(cut_off, MAX_GAP_S + 0.5)
        assert cut_off.connections == [first]
        first.chunk(EVENT_2)
        first.end_stream()
        assert is_answered(caller)

    def test_one_that_times_out_at_silent_daemons_is_answered_as_such(
        self, cut_off, caller
    ):
        first, [other] = pass_on_until_silent(
            cut_off, caller, "/safe/x", MAX_HEAD_WAIT_S
        )
        advance(cut_off, 1)
        assert caller.status == 504
        assert first.transport.is_lost and other.transport.is_lost

    def test_one_that_both_daemons_refuse_is_answered_as_not_run(self, cut_off, caller):
        first, [other] = pass_on_until_silent(
            cut_off, caller, "/safe/x", MAX_HEAD_WAIT_S
        )
        other.send(REFUSAL)
        cut_off.advance()
        first.send(REFUSAL)
        cut_off.advance()
        assert caller.status == 503
        assert cut_off.results == ["not_run"]

    def test_one_goes_on_at_a_server_that_is_reached_again(self, cut_off, caller):
        cut_off.peer_paths.peers = PEERS[:1]
        caller.request("/resumable/x")
        cut_off.peer_paths.peers = []
        advance(cut_off, MAX_GAP_S + 0.05)
        first, other = cut_off.connections
        assert other.header("x-chivesaddle-expected-instance") is not None
        answer(other)
        cut_off.advance()
        assert first.transport.is_lost
        assert is_answered(caller)

    def test_one_that_resumes_a_stream_goes_on_at_the_version_that_began_it(
        self, harness
    ):
        """Guards against events of two versions in one stream."""
        start_version_mix(harness)
        for number in range(4):
            caller = harness.caller()
            caller.request("/resumable/x", f"a{number}")
            began_at = harness.connections[-1]
            began_at.start_stream(EVENT_1)
            caller.close_connection()
            harness.peer_paths.peers = PEERS[:1]
            resume(harness, f"a{number}", request_id=f"b{number}")
            harness.peer_paths.peers = []
            advance(harness, MAX_GAP_S)
            for server in harness.servers.all():
                is_own = server.entry.software_version == version_of(began_at)
                server.failure_rate = 0.9 if is_own else 0.0
            advance(harness, 0.3)
            went_on_at = harness.connections[-1]
            assert went_on_at is not began_at
            assert went_on_at.address != PEERS[0].address
            assert version_of(went_on_at) == version_of(began_at)

    def test_a_daemon_that_is_given_up_is_logged(self, cut_off, caller, caplog):
        caplog.set_level("INFO")
        _, [other] = pass_on_until_silent(cut_off, caller, "/safe/x", MAX_HEAD_WAIT_S)
        answer(other)
        lines = [
            r for r in caplog.records if r.getMessage().endswith("passing on failed")
        ]
        assert [(line.peer, line.was_given_up) for line in lines] == [("d1", True)]
        (line,) = [r for r in caplog.records if r.getMessage().endswith("answered")]
        assert line.passed_to == ["d1", "d2"]


class TestRequestAtAServerOnAPathThatHangs:
    """Guards against requests that wait there although another daemon is answered."""

    def lose_paths(self, harness):
        harness.peer_paths.peers = PEERS[:2]

    def test_stream_goes_on_through_another_daemon(self, harness, caller):
        caller.request("/resumable/x")
        (server,) = harness.connections
        server.start_stream(EVENT_1)
        self.lose_paths(harness)
        advance(harness, MAX_GAP_S + 0.05)
        (other,) = connections_to(harness, PEERS[0])
        assert other.header("passed-on-after-runs") == "1"
        assert other.header("last-event-id") == "1"
        assert not server.transport.is_lost
        other.start_stream(EVENT_2)
        harness.advance()
        assert server.transport.is_lost
        other.end_stream()
        assert is_answered(caller)

    def test_request_without_a_head_goes_on_through_another_daemon(
        self, harness, caller
    ):
        caller.request("/safe/x")
        (server,) = harness.connections
        self.lose_paths(harness)
        advance(harness, MAX_HEAD_WAIT_S + 0.05)
        (other,) = connections_to(harness, PEERS[0])
        assert not server.transport.is_lost
        answer(other)
        harness.advance()
        assert server.transport.is_lost
        assert is_answered(caller)

    def test_stream_goes_on_before_its_connection_is_found_dead(self, monkeypatch):
        """With paths that the daemon judges itself."""
        monkeypatch.setattr(test_lost_paths, "DEAD_CONNECTION_S", 60.0)
        fleet = PathFleet(3)
        fleet.play(2)
        run = fleet.send(fleet.daemons[0], "/resumable/")
        fleet.advance(0.05)
        server = fleet.connection_of(run.id)
        server.start_stream(EVENT_1, request_id=run.id)
        fleet.runs.remove(run)
        fleet.advance(0.05)
        fleet.cut(1, Cut.HANG)
        fleet.play(MAX_GAP_S, target="/unsafe/")
        assert fleet.daemons[0].paths.is_cut_off
        assert not server.transport.is_lost
        other = fleet.connection_of(run.id)
        assert other is not server
        other.start_stream(EVENT_2, request_id=run.id)
        other.end_stream()
        fleet.advance(0.05)
        assert is_answered(run.caller)

    def test_stream_goes_on_there_if_the_other_daemon_refuses_it(self, harness, caller):
        caller.request("/resumable/x")
        (server,) = harness.connections
        server.start_stream(EVENT_1)
        harness.peer_paths.peers = PEERS[:1]
        advance(harness, MAX_GAP_S + 0.05)
        (other,) = connections_to(harness, PEERS[0])
        other.send(REFUSAL)
        advance(harness, 0.5)
        server.chunk(EVENT_2)
        server.end_stream()
        assert is_answered(caller)

    def test_next_daemon_gets_it_if_the_server_breaks_before_one_refuses(
        self, harness, caller
    ):
        caller.request("/resumable/x")
        (server,) = harness.connections
        server.start_stream(EVENT_1)
        self.lose_paths(harness)
        advance(harness, MAX_GAP_S + 0.05)
        (other,) = connections_to(harness, PEERS[0])
        server.transport.lose_connection()
        harness.advance()
        other.send(REFUSAL)
        harness.advance()
        harness.advance()
        (last,) = connections_to(harness, PEERS[1])
        last.start_stream(EVENT_2)
        last.end_stream()
        assert is_answered(caller)

    def test_next_daemon_gets_a_request_that_has_run_nowhere(self, harness, caller):
        caller.request("/safe/x")
        (server,) = harness.connections
        self.lose_paths(harness)
        advance(harness, MAX_HEAD_WAIT_S + 0.05)
        (other,) = connections_to(harness, PEERS[0])
        server.respond(503, extra_header="X-Chivesaddle-Not-Executed: 1")
        harness.advance()
        other.send(REFUSAL)
        harness.advance()
        harness.advance()
        (last,) = connections_to(harness, PEERS[1])
        answer(last)
        assert is_answered(caller)

    def test_stream_of_a_model_goes_on_through_another_daemon(self, harness, caller):
        """Guards against a wait for memory of servers that are not reached."""
        harness.use_model_engines()
        headers = "X-Chivesaddle-Model: m\r\nX-Chivesaddle-Token-Counts: 90,10"
        caller.request("/resumable/x", headers=headers)
        (server,) = harness.connections
        server.start_stream(EVENT_1)
        self.lose_paths(harness)
        advance(harness, MAX_GAP_S + 0.05)
        (other,) = connections_to(harness, PEERS[0])
        other.start_stream(EVENT_2)
        other.end_stream()
        assert is_answered(caller)

    def test_stream_that_waits_for_another_server_goes_on_through_a_daemon(
        self, harness, caller
    ):
        harness.use_model_engines()
        headers = (
            "X-Chivesaddle-Model: m\r\nX-Chivesaddle-Token-Counts: 90,10\r\n"
            "X-Chivesaddle-Prompt-Prefix: p1:90"
        )
        caller.request("/resumable/x", headers=headers)
        harness.caller().request("/stream/x", "b1", headers=headers)
        server, other_server = harness.connections
        server.start_stream(EVENT_1)
        other_server.start_stream(EVENT_1)
        for _ in range(85):
            harness.advance(0.05)
            other_server.chunk(b": alive\n\n")
        assert len(harness.connections) == 2
        self.lose_paths(harness)
        advance(harness, 0.5)
        (other,) = connections_to(harness, PEERS[0])
        other.start_stream(EVENT_2)
        other.end_stream()
        assert is_answered(caller)


class TestServersOfARequestThatIsPassedOn:
    def start(self, size, target):
        """Pass on a request to whose first server nobody lets respond."""
        fleet = PathFleet(size)
        fleet.play(2)
        fleet.cut(1, Cut.RESET)
        fleet.play(2, target="/unsafe/")
        assert fleet.daemons[0].paths.is_cut_off
        run = fleet.send(fleet.daemons[0], target)
        fleet.runs.remove(run)
        return fleet, run

    @pytest.mark.parametrize("target", ["/safe/x", "/resumable/x"])
    def test_are_no_more_than_its_route_allows(self, target):
        """Guards against both daemons that look for another server at once."""
        fleet, run = self.start(3, target)
        for _ in range(round(MAX_GAP_S / 0.05) + 20):
            fleet.play(0.05, target="/unsafe/")
            sent = connections_with(fleet, run)
            running = [c for c in sent if not c.transport.is_lost]
            assert len(running) <= 2
        assert len(sent) == 2

    def test_are_two_if_only_one_daemon_reaches_any(self):
        """Guards against requests that no daemon looks for another server for."""
        fleet, run = self.start(2, "/resumable/x")
        fleet.advance(0.05)
        (first,) = connections_with(fleet, run)
        fleet.play(MAX_GAP_S + 0.5, target="/unsafe/")
        (second,) = set(connections_with(fleet, run)) - {first}
        second.start_stream(EVENT_1, EVENT_2, request_id=run.id)
        second.end_stream()
        fleet.advance(0.1)
        assert first.transport.is_lost
        assert is_answered(run.caller)


def connections_with(fleet, run):
    """Return the connections whose last request is the run's."""
    end = b"\r\n\r\n" + run.id.encode()
    return [c for c in fleet.reactor.connections if c.transport.value().endswith(end)]
