"""Stop of a whole daemon on a virtual clock, without a network."""

import json
from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from chivesaddle.core.aio import start
from chivesaddle.fleet.rpc import PeerClient, PeerServer, PeerUnreachable
from chivesaddle.serving.app import ServingDaemon
from chivesaddle.serving.settings import ServingSettings

from .test_settings import VALID


@pytest.fixture
def listening():
    """Fires when the listener for peers has started."""
    return Deferred()


@pytest.fixture
def reactor():
    reactor = MemoryReactorClock()
    port = SimpleNamespace(write=lambda *_: None, stopListening=lambda: None)
    reactor.listenUDP = lambda *_, **__: port
    return reactor


@pytest.fixture
def daemon(reactor, listening, monkeypatch, tmp_path):
    async def start_listener(self):
        await listening

    async def call(self, address, message, deadline):
        raise PeerUnreachable("no network")

    monkeypatch.setattr(PeerServer, "start", start_listener)
    monkeypatch.setattr(PeerClient, "call", call)
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(VALID))
    return ServingDaemon(ServingSettings.from_config(path), reactor)


def test_stop_during_the_start_leaves_nothing_running(
    daemon, reactor, listening, monkeypatch
):
    """Guards against a daemon that registers, or takes the lease, after it has left."""
    started = []
    for component in (daemon._registration, daemon._rollout, daemon._beacons):
        monkeypatch.setattr(component, "start", lambda: started.append(1))
    start(daemon.start())
    stopping = start(daemon.stop(reactor.seconds()))
    listening.callback(None)
    for _ in range(100):
        reactor.advance(0.1)
    assert stopping.called
    assert started == []


def test_freeze_during_the_shutdown_is_noticed(daemon, reactor, listening):
    """Guards against trust in connections whose ends arrive late after a freeze."""
    listening.callback(None)
    start(daemon.start())
    for _ in range(30):
        reactor.advance(0.1)
    start(daemon.stop(reactor.seconds()))
    for _ in range(15):
        reactor.advance(0.1)
    assert not daemon._loop_lag.was_late
    reactor.advance(3.0)
    assert daemon._loop_lag.was_late


@pytest.mark.parametrize("component", ["_registration", "_beacons"])
def test_failing_step_does_not_end_the_wait_for_requests(
    daemon, reactor, listening, monkeypatch, component
):
    """Guards against a failure at SIGTERM that cuts all requests."""

    def fail():
        raise ValueError("no port")

    listening.callback(None)
    start(daemon.start())
    reactor.advance(0.1)
    method = "stop" if component == "_registration" else "announce_leaving"
    monkeypatch.setattr(getattr(daemon, component), method, fail)
    stopping = start(daemon.stop(reactor.seconds()))
    reactor.advance(1.0)
    assert not stopping.called
    for _ in range(100):
        reactor.advance(0.1)
    assert stopping.called


def test_time_of_the_shutdown_counts_from_the_signal(daemon, reactor, listening):
    """Guards against SIGKILL before a busy daemon has ended its requests."""
    listening.callback(None)
    start(daemon.start())
    signalled_at = reactor.seconds()
    reactor.advance(0.9)
    stopping = start(daemon.stop(signalled_at))
    shutdown_s = VALID["bounds"]["shutdown_s"]
    assert daemon._forwarder.shutdown.ends_at < signalled_at + shutdown_s
    while not stopping.called:
        reactor.advance(0.1)
    assert reactor.seconds() < signalled_at + shutdown_s
