"""The control parts of many daemons in one process, on an in-memory network.

The platform is `MemoryObjectApi` in the same process; its processor time is part of the
figures.
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

from chivesaddle.configuration import ConfigHolder, ConfigService, Freshness
from chivesaddle.core.aio import start
from chivesaddle.core.events import EventRing, HybridClock
from chivesaddle.core.ids import AccountId, DaemonId, RegionId, ZoneId
from chivesaddle.core.objects import ObjectChange
from chivesaddle.daemon.adapters import ConfigurationPort
from chivesaddle.daemon.duties import Duties
from chivesaddle.objects import Lease, MemoryObjectApi
from chivesaddle.peers import Channels, Member, Peers
from chivesaddle.peers.server import Handler
from chivesaddle.peers.traffic import Traffic

STEP_S = 0.1
DEMAND = {AccountId(f"account-{n}"): 100.0 + n for n in range(200)}


class FleetClock(Clock):
    """Virtual clock that keeps its calls in order.

    Twisted's own sorts all calls at each insertion and after each call, which was 69 %
    of the processor time of 100 daemons.
    """

    def callLater(  # type: ignore[override] # noqa: N802
        self, delay: float, callable: Callable[..., Any], *args: Any, **kw: Any
    ) -> Any:
        """Schedule a call; it cannot be moved to another time."""
        call = DelayedCall(
            self.seconds() + delay,
            callable,
            args,
            kw,
            self.calls.remove,
            lambda _: None,
            self.seconds,
        )
        insort(self.calls, call, key=DelayedCall.getTime)
        return call

    def _sortCalls(self) -> None:  # noqa: N802
        pass


class CountingObjectApi(MemoryObjectApi):
    """Counts the JSON bytes of the bodies as well as the calls."""

    body_bytes = 0

    async def get(self, *args: Any, **kw: Any) -> Any:
        """Read one object."""
        return self._counted(await super().get(*args, **kw))

    async def list_objects(self, *args: Any, **kw: Any) -> Any:
        """Read all objects of a kind."""
        found = await super().list_objects(*args, **kw)
        for item in found.items_by_name.values():
            self._counted(item)
        return found

    async def wait_for_changes(self, *args: Any, **kw: Any) -> Any:
        """Wait for changes."""
        found = await super().wait_for_changes(*args, **kw)
        for change in found.changes:
            self._counted(change.item)
        return found

    async def create(self, *args: Any, **kw: Any) -> Any:
        """Create an object; its value travels both ways."""
        return self._counted(self._counted(await super().create(*args, **kw)))

    async def update(self, *args: Any, **kw: Any) -> Any:
        """Replace an object; its value travels both ways."""
        return self._counted(self._counted(await super().update(*args, **kw)))

    def _changes_after(self, kind: str, after: int) -> list[ObjectChange]:
        """Search from the newest change; a whole scan would dominate the figures."""
        found: list[ObjectChange] = []
        for change in reversed(self._history):
            if change.item.version <= after:
                break
            if change.item.kind == kind:
                found.append(change)
        return found[::-1]

    def _counted(self, item: Any) -> Any:
        self.body_bytes += len(json.dumps([item.name, item.version, item.value]))
        return item


class Network:
    """Carries calls at once; messages are encoded and decoded as on a wire."""

    def __init__(self) -> None:
        self.handlers_by_address: dict[str, Handler] = {}
        self.calls: Counter[str] = Counter()


class _Channel:
    def __init__(self, network: Network, address: str) -> None:
        self._network = network
        self._address = address

    def call(self, method: str, message: Any) -> "Deferred[Any]":
        handler = self._network.handlers_by_address.get(self._address)
        if handler is None:
            return fail(ConnectionRefusedError())
        self._network.calls[method] += 1
        return start(handler(method, _copy(message))).addCallback(_copy)

    def close(self) -> None:
        pass


def _copy(message: Any) -> Any:
    return type(message).FromString(message.SerializeToString())


class _Server:
    def __init__(self, network: Network, address: str, handler: Handler) -> None:
        self._network = network
        self._address = address
        self._handler = handler

    async def start(self) -> None:
        self._network.handlers_by_address[self._address] = self._handler

    async def stop(self) -> None:
        self._network.handlers_by_address.pop(self._address, None)


class ControlPart:
    """Configuration, peers and leases of one daemon, without serving."""

    def __init__(self, fleet: "ControlFleet", number: int, zone: str) -> None:
        self.id = DaemonId(f"daemon-{number}")
        self.address = f"10.{number // 250}.{number % 250}.1:7000"
        clock, api = fleet.clock, fleet.api
        freshness = Freshness(self.id, ZoneId(zone))
        self.config = ConfigService(api, clock, self.id, ConfigHolder(), freshness)
        self.lease = Lease(api, clock, f"zone-reader/{zone}", self.id)
        orders = Lease(api, clock, f"orders/{zone}", self.id)
        repair = Lease(api, clock, f"repair/region-{number % 5}", self.id)
        events = EventRing(self.id, HybridClock(clock.seconds))
        self.duties = Duties(self.lease, (orders, repair), events)
        self.traffic = Traffic()
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
            self.lease,
            ConfigurationPort(self.config),
            freshness,
            events,
            Channels(clock, self.traffic, lambda a: _Channel(fleet.network, a)),
            self.traffic,
            lambda handler: _Server(fleet.network, self.address, handler),
            random=Random(number),
        )
        self.peers.set_demand_source(lambda: DEMAND)

    @property
    def instance(self) -> dict[str, Any]:
        """Entry of the platform's instance list."""
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


class ControlFleet:
    """Control parts of ``size`` daemons in ``zones`` zones on a virtual clock."""

    def __init__(self, size: int, zones: int) -> None:
        self.clock = FleetClock()
        self.api = CountingObjectApi(self.clock)
        self.network = Network()
        self.parts = [ControlPart(self, n, f"zone-{n % zones}") for n in range(size)]
        for part in self.parts:
            start(self.api.create("instances", part.id, part.instance, deadline=1e9))
        for part in self.parts:
            start(part.peers.start())

    def advance(self, seconds: float) -> None:
        """Let virtual time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    def readers(self) -> list[ControlPart]:
        """Return the daemons that read for their zones."""
        now = self.clock.seconds()
        return [part for part in self.parts if part.lease.held_at(now)]


__all__ = ["ControlFleet", "ControlPart"]
