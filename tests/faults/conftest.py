"""Fixtures for faults that involve several components.

The fakes come from the conftest files of the components' own tests.
"""

import importlib.util
import sys
from itertools import count
from pathlib import Path

import pytest

from chivesaddle.configuration import ActiveConfig, ConfigService, Freshness
from chivesaddle.core.aio import start
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.objects import PlatformUnavailable, WriteOutcomeUnknown
from chivesaddle.daemon.adapters import ConfigurationPort
from chivesaddle.objects import Lease


def import_test_module(folder, file_stem="conftest"):
    """Import a file from another component's test folder as a module."""
    path = Path(__file__).parents[1] / folder / f"{file_stem}.py"
    spec = importlib.util.spec_from_file_location(f"{folder}_{file_stem}_parts", path)
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


@pytest.fixture(scope="session")
def import_conftest():
    return import_test_module


peers_conftest = import_test_module("peers")


class FaultInjectingApi:
    """Object API client of one daemon that injects faults.

    ``hooks`` maps ("before" or "after", method, kind) to a function that is called
    once, at the next call of that method. While ``disconnected`` is set, calls fail.
    """

    def __init__(self, api):
        self._api = api
        self.disconnected = False
        self.hooks = {}

    def __getattr__(self, method):
        async def call(kind, *names, **keywords):
            call_key = (method, kind)
            self._run_hook("before", call_key)
            if self.disconnected:
                raise PlatformUnavailable("no route to the platform")
            result = await getattr(self._api, method)(kind, *names, **keywords)
            self._run_hook("after", call_key)
            if self.disconnected:
                is_write = method in ("create", "update", "delete")
                raise (WriteOutcomeUnknown if is_write else PlatformUnavailable)(
                    "response lost"
                )
            return result

        return call

    def _run_hook(self, point, call_key):
        hook = self.hooks.pop((point, *call_key), None)
        if hook:
            hook()


class PartitionedNetwork(peers_conftest.Network):
    """Network with partitions.

    Each set of addresses in ``partitions`` can't exchange calls with the addresses
    outside it. Calls of a method in ``blocked_methods`` are not delivered.
    """

    def __init__(self):
        super().__init__()
        self.partitions = []
        self.blocked_methods = set()

    def blocks_call(self, endpoints, method):
        separated = any(
            endpoints & partition and endpoints - partition
            for partition in self.partitions
        )
        return separated or method in self.blocked_methods


class ConfiguredDaemon(peers_conftest.Daemon):
    """Daemon with the real configuration service, freshness and zone lease."""

    def make_ports(self, fleet, zone):
        self.running = True
        self.api = FaultInjectingApi(fleet.api)
        self.active_config = ActiveConfig()
        self.revisions = []
        self.active_config.add_listener(
            lambda state: self.revisions.append(state.revision)
        )
        self.freshness = Freshness(self.id, zone)
        self.service = ConfigService(
            self.api,
            fleet.clock,
            self.id,
            self.active_config,
            self.freshness,
            lambda: f"change-{next(fleet.ids)}",
        )
        self.configuration = ConfigurationPort(self.service)
        self.lease = Lease(self.api, fleet.clock, f"zone-reader/{zone}", self.id)


class OperatorChange:
    """A configuration change that an operator plans and confirms on one daemon.

    ``accepted_at`` is set when it is accepted, ``error`` when it is refused.
    """

    def __init__(self, fleet, daemon_index, name):
        self.name = name
        self.accepted_at = None
        self.error = None
        self.done = start(self._plan_and_confirm(fleet, daemon_index))

    async def _plan_and_confirm(self, fleet, daemon_index):
        fields = {"url": "http://127.0.0.1:1", "zone": "z"}
        operation = {"kind": "put_store", "id": self.name, **fields}
        intent = {"operations": [operation], "note": "n"}
        daemon = fleet.daemons[daemon_index]
        try:
            plan = await daemon.service.plan(intent, self.name)
            confirmed = await daemon.service.confirm(plan.change.id, self.name)
        except ChivesaddleError as error:
            self.error = error
            return
        if confirmed.accepted:
            self.accepted_at = fleet.clock.seconds()


class ConfiguredFleet:
    """Six daemons in three zones on a virtual clock.

    The invariants are checked after each 0.25 s of virtual time.
    """

    max_apply_delay_s = 9.0

    def __init__(self, size=6, zones=3):
        self.ids = count()
        self.clock = peers_conftest.Clock()
        self.api = peers_conftest.MemoryObjectApi(self.clock)
        self.network = PartitionedNetwork()
        self.zones = zones
        self.changes = []
        self.blocked_handlers_by_address = {}
        self.daemons = [self._create_daemon(n, 1) for n in range(size)]
        for daemon in self.daemons:
            create = self.api.create("instances", daemon.id, daemon.value, deadline=9)
            start(create)
        for daemon in self.daemons:
            start(daemon.peers.start())
        self.advance(4)
        assert all(d.freshness.is_confirmed(4.0) for d in self.daemons)

    def _create_daemon(self, index, incarnation):
        return ConfiguredDaemon(self, index, f"zone-{index % self.zones}", incarnation)

    def submit_change(self, daemon_index, name):
        self.changes.append(OperatorChange(self, daemon_index, name))
        return self.changes[-1]

    def partition(self, *numbers):
        self.network.partitions = [{self.daemons[n].address for n in numbers}]

    def block_incoming_calls(self, number):
        """Block the calls to a daemon; its own outgoing calls still work."""
        address = self.daemons[number].address
        handler = self.network.handlers_by_address.pop(address)
        self.blocked_handlers_by_address[address] = handler

    def disconnect_platform(self, *numbers):
        for number in numbers:
            self.daemons[number].api.disconnected = True

    def start_platform_outage(self):
        self.api.faults.outage = True

    def kill(self, number):
        daemon = self.daemons[number]
        daemon.running = False
        daemon.api.disconnected = True
        start(daemon.peers.stop())
        start(daemon.lease.stop()).addErrback(lambda _: None)

    def restart(self, number):
        self.kill(number)
        self.daemons[number] = self._create_daemon(number, 2)
        start(self.daemons[number].peers.start())

    def clear_faults(self):
        self.network.partitions = []
        self.network.blocked_methods.clear()
        self.network.handlers_by_address.update(self.blocked_handlers_by_address)
        self.api.faults.outage = False
        for number, daemon in enumerate(self.daemons):
            daemon.api.disconnected = False
            daemon.api.hooks.clear()
            if not daemon.running:
                self.restart(number)

    def advance(self, seconds):
        for _ in range(round(seconds * 4)):
            self.clock.advance(0.25)
            self.check_invariants()

    def check_invariants(self):
        """Check that confirmed daemons apply every accepted change in time.

        Also checks that the revisions of each daemon strictly increase.
        """
        now = self.clock.seconds()
        for daemon in self.daemons:
            assert daemon.revisions == sorted(set(daemon.revisions)), (
                "revision did not increase"
            )
            if not (daemon.running and daemon.freshness.is_confirmed(now)):
                continue
            for change in self.changes:
                accepted_at = change.accepted_at
                if (
                    accepted_at is not None
                    and now - accepted_at > self.max_apply_delay_s
                ):
                    stores = daemon.active_config.state.stores_by_id
                    assert change.name in stores, (
                        daemon.id,
                        change.name,
                        now - accepted_at,
                    )


@pytest.fixture
def make_configured_fleet():
    return ConfiguredFleet
