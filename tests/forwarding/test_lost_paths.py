"""Daemons that reach no server while others do, without a network."""

from dataclasses import dataclass
from enum import Enum
from types import SimpleNamespace

import pytest
from twisted.internet.error import ConnectionLost, ConnectionRefusedError
from twisted.python.failure import Failure

from chivesaddle.fleet import Member
from chivesaddle.serving.hints import ServerLoadShares
from chivesaddle.serving.path_probe import PathProbe
from chivesaddle.serving.peer_paths import FleetPaths
from chivesaddle.serving.server_activity import ServerActivity

from .conftest import CrashFleet, Harness, Transport

# Time after which the platform's rules judge a daemon that is cut off.
STABLE_WINDOW_S = 3.0
# Time until a dead connection is found by the kernel.
DEAD_CONNECTION_S = 3.0
RESPONSE_S = 0.05
BEACON_INTERVAL_S = 0.1
EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")
# Host of all connections that StringTransport accepts.
HOST = "192.168.1.1"


class Cut(Enum):
    """What happens to a daemon's connections to servers."""

    NONE = "none"
    RESET = "reset"
    HANG = "hang"
    REFUSE_NEW = "refuse new"


class LinkTransport(Transport):
    """One end of a connection between two daemons."""

    def __init__(self, clock):
        super().__init__(clock)
        self.other = None

    def write(self, data):
        super().write(data)
        # TCP delivers nothing for an empty write.
        if data:
            self.clock.callLater(0.001, self.other.deliver, data)

    def deliver(self, data):
        if not self.is_lost:
            self.protocol.dataReceived(data)

    def lose_connection(self, reason=ConnectionLost):
        super().lose_connection(reason)
        if not self.other.is_lost:
            self.clock.callLater(0.001, self.other.lose_connection, reason)


class DaemonReactor:
    """The network as one daemon sees it."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.shared = fleet.reactor
        self.clock = self.shared.clock
        self.callLater, self.seconds = self.clock.callLater, self.clock.seconds
        self.connections = self.shared.connections
        self.cut = Cut.NONE
        self.own_connections = []

    def connectTCP(self, host, port, factory, **options):  # noqa: N802
        address = f"{host}:{port}"
        connector = SimpleNamespace(disconnect=lambda: None)
        if host == HOST:
            self.clock.callLater(0, self._connect_to_daemon, address, factory)
        elif self.cut in (Cut.RESET, Cut.REFUSE_NEW):
            failure = Failure(ConnectionRefusedError())
            self.clock.callLater(0, factory.clientConnectionFailed, None, failure)
        elif self.cut is Cut.NONE:
            before = len(self.connections)
            self.shared.connectTCP(host, port, factory, **options)
            self.clock.callLater(0, self._note_connections, before)
        return connector

    def _note_connections(self, before):
        for connection in self.connections[before:]:
            if connection.protocol.transport is connection.transport:
                self.own_connections.append(connection)

    def _connect_to_daemon(self, address, factory):
        daemon = self.fleet.daemon_by_address[address]
        if daemon.is_down:
            factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
            return
        near, far = LinkTransport(self.clock), LinkTransport(self.clock)
        near.other, far.other = far, near
        near.protocol = factory.buildProtocol(None)
        far.protocol = daemon.listener_protocol()
        far.protocol.makeConnection(far)
        near.protocol.makeConnection(near)
        daemon.links.append(far)

    def set_cut(self, cut):
        self.cut = cut
        connections = [c for c in self.own_connections if not c.transport.is_lost]
        if cut is Cut.RESET:
            for connection in connections:
                connection.transport.lose_connection()
        elif cut is Cut.HANG:
            for connection in connections:
                connection.is_hung = True
                self.clock.callLater(
                    DEAD_CONNECTION_S, connection.transport.lose_connection
                )


class PathDaemon(Harness):
    """A forwarder with the paths of its fleet."""

    def __init__(self, fleet, number):
        self.own_reactor = DaemonReactor(fleet)
        super().__init__(self.own_reactor)
        self.is_down = False
        self.links = []
        self.beacon_at_by_peer = {}
        self.member = Member(
            f"d{number}", "1", f"z{number % 3}", f"{HOST}:{8_000 + number}", "peers"
        )
        working_set = SimpleNamespace(
            peers=lambda: [
                d.member for d in fleet.daemons if d is not self and not d.is_down
            ]
        )
        members = SimpleNamespace(
            own=self.member,
            is_cut_off=lambda daemon: False,
            last_beacon_at=lambda daemon: self.beacon_at_by_peer[daemon],
            registered=lambda: [d.member for d in fleet.daemons],
        )
        self.activity = ServerActivity(
            self.servers, lambda: self.listener.in_flight > 0, reports_lost_paths=True
        )
        self.paths = FleetPaths(
            self.reactor, members, working_set, self.servers, self.activity
        )
        self.peer_paths = self.paths
        self.forwarder = self.make_forwarder()
        self.probe = PathProbe(self.reactor, self.servers, self.pool, self.activity)
        self.servers.on_path_lost = self._lose_path
        self.servers.on_broken = self.probe.check
        self.shares = ServerLoadShares(
            self.reactor, self.servers, lambda: [], self.activity
        )
        self.probe.start()

    def _lose_path(self, entry):
        self.activity.record_path_lost()
        self.probe.check_lost_path()
        self.pool.close_address(entry.address)
        self.probe.probe_service(entry.service)

    def listener_protocol(self):
        from chivesaddle.http1.server import CallerConnection

        return CallerConnection(self.listener)

    def send_beacon(self, peers):
        lost, _ = self.paths.lost_servers()
        shares, loading = self.shares.collect()
        for peer in peers:
            peer.beacon_at_by_peer[self.member.id] = self.reactor.seconds()
            peer.paths.apply_lost_servers(self.member.id, lost, 1.5)
            peer.shares.apply_remote(self.member.id, shares, loading, 1.5)


@dataclass
class Run:
    """A caller's request."""

    id: str
    daemon: PathDaemon
    caller: object
    sent_at: float
    connection: object = None
    due: float = 0.0

    @property
    def is_served(self):
        return self.caller.status == 200


class PathFleet(CrashFleet):
    """Daemons of which some are cut off from all servers."""

    SERVERS = (1, 2, 3, 4, 5, 6, 7, 8)

    def __init__(self, size):
        super().__init__(0)
        self.daemon_by_address = {}
        for number in range(size):
            daemon = PathDaemon(self, number)
            self.daemons.append(daemon)
            self.daemon_by_address[daemon.member.callers] = daemon
            self.start(daemon)
        self.runs = []
        self.finished = []
        self.sent = 0
        self._beacon()

    def _beacon(self):
        for daemon in self.daemons:
            if not daemon.is_down:
                peers = [d for d in self.daemons if d is not daemon]
                daemon.send_beacon(peers)
        self.reactor.callLater(BEACON_INTERVAL_S, self._beacon)

    def cut(self, number, cut):
        for daemon in self.daemons[:number]:
            daemon.own_reactor.set_cut(cut)

    def send(self, daemon, target="/stream/", **options):
        self.sent += 1
        id = f"request-{self.sent}"
        caller = daemon.caller()
        caller.request(f"{target}{self.sent}", id, body=id.encode(), **options)
        run = Run(id, daemon, caller, self.reactor.seconds())
        self.runs.append(run)
        return run

    def play(self, seconds, rate_per_s=40, target="/stream/"):
        """Send requests to all daemons in turn, and let servers respond."""
        for _ in range(round(seconds / 0.05)):
            for _ in range(round(rate_per_s * 0.05)):
                self.send(self.daemons[self.sent % len(self.daemons)], target)
            self.respond()
            self.advance(0.05)

    def respond(self):
        now = self.reactor.seconds()
        for run in list(self.runs):
            if run.caller.transport.is_lost or run.caller.status is not None:
                self.runs.remove(run)
                self.finished.append(run)
                continue
            connection = self.connection_of(run.id)
            if connection is None or getattr(connection, "is_hung", False):
                continue
            if connection is not run.connection:
                run.connection, run.due = connection, now + RESPONSE_S
            elif now >= run.due:
                self._answer(run)

    def _answer(self, run):
        if b" /unsafe/" in run.connection.transport.value():
            run.connection.respond(request_id=run.id)
        else:
            run.connection.start_stream(*EVENTS, request_id=run.id)
            run.connection.end_stream()

    def pass_on_first_to(self, number):
        """Fix the order, else random, in which the first daemon tries the others."""
        paths, first = self.daemons[0].paths, self.daemons[number].member.id
        reaching = type(paths).reaching
        paths.reaching = lambda service: sorted(
            reaching(paths, service), key=lambda peer: peer.id != first
        )

    def links_of(self, run):
        """Return the far ends of the open links that a request was passed on over."""
        marker = f"identifier: {run.id}\r\n".encode()
        return [
            link
            for daemon in self.daemons
            for link in daemon.links
            if not link.is_lost and marker in link.other.value().lower()
        ]

    def served_shares(self, cut, since):
        """Return the served shares at the first ``cut`` daemons and at the others."""
        shares = []
        for daemons in (self.daemons[:cut], self.daemons[cut:]):
            runs = [
                run
                for run in self.finished
                if run.daemon in daemons and run.sent_at >= since
            ]
            assert len(runs) >= 20
            shares.append(sum(run.is_served for run in runs) / len(runs))
        return shares


CUTS = (Cut.RESET, Cut.HANG, Cut.REFUSE_NEW)


class TestDaemonsThatReachNoServer:
    @pytest.mark.parametrize("cut", CUTS, ids=lambda cut: cut.value.replace(" ", "-"))
    @pytest.mark.parametrize("number", [2, 5])
    @pytest.mark.parametrize("target", ["/stream/", "/unsafe/"])
    def test_serve_as_many_requests_as_the_others(self, cut, number, target):
        fleet = PathFleet(6)
        fleet.play(3, target=target)
        cut_at = fleet.reactor.seconds()
        fleet.cut(number, cut)
        fleet.play(9, target=target)
        at_cut, at_others = fleet.served_shares(number, cut_at + STABLE_WINDOW_S)
        assert at_cut >= 0.95
        assert at_others >= 0.98

    @pytest.mark.parametrize("cut", CUTS, ids=lambda cut: cut.value.replace(" ", "-"))
    def test_do_not_load_the_servers_of_the_others(self, cut):
        """Guards against requests that hang and count as load of their servers."""
        fleet = PathFleet(6)
        for daemon in fleet.daemons:
            daemon.use_model_engines()
            for number in fleet.SERVERS:
                models = [{"name": "m", "version": 1}]
                daemon.servers.remove(f"i-{number}", may_have_expired=False)
                fleet.list_server(daemon, number, models=models, slots=64)
        prompt = (
            "X-Chivesaddle-Model: m\r\nX-Chivesaddle-Token-Counts: 20,10\r\n"
            "X-Chivesaddle-Prompt-Prefix: aa:10,bb:10"
        )
        for daemon in fleet.daemons[:3]:
            for _ in range(8):
                fleet.send(daemon, headers=prompt)
        fleet.advance(0.02)
        fleet.cut(3, cut)
        fleet.advance(2)
        fleet.respond()
        servers = fleet.daemons[5].servers.all()
        now = fleet.reactor.seconds()
        if cut is not Cut.REFUSE_NEW:
            assert {s.load(now).memory_tokens for s in servers} == {0}

    def test_serve_by_themselves_again_within_a_second(self):
        fleet = PathFleet(4)
        fleet.play(2)
        fleet.cut(1, Cut.RESET)
        fleet.play(2)
        fleet.cut(1, Cut.NONE)
        fleet.play(1)
        assert fleet.daemons[0].paths.reaching("app") == ()

    def test_find_out_about_services_without_requests(self):
        """Guards against a daemon that stays in the address lists for their sake."""
        fleet = PathFleet(4)
        for daemon in fleet.daemons:
            fleet.list_server(daemon, 8, service="other")
        fleet.play(2)
        fleet.cut(1, Cut.RESET)
        fleet.play(1.5)
        assert fleet.daemons[0].paths.is_cut_off

    def test_refuse_at_once_if_nobody_reaches_a_server(self):
        fleet = PathFleet(3)
        fleet.play(2)
        fleet.cut(3, Cut.RESET)
        fleet.play(3)
        run = fleet.send(fleet.daemons[0])
        fleet.advance(0.1)
        assert run.caller.status == 503

    def test_pass_on_to_another_daemon_if_one_has_ended(self):
        fleet = PathFleet(4)
        fleet.play(2)
        fleet.cut(1, Cut.RESET)
        fleet.play(2)
        address = fleet.daemons[1].member.callers
        fleet.daemon_by_address[address] = SimpleNamespace(is_down=True)
        since = fleet.reactor.seconds()
        fleet.play(3)
        at_cut, _ = fleet.served_shares(1, since)
        assert at_cut == 1.0


class TestPartialCuts:
    def test_servers_that_are_reached_serve(self):
        fleet = PathFleet(4)
        fleet.play(2)
        reactor = fleet.daemons[0].own_reactor
        connect = reactor.connectTCP

        def connect_some(host, port, factory, **options):
            cut, reactor.cut = reactor.cut, Cut.NONE
            if host in ("10.0.0.1", "10.0.0.2", "10.0.0.3"):
                reactor.cut = Cut.RESET
            try:
                return connect(host, port, factory, **options)
            finally:
                reactor.cut = cut

        reactor.connectTCP = connect_some
        reactor.set_cut(Cut.RESET)
        reactor.cut = Cut.NONE
        since = fleet.reactor.seconds() + 1
        fleet.play(4)
        assert fleet.served_shares(1, since)[0] >= 0.98
        assert fleet.daemons[0].paths.reaching("app") == ()


class TestPassedOnRequests:
    @pytest.fixture
    def fleet(self):
        fleet = PathFleet(3)
        fleet.play(2)
        fleet.cut(1, Cut.RESET)
        fleet.play(2, target="/unsafe/")
        assert fleet.daemons[0].paths.is_cut_off
        return fleet

    def pass_one(self, fleet, target, **options):
        run = fleet.send(fleet.daemons[0], target, **options)
        fleet.advance(0.05)
        return run, fleet.connection_of(run.id)

    def test_server_gets_the_callers_request(self, fleet):
        run, connection = self.pass_one(fleet, "/unsafe/x?y=1&n=")
        text = connection.transport.value().decode()
        head = text[text.rindex("POST /unsafe/x?y=1&n=") :].lower()
        assert f"x-chivesaddle-attempt-identifier: {run.id}" in head
        assert "x-chivesaddle-tenant: acme" in head
        assert "host: h.example" in head
        assert "authorization" not in head
        assert "passed-on" not in head
        assert text.endswith(run.id)

    def test_request_is_not_passed_on_twice(self, fleet):
        fleet.cut(3, Cut.RESET)
        run, connection = self.pass_one(fleet, "/unsafe/")
        fleet.advance(1)
        assert connection is None
        assert run.caller.status == 503

    def test_callers_header_of_daemons_changes_nothing(self, fleet):
        daemon = fleet.daemons[0]
        daemon.paths.is_member = lambda host: False
        run, connection = self.pass_one(
            fleet, "/unsafe/", headers="Passed-On-After-Runs: 1"
        )
        assert connection is not None
        fleet.play(0.3)
        assert run.is_served

    def test_caller_that_leaves_ends_the_run(self, fleet):
        run, connection = self.pass_one(fleet, "/stream/")
        run.caller.close_connection()
        fleet.advance(0.1)
        assert connection.transport.is_lost

    def test_unsafe_request_that_the_peer_may_have_sent_is_not_repeated(self, fleet):
        run, _connection = self.pass_one(fleet, "/unsafe/")
        for daemon in fleet.daemons[1:]:
            for link in daemon.links:
                link.lose_connection()
        fleet.advance(0.5)
        assert run.caller.status == 502
        marker = run.id.encode()
        sends = sum(marker in c.transport.value() for c in fleet.reactor.connections)
        assert sends == 1

    @pytest.mark.parametrize("first", [1, 2])
    @pytest.mark.parametrize("loses_idle_links", [False, True])
    def test_stream_that_may_be_resumed_goes_on_through_another_daemon(
        self, fleet, first, loses_idle_links
    ):
        """Guards against a stream that ends with the link that carries it.

        It goes on over an idle link to the other daemon, or over a new one if the idle
        links were lost before.
        """
        second = 3 - first
        fleet.pass_on_first_to(second)
        earlier, connection = self.pass_one(fleet, "/unsafe/")
        connection.respond(request_id=earlier.id)
        fleet.advance(0.1)
        assert earlier.is_served
        fleet.pass_on_first_to(first)
        run, connection = self.pass_one(fleet, "/resumable/")
        connection.start_stream(EVENTS[0], request_id=run.id)
        fleet.advance(0.05)
        [link] = fleet.links_of(run)
        assert link in fleet.daemons[first].links
        idle = {x for d in fleet.daemons for x in d.links if not x.is_lost} - {link}
        assert idle.intersection(fleet.daemons[second].links)
        if loses_idle_links:
            for other in idle:
                other.lose_connection()
        link.lose_connection()
        fleet.advance(0.2)
        [resumed_link] = fleet.links_of(run)
        assert resumed_link in fleet.daemons[second].links
        assert (resumed_link in idle) != loses_idle_links
        resumed = fleet.connection_of(run.id)
        head = resumed.transport.value().decode().lower()
        assert resumed is not connection
        assert "last-event-id: 1" in head
        resumed.start_stream(EVENTS[1], request_id=run.id)
        resumed.end_stream()
        fleet.advance(0.05)
        assert run.caller.received().count(b"data: a") == 1
        assert run.caller.received().endswith(b"0\r\n\r\n")

    def test_stream_that_ran_here_goes_on_through_another_daemon(self):
        fleet = PathFleet(3)
        fleet.play(2)
        run, connection = self.pass_one(fleet, "/resumable/")
        connection.start_stream(EVENTS[0], request_id=run.id)
        fleet.advance(0.05)
        fleet.cut(1, Cut.RESET)
        fleet.advance(0.3)
        resumed = fleet.connection_of(run.id)
        assert "last-event-id: 1" in resumed.transport.value().decode().lower()
        resumed.start_stream(EVENTS[1], request_id=run.id)
        fleet.advance(0.3)
        resumed.chunk(b"id: 3\ndata: c\n\n")
        resumed.end_stream()
        fleet.advance(0.05)
        assert fleet.daemons[0].results[-1] == "answered"
        events = [line for line in run.caller.received().split() if line in b"abc"]
        assert events == [b"a", b"b", b"c"]

    def test_next_daemon_gets_a_request_that_the_first_one_refuses(self, fleet):
        fleet.daemons[1].serving_state.configuration = None
        for _ in range(6):
            run, _ = self.pass_one(fleet, "/unsafe/")
            fleet.play(0.3)
            assert run.is_served

    @pytest.mark.parametrize("status", [500, 404])
    @pytest.mark.parametrize("signed", [True, False])
    def test_servers_own_failure_reaches_the_caller_unchanged(
        self, fleet, status, signed
    ):
        """Guards against a failure that ran and is reported as not run."""
        run, connection = self.pass_one(fleet, "/unsafe/")
        connection.respond(status, b"no", request_id=run.id, signed=signed)
        fleet.advance(0.05)
        assert run.caller.status == status
        assert (b"signature: sig" in run.caller.received().lower()) == signed

    def test_broken_response_is_not_completed(self, fleet):
        run, connection = self.pass_one(fleet, "/stream/")
        connection.start_stream(EVENTS[0], request_id=run.id)
        fleet.advance(0.05)
        connection.transport.lose_connection()
        fleet.advance(0.1)
        assert run.caller.transport.is_lost
        assert not run.caller.received().endswith(b"0\r\n\r\n")

    def test_unknown_key_is_refused_where_the_request_enters(self, fleet):
        run, connection = self.pass_one(fleet, "/unsafe/", key="wrong")
        assert run.caller.status == 401 and connection is None


class TestCrashEvidence:
    def test_daemon_that_is_cut_off_confirms_no_crash(self):
        fleet = PathFleet(3)
        fleet.play(3)
        confirmed = []
        for daemon in fleet.daemons:
            daemon.servers.on_down = confirmed.append
        fleet.cut(1, Cut.HANG)
        fleet.play(6)
        assert confirmed == []
