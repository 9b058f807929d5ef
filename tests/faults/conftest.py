"""Parts for faults that cross slices; the slices' own fakes are reused."""

import importlib.util
import sys
from itertools import count
from pathlib import Path

import pytest

from chivesaddle.configuration import ConfigHolder, ConfigService, Freshness
from chivesaddle.core.aio import start
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.objects import PlatformUnavailable, WriteOutcomeUnknown
from chivesaddle.daemon.adapters import ConfigurationPort
from chivesaddle.objects import Lease


def load_parts(name, file="conftest"):
    """Return a file of another slice's tests as a module."""
    path = Path(__file__).parents[1] / name / f"{file}.py"
    spec = importlib.util.spec_from_file_location(f"{name}_{file}_parts", path)
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


@pytest.fixture(scope="session")
def parts_of():
    return load_parts


peers_parts = load_parts("peers")


class PlatformLink:
    """The platform as one daemon reaches it; ``at`` runs a fault at a step."""

    def __init__(self, api):
        self._api = api
        self.cut = False
        self.at = {}

    def __getattr__(self, method):
        async def call(kind, *names, **keywords):
            step = (method, kind)
            self._reach("before", step)
            if self.cut:
                raise PlatformUnavailable("no route to the platform")
            result = await getattr(self._api, method)(kind, *names, **keywords)
            self._reach("after", step)
            if self.cut:
                lost = method in ("create", "update", "delete")
                raise (WriteOutcomeUnknown if lost else PlatformUnavailable)("lost")
            return result

        return call

    def _reach(self, point, step):
        action = self.at.pop((point, *step), None)
        if action:
            action()


class GroupedNetwork(peers_parts.Network):
    """Network whose groups of addresses do not reach each other.

    Calls of a method in ``lost`` reach nobody.
    """

    def __init__(self):
        super().__init__()
        self.groups = []
        self.lost = set()

    def separates(self, ends, method):
        cut = any(ends & group and ends - group for group in self.groups)
        return cut or method in self.lost


class ConfiguredDaemon(peers_parts.Daemon):
    """Daemon with the real configuration, freshness and zone lease."""

    def make_parts(self, fleet, zone):
        self.running = True
        self.api = PlatformLink(fleet.api)
        self.holder = ConfigHolder()
        self.revisions = []
        self.holder.add_listener(lambda s: self.revisions.append(s.revision))
        self.freshness = Freshness(self.id, zone)
        self.service = ConfigService(
            self.api,
            fleet.clock,
            self.id,
            self.holder,
            self.freshness,
            lambda: f"change-{next(fleet.ids)}",
        )
        self.configuration = ConfigurationPort(self.service)
        self.lease = Lease(self.api, fleet.clock, f"zone-reader/{zone}", self.id)


class Operator:
    """One operator's change: planned and confirmed until its fate is known."""

    def __init__(self, fleet, daemon, name):
        self.name = name
        self.accepted_at = None
        self.refused = None
        self.done = start(self._work(fleet, daemon))

    async def _work(self, fleet, number):
        fields = {"url": "http://127.0.0.1:1", "zone": "z"}
        operation = {"kind": "put_store", "id": self.name, **fields}
        intent = {"operations": [operation], "note": "n"}
        daemon = fleet.daemons[number]
        try:
            plan = await daemon.service.plan(intent, self.name)
            confirmed = await daemon.service.confirm(plan.change.id, self.name)
        except ChivesaddleError as error:
            self.refused = error
            return
        if confirmed.accepted:
            self.accepted_at = fleet.clock.seconds()


class ConfiguredFleet:
    """Six daemons in three zones, watched at each quarter of a second."""

    in_force_within_s = 9.0

    def __init__(self, size=6, zones=3):
        self.ids = count()
        self.clock = peers_parts.Clock()
        self.api = peers_parts.MemoryObjectApi(self.clock)
        self.network = GroupedNetwork()
        self.zones = zones
        self.operators = []
        self.deaf = {}
        self.daemons = [self._daemon(n, 1) for n in range(size)]
        for daemon in self.daemons:
            create = self.api.create("instances", daemon.id, daemon.value, deadline=9)
            start(create)
        for daemon in self.daemons:
            start(daemon.peers.start())
        self.advance(4)
        assert all(d.freshness.is_confirmed(4.0) for d in self.daemons)

    def _daemon(self, number, incarnation):
        return ConfiguredDaemon(
            self, number, f"zone-{number % self.zones}", incarnation
        )

    def change(self, daemon, name):
        self.operators.append(Operator(self, daemon, name))
        return self.operators[-1]

    def partition(self, *numbers):
        self.network.groups = [{self.daemons[n].address for n in numbers}]

    def deafen(self, number):
        """Let a daemon's own calls work, but none that others make to it."""
        address = self.daemons[number].address
        handler = self.network.handlers_by_address.pop(address)
        self.deaf[address] = handler

    def cut_platform(self, *numbers):
        for number in numbers:
            self.daemons[number].api.cut = True

    def outage(self):
        self.api.faults.outage = True

    def kill(self, number):
        daemon = self.daemons[number]
        daemon.running = False
        daemon.api.cut = True
        start(daemon.peers.stop())
        start(daemon.lease.stop()).addErrback(lambda _: None)

    def restart(self, number):
        self.kill(number)
        self.daemons[number] = self._daemon(number, 2)
        start(self.daemons[number].peers.start())

    def heal(self):
        self.network.groups = []
        self.network.lost.clear()
        self.network.handlers_by_address.update(self.deaf)
        self.api.faults.outage = False
        for number, daemon in enumerate(self.daemons):
            daemon.api.cut = False
            daemon.api.at.clear()
            if not daemon.running:
                self.restart(number)

    def advance(self, seconds):
        for _ in range(round(seconds * 4)):
            self.clock.advance(0.25)
            self.check()

    def check(self):
        """Compare the daemons that serve with what operators were told."""
        now = self.clock.seconds()
        for daemon in self.daemons:
            assert daemon.revisions == sorted(set(daemon.revisions)), "went back"
            if not (daemon.running and daemon.freshness.is_confirmed(now)):
                continue
            for operator in self.operators:
                at = operator.accepted_at
                if at is not None and now - at > self.in_force_within_s:
                    stores = daemon.holder.state.stores_by_id
                    assert operator.name in stores, (daemon.id, operator.name, now - at)


@pytest.fixture
def make_configured_fleet():
    return ConfiguredFleet
