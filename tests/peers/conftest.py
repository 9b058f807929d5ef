"""Fleet of daemons on a virtual clock, with an in-memory network and fake ports."""

from collections import Counter
from random import Random

import pytest
from twisted.internet.defer import Deferred, fail
from twisted.internet.error import ConnectionLost, ConnectionRefusedError
from twisted.internet.task import Clock

from chivesaddle.core.aio import start
from chivesaddle.core.events import EventRing, HybridClock
from chivesaddle.objects.memory import MemoryObjectApi
from chivesaddle.peers import Channels, Member, Peers
from chivesaddle.peers.traffic import TrafficMeter

# Script that test_grpc.py runs as a subprocess; it installs its own reactor.
collect_ignore = ["two_daemons.py"]


class Network:
    """Delivers calls immediately, unless a daemon is cut off or a connection is silent.

    Calls over a silent connection, or to or from a daemon that is cut off, get no
    response.
    """

    def __init__(self):
        self.handlers_by_address = {}
        self.cut_off = set()
        self.opened = Counter()

    def blocks_call(self, ends, method):
        return bool(ends & self.cut_off)

    def open(self, source, address):
        self.opened[source, address] += 1
        return FakeChannel(self, source, address)


class FakeChannel:
    def __init__(self, network, source, address):
        self._network = network
        self._ends = {source, address}
        self._address = address
        self._pending_calls = []
        self.silent = False

    def call(self, method, message):
        handler = self._network.handlers_by_address.get(self._address)
        if handler is None:
            return fail(ConnectionRefusedError())
        if self.silent or self._network.blocks_call(self._ends, method):
            self._pending_calls.append(Deferred())
            return self._pending_calls[-1]
        copy = type(message).FromString(message.SerializeToString())
        return start(handler(method, copy))

    def close(self):
        for call in self._pending_calls:
            if not call.called:
                call.errback(ConnectionLost())


class FakeServer:
    def __init__(self, network, address, handle):
        self._network = network
        self._address = address
        self._handle = handle

    async def start(self):
        self._network.handlers_by_address[self._address] = self._handle

    async def stop(self):
        self._network.handlers_by_address.pop(self._address, None)


class FakeLease:
    """Lease that is held while the test sets a version."""

    def __init__(self):
        self.version = 0
        self.observed = 0

    def start(self):
        pass

    def stop(self):
        self.version = 0

    def is_held_at(self, now):
        return self.version > 0

    def record_relayed_version(self, version):
        self.observed = version


class FakeConfiguration:
    """Configuration whose changes are encoded as their revision numbers."""

    def __init__(self, api, clock):
        self._api = api
        self._clock = clock
        self.revision = 0
        self.refreshes = 0
        self.revisions_by_daemon_id = {}

    async def changes_after(self, revision):
        return [b"%d" % n for n in range(revision + 1, self.revision + 1)]

    def apply(self, changes):
        for change in changes:
            if int(change) == self.revision + 1:
                self.revision += 1

    def record_revision(self, daemon_id, revision):
        self.revisions_by_daemon_id[daemon_id] = revision

    async def refresh(self):
        self.refreshes += 1
        deadline = self._clock.seconds() + 1
        head = await self._api.get("config", "head", deadline=deadline)
        self.revision = max(self.revision, head.value["revision"])


class FakeFreshness:
    def __init__(self):
        self.read_at = None
        self.failures = 0
        self.last_contact_at = {}
        self.members = {}

    def record_platform_reading(self, age_s, now):
        self.read_at = max(now - age_s, self.read_at or 0.0)

    def record_platform_failure(self, now):
        self.failures += 1

    def record_contact(self, daemon_id, zone, age_s, now):
        self.last_contact_at[daemon_id] = max(
            now - age_s, self.last_contact_at.get(daemon_id, 0.0)
        )

    def set_members(self, zones_by_daemon_id):
        self.members = dict(zones_by_daemon_id)

    def is_confirmed(self, now):
        return self.read_at is not None and now - self.read_at < 6

    def reading_age(self, now):
        return None if self.read_at is None else now - self.read_at


class Daemon:
    """One daemon of the fleet with its fake ports."""

    def __init__(self, fleet, number, zone, incarnation=1):
        self.id = f"daemon-{number}"
        self.address = f"10.0.0.{number}:7000"
        self.api = fleet.api
        self.make_ports(fleet, zone)
        self.events = EventRing(self.id, HybridClock(fleet.clock.seconds))
        self.traffic = TrafficMeter()
        self.suspects = []
        self.channels = []
        own = Member(
            self.id,
            zone,
            peer_address=self.address,
            caller_url=f"http://10.0.0.{number}",
            incarnation=incarnation,
        )
        self.peers = Peers(
            own,
            fleet.clock,
            self.api,
            self.lease,
            self.configuration,
            self.freshness,
            self.events,
            Channels(fleet.clock, self.traffic, self._open(fleet.network)),
            self.traffic,
            lambda handle: FakeServer(fleet.network, self.address, handle),
            status_source=lambda: {"id": self.id},
            random=Random(number),
        )
        self.peers.on_suspect(self.suspects.append)

    def make_ports(self, fleet, zone):
        self.lease = FakeLease()
        self.configuration = FakeConfiguration(fleet.api, fleet.clock)
        self.freshness = FakeFreshness()

    def _open(self, network):
        def open_channel(address):
            self.channels.append(network.open(self.address, address))
            return self.channels[-1]

        return open_channel

    @property
    def value(self):
        own = self.peers.membership.own
        return {
            "role": "daemon",
            "zone": own.zone,
            "region": "r",
            "caller_url": own.caller_url,
            "operator_url": "",
            "peer_address": self.address,
            "state": "live",
        }


class Fleet:
    """Daemons spread over zones; the first daemon of each zone is its zone reader."""

    def __init__(self, size=6, zones=3):
        self.clock = Clock()
        self.api = MemoryObjectApi(self.clock)
        self.network = Network()
        self.daemons = [Daemon(self, n, f"zone-{n % zones}") for n in range(size)]
        self.write("config", "head", {"revision": 0})
        for daemon in self.daemons:
            self.write("instances", daemon.id, daemon.value)
        for n, daemon in enumerate(self.daemons):
            daemon.lease.version = 1 if n < zones else 0
            start(daemon.peers.start())
        self.advance(3)

    def write(self, kind, name, value):
        async def put():
            try:
                found = await self.api.get(kind, name, deadline=1e9)
            except Exception:
                return await self.api.create(kind, name, value, deadline=1e9)
            version = found.version
            return await self.api.update(
                kind, name, value, version=version, deadline=1e9
            )

        start(put())

    def confirm(self, revision):
        self.write("config", "head", {"revision": revision})

    def kill(self, number):
        daemon = self.daemons[number]
        start(daemon.peers.stop())

    def cut_off(self, *numbers):
        self.network.cut_off = {self.daemons[n].address for n in numbers}

    def advance(self, seconds):
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)

    def states_seen_by(self, number):
        membership = self.daemons[number].peers.membership
        now = self.clock.seconds()
        return [membership.state_of(d.id, now).value for d in self.daemons]


@pytest.fixture
def fleet():
    return Fleet()


@pytest.fixture
def make_fleet():
    return Fleet
