"""Tests of the probes of paths to servers."""

from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from chivesaddle.core.ids import BackendServerId
from chivesaddle.http1 import ConnectionPool
from chivesaddle.placement.paths import ServerPath
from chivesaddle.serving.path_probe import PathProbe

# A daemon serves by itself again within this time after a cut has ended.
REGAINED_AFTER_S = 1.0


class Servers:
    """A table with one server, whose path is lost."""

    def __init__(self, clock):
        self._clock = clock
        self.path = ServerPath(lost_at=0.0)
        self.version = 0
        self._server = SimpleNamespace(
            entry=SimpleNamespace(id=BackendServerId("s"), address="10.0.0.1:80"),
            path=self.path,
            unresponsive_s=lambda now: 0.0,
            in_flight=0,
            unanswered={},
        )

    def all(self):
        return [self._server]

    def record_connection_failure(self, server, cause):
        self.path.record_failure(self._clock.seconds())

    def record_connected(self, server):
        self.path.record_connected(self._clock.seconds())


class FakeConnection:
    is_reusable = True
    lost = False


class FakeConnector:
    """Opens connections that are reset some time after they were accepted."""

    def __init__(self, clock):
        self._clock = clock
        self.reset_after_s = None

    async def connect(self, address, deadline):
        connection = FakeConnection()
        if self.reset_after_s is not None:
            self._clock.callLater(self.reset_after_s, setattr, connection, "lost", True)
        return connection


class TestLostPath:
    def setup_method(self):
        self.clock = Clock()
        self.servers = Servers(self.clock)
        self.connector = FakeConnector(self.clock)
        self.pool = ConnectionPool(self.connector, self.clock)
        self.probe = PathProbe(self.clock, self.servers, self.pool)
        self.probe.start()

    def play(self, seconds):
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)

    @pytest.mark.parametrize("reset_after_s", [0.0, 0.04, 0.08, 0.2])
    def test_stays_lost_while_connections_are_reset(self, reset_after_s):
        """Guards against requests on connections that are reset a moment later."""
        self.connector.reset_after_s = reset_after_s
        for _ in range(100):
            self.play(0.05)
            assert self.servers.path.lost_at is not None
        assert self.pool.idle_connections == 0

    def test_is_regained_within_a_second_once_connections_stay_open(self):
        self.connector.reset_after_s = 0.08
        self.play(5)
        self.connector.reset_after_s = None
        self.play(REGAINED_AFTER_S)
        assert self.servers.path.lost_at is None
        assert self.pool.idle_connections == 1

    def test_silent_path_is_not_probed(self):
        """Guards against connections that carry nothing and are kept for requests."""
        server = self.servers.all()[0]
        server.unanswered, server.unresponsive_s = {1: 0.0}, lambda now: 5.0
        self.servers.path.lost_at = None
        self.servers.path.record_silence(0.0)
        self.play(2)
        assert self.pool.idle_connections == 0

    def test_check_that_fails_does_not_end_the_probes(self, monkeypatch):
        """Guards against paths that stay lost for good."""

        def fail():
            monkeypatch.undo()
            raise KeyError("s")

        monkeypatch.setattr(self.probe, "_forget_unlisted", fail)
        self.play(REGAINED_AFTER_S + 0.5)
        assert self.servers.path.lost_at is None
