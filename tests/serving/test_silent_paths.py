"""Daemons whose connections to servers open but carry no byte, without a network."""

from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from chivesaddle.core.serving_model import ServerEntry, ServerState
from chivesaddle.http1 import ResponseBroken
from chivesaddle.placement import ExchangeOutcome, ServerTable
from chivesaddle.serving import server_probe, silent_paths
from chivesaddle.serving.silent_paths import SilentPaths

SERVERS = ("s0", "s1", "s2")
FIRST_BYTE_S = 0.2


class Daemon:
    """The paths of one daemon, which gets a byte for each request while connected."""

    def __init__(self, clock, monkeypatch=None):
        self.clock = clock
        self.is_connected = True
        self.servers = ServerTable(clock)
        for id in SERVERS:
            self.servers.put(
                ServerEntry(id, "app", id, "z", 4, ServerState.READY, {}, 1, "")
            )
        self.silent_paths = SilentPaths(clock, self.servers, self, self.health_path)
        self.silent_paths.start()
        self.has_health_path = True

    def health_path(self, service):
        return "/health" if self.has_health_path else None

    def send(self, id, first_byte_s=FIRST_BYTE_S):
        serial = self.servers.record_send(id)
        self.clock.callLater(first_byte_s, self.answer, id, serial)

    def answer(self, id, serial):
        if self.is_connected:
            self.servers.record_response_bytes(id, serial, 0.0)

    @property
    def has_path(self):
        return self.servers.has_path("app")


class Fleet:
    """Two daemons that tell each other which services answer."""

    def __init__(self, monkeypatch):
        self.clock = Clock()
        self.clock.advance(100)
        self.daemons = [Daemon(self.clock), Daemon(self.clock)]
        self.first, self.second = self.daemons
        self.asked = []
        monkeypatch.setattr(server_probe, "exchange", self.exchange)

    async def exchange(
        self, daemon, clock, address, method, target, *, deadline, limit
    ):
        assert (method, target) == ("GET", "/health")
        self.asked.append(address)
        if not daemon.is_connected:
            raise ResponseBroken("No response in time")
        return SimpleNamespace(status=503), b""

    def play(self, seconds, *, sends=True, first_byte_s=FIRST_BYTE_S):
        for step in range(round(seconds / 0.05)):
            for daemon in self.daemons:
                if sends and daemon.has_path:
                    daemon.send(SERVERS[step % 3], first_byte_s)
            if step % 2 == 0:
                for daemon, peer in (self.daemons, self.daemons[::-1]):
                    answering = daemon.silent_paths.answering_services()
                    peer.silent_paths.apply_answering_services(answering)
            self.clock.advance(0.05)


@pytest.fixture
def fleet(monkeypatch):
    fleet = Fleet(monkeypatch)
    fleet.play(2)
    return fleet


def test_service_that_answers_only_other_daemons_is_not_reached(fleet):
    """Guards against requests that wait for their deadlines while peers could serve."""
    fleet.first.is_connected = False
    fleet.play(1.6)
    assert not fleet.first.has_path
    assert fleet.second.has_path
    fleet.play(5)
    assert not fleet.first.has_path


def test_paths_are_regained_within_a_second(fleet):
    fleet.first.is_connected = False
    fleet.play(5)
    fleet.first.is_connected = True
    fleet.play(1)
    assert fleet.first.has_path
    assert fleet.first.servers.lost_servers() == []


def test_accepted_connection_does_not_regain_a_silent_path(fleet):
    fleet.first.is_connected = False
    fleet.play(2)
    for id in SERVERS:
        fleet.first.servers.record_connected(id)
    assert not fleet.first.has_path


def test_late_byte_regains_its_path(fleet):
    fleet.first.is_connected = False
    fleet.first.send("s1", first_byte_s=3.0)
    fleet.play(2)
    fleet.first.is_connected = True
    fleet.first.servers.record_response_bytes("s1", 1, 0.0)
    assert fleet.first.has_path


@pytest.mark.parametrize("stopped_s", [1.2, 3.0])
def test_servers_that_all_stop_for_a_while_are_not_given_up(fleet, stopped_s):
    """Guards against refusals during a moment in which no daemon gets a byte."""
    for daemon in fleet.daemons:
        daemon.is_connected = False
    for _ in range(round(stopped_s / 0.05)):
        fleet.play(0.05)
        assert all(daemon.has_path for daemon in fleet.daemons)


def test_service_that_is_only_slow_for_one_daemon_is_not_given_up(fleet):
    """Guards against a daemon with few requests, all of them to slow servers."""
    fleet.play(1.5, sends=False)
    for id in SERVERS:
        fleet.first.send(id, first_byte_s=9.0)
    for _ in range(60):
        fleet.second.send("s0")
        fleet.play(0.05, sends=False)
        assert fleet.first.has_path
    assert 2 <= fleet.first.silent_paths.health_requests_sent <= 10


def test_servers_that_refuse_connections_are_not_asked(fleet):
    """Guards against a service that is given up because two of its servers are down."""
    for id in SERVERS[:2]:
        fleet.first.servers.record_connection_failure(id, "refused")
    fleet.first.is_connected = False
    for _ in range(3):
        fleet.first.send("s2")
    for _ in range(60):
        fleet.second.send("s0")
        fleet.play(0.05, sends=False)
    assert set(fleet.asked) == {"s2"}


def test_services_without_health_requests_are_not_judged(fleet):
    """Without them, nothing would show that the paths are usable again."""
    fleet.first.has_health_path = False
    fleet.first.is_connected = False
    fleet.play(5)
    assert fleet.first.has_path


def test_few_health_requests_are_sent_while_paths_are_silent(fleet):
    fleet.first.is_connected = False
    fleet.play(1.5)
    before = fleet.first.silent_paths.health_requests_sent
    fleet.play(5)
    assert 8 <= fleet.first.silent_paths.health_requests_sent - before <= 22


def test_check_that_fails_does_not_end_the_checks(fleet, monkeypatch):
    """Guards against silent paths that nobody notices any more."""
    first = fleet.first

    def fail(service):
        first.silent_paths._health_path = first.health_path
        raise KeyError(service)

    first.silent_paths._health_path = fail
    fleet.play(0.5)
    first.is_connected = False
    fleet.play(2)
    assert not first.has_path


def test_requests_given_up_before_a_byte_arrived_are_no_silence(fleet):
    """Guards against judging a service by requests from before it answered again."""
    first = fleet.first
    fleet.play(1.0, sends=False)
    for id in SERVERS:
        serial = first.servers.record_send(id)
        fleet.clock.advance(0.1)
        first.servers.record_end(id, serial, ExchangeOutcome.BROKEN)
    servers = list(first.servers.all())
    assert not silent_paths.is_silent(servers, fleet.clock.seconds())
    serials = [(id, first.servers.record_send(id)) for id in SERVERS]
    fleet.clock.advance(0.8)
    for id, serial in serials:
        first.servers.record_end(id, serial, ExchangeOutcome.BROKEN)
    assert silent_paths.is_silent(servers, fleet.clock.seconds())
    first.send("s1", first_byte_s=0.0)
    fleet.clock.advance(0.8)
    assert not silent_paths.is_silent(servers, fleet.clock.seconds())
