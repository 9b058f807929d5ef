"""Control planes of many daemons in one process, on an in-memory network.

The platform is `MemoryObjectApi` in the same process; the measurements include its
processor time.
"""

import json
from bisect import insort
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred, fail
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.task import Clock

from chivesaddle.configuration import ActiveConfig, ConfigService, Freshness
from chivesaddle.core.aio import start
from chivesaddle.core.events import EventRing, HybridClock
from chivesaddle.core.ids import AccountId, DaemonId, RegionId, ZoneId
from chivesaddle.core.objects import ObjectChange
from chivesaddle.daemon.adapters import ConfigurationPort
from chivesaddle.daemon.singleton_tasks import SingletonTasks
from chivesaddle.objects import Lease
from chivesaddle.objects.memory import MemoryObjectApi
from chivesaddle.peers import Channels, Member, Peers
from chivesaddle.peers.server import Handler
from chivesaddle.peers.traffic import TrafficMeter

CLOCK_STEP_S = 0.1
DEMAND_BY_ACCOUNT = {AccountId(f"account-{n}"): 100.0 + n for n in range(200)}


class FleetClock(Clock):
    """Virtual clock that inserts delayed calls in order of their time.

    Twisted's `Clock` sorts all calls at each insertion and after each call, which took
    69 % of the processor time of 100 daemons.
    """

    def callLater(  # type: ignore[override] # noqa: N802
        self, delay: float, callable: Callable[..., Any], *args: Any, **kwargs: Any
    ) -> Any:
        """Schedule a call, which must not be rescheduled."""
        call = DelayedCall(
            self.seconds() + delay,
            callable,
            args,
            kwargs,
            self.calls.remove,
            lambda _: None,
            self.seconds,
        )
        insort(self.calls, call, key=DelayedCall.getTime)
        return call

    def _sortCalls(self) -> None:  # noqa: N802
        pass


class CountingObjectApi(MemoryObjectApi):
    """Counts the JSON bytes of the bodies in addition to the calls."""

    body_bytes = 0

    async def get(self, *args: Any, **kwargs: Any) -> Any:
        """Read one object."""
        return self._count_body(await super().get(*args, **kwargs))

    async def list_objects(self, *args: Any, **kwargs: Any) -> Any:
        """Read all objects of a kind."""
        listing = await super().list_objects(*args, **kwargs)
        for item in listing.items_by_name.values():
            self._count_body(item)
        return listing

    async def wait_for_changes(self, *args: Any, **kwargs: Any) -> Any:
        """Wait for changes."""
        result = await super().wait_for_changes(*args, **kwargs)
        for change in result.changes:
            self._count_body(change.item)
        return result

    async def create(self, *args: Any, **kwargs: Any) -> Any:
        """Create an object; request and response both contain its value."""
        return self._count_body(self._count_body(await super().create(*args, **kwargs)))

    async def update(self, *args: Any, **kwargs: Any) -> Any:
        """Replace an object; request and response both contain its value."""
        return self._count_body(self._count_body(await super().update(*args, **kwargs)))

    def _changes_after(self, kind: str, after: int) -> list[ObjectChange]:
        """Search from the newest change; a full scan would distort the measurements."""
        newest_first: list[ObjectChange] = []
        for change in reversed(self._history):
            if change.item.version <= after:
                break
            if change.item.kind == kind:
                newest_first.append(change)
        return newest_first[::-1]

    def _count_body(self, item: Any) -> Any:
        self.body_bytes += len(json.dumps([item.name, item.version, item.value]))
        return item


class InMemoryNetwork:
    """Delivers calls without delay, but encodes and decodes their messages."""

    def __init__(self) -> None:
        self.handlers_by_address: dict[str, Handler] = {}
        self.calls: Counter[str] = Counter()


class _InMemoryChannel:
    def __init__(self, network: InMemoryNetwork, address: str) -> None:
        self._network = network
        self._address = address

    def call(self, method: str, message: Any) -> "Deferred[Any]":
        handler = self._network.handlers_by_address.get(self._address)
        if handler is None:
            return fail(ConnectionRefusedError())
        self._network.calls[method] += 1
        return start(handler(method, _encode_and_decode(message))).addCallback(
            _encode_and_decode
        )

    def close(self) -> None:
        pass


def _encode_and_decode(message: Any) -> Any:
    return type(message).FromString(message.SerializeToString())


class _InMemoryServer:
    def __init__(
        self, network: InMemoryNetwork, address: str, handler: Handler
    ) -> None:
        self._network = network
        self._address = address
        self._handler = handler

    async def start(self) -> None:
        self._network.handlers_by_address[self._address] = self._handler

    async def stop(self) -> None:
        self._network.handlers_by_address.pop(self._address, None)


class ControlPlane:
    """Configuration, peers and leases of one daemon, without request handling."""

    def __init__(self, fleet: "ControlPlaneFleet", number: int, zone: str) -> None:
        self.id = DaemonId(f"daemon-{number}")
        self.address = f"10.{number // 250}.{number % 250}.1:7000"
        clock, api = fleet.clock, fleet.api
        freshness = Freshness(self.id, ZoneId(zone))
        self.config = ConfigService(api, clock, self.id, ActiveConfig(), freshness)
        self.zone_reader_lease = Lease(api, clock, f"zone-reader/{zone}", self.id)
        orders_lease = Lease(api, clock, f"orders/{zone}", self.id)
        repair_lease = Lease(api, clock, f"repair/region-{number % 5}", self.id)
        events = EventRing(self.id, HybridClock(clock.seconds))
        self.singleton_tasks = SingletonTasks(
            self.zone_reader_lease, (orders_lease, repair_lease), events
        )
        self.traffic = TrafficMeter()
        own = Member(
            self.id,
            ZoneId(zone),
            RegionId("region-1"),
            peer_address=self.address,
            caller_url=f"http://{self.address}",
            operator_url=f"http://{self.address}",
            incarnation=1_000_000_000_000,
        )
        self.peers = Peers(
            own,
            clock,
            api,
            self.zone_reader_lease,
            ConfigurationPort(self.config),
            freshness,
            events,
            Channels(clock, self.traffic, lambda a: _InMemoryChannel(fleet.network, a)),
            self.traffic,
            lambda handler: _InMemoryServer(fleet.network, self.address, handler),
            random=Random(number),
        )
        self.peers.set_demand_source(lambda: DEMAND_BY_ACCOUNT)

    @property
    def instance(self) -> dict[str, Any]:
        """Entry of the daemon in the platform's list of instances."""
        own = self.peers.membership.own
        return {
            "role": "daemon",
            "zone": own.zone,
            "region": own.region,
            "caller_url": own.caller_url,
            "operator_url": own.operator_url,
            "peer_address": own.peer_address,
            "state": "live",
        }


class ControlPlaneFleet:
    """Control planes of ``size`` daemons in ``zones`` zones on a virtual clock."""

    def __init__(self, size: int, zones: int) -> None:
        self.clock = FleetClock()
        self.api = CountingObjectApi(self.clock)
        self.network = InMemoryNetwork()
        self.daemons = [ControlPlane(self, n, f"zone-{n % zones}") for n in range(size)]
        for daemon in self.daemons:
            start(
                self.api.create("instances", daemon.id, daemon.instance, deadline=1e9)
            )
        for daemon in self.daemons:
            start(daemon.peers.start())

    def advance(self, seconds: float) -> None:
        """Advance the virtual clock in steps of `CLOCK_STEP_S`."""
        for _ in range(round(seconds / CLOCK_STEP_S)):
            self.clock.advance(CLOCK_STEP_S)

    def zone_readers(self) -> list[ControlPlane]:
        """Return the daemons that hold the zone reader lease of their zone."""
        now = self.clock.seconds()
        return [
            daemon
            for daemon in self.daemons
            if daemon.zone_reader_lease.is_held_at(now)
        ]


__all__ = ["ControlPlane", "ControlPlaneFleet"]
