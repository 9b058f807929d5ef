"""Availability zones whose servers get no new requests, as the operators ask.

Runs in progress, weight orders and cache event reads continue. Requests at other
servers are not told to fetch KV cache from these servers.
"""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import BackendServerId, ModelId, ServiceId, ZoneId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.serving_model import ServerEntry, ServerState
from chivesaddle.placement.table import ServerTable, TrackedServer

# A zone without servers is logged as unknown only after this time: a daemon that starts
# may read the evacuations before the list of servers.
UNKNOWN_ZONE_AFTER_S = 2.0

log = ComponentLogger("evacuations")


class Evacuations:
    """The evacuated zones, and when each became known to this daemon.

    Parameters
    ----------
    clock : Clock
        Clock of all times.
    servers : ServerTable
        The listed servers; its predicate for evacuated zones is set.
    """

    def __init__(self, clock: Clock, servers: ServerTable) -> None:
        self._clock = clock
        self._servers = servers
        # Called when a zone is no longer evacuated, before its servers get requests.
        self.on_zone_returned: Callable[[ZoneId], None] = lambda zone: None
        self._known_at_by_zone: dict[ZoneId, float] = {}
        self._unchecked_zones: set[ZoneId] = set()
        self._refused_services: frozenset[ServiceId] = frozenset()
        servers.is_evacuated = self.includes

    def __len__(self) -> int:
        return len(self._known_at_by_zone)

    def includes(self, zone: ZoneId) -> bool:
        """Return whether the zone is evacuated."""
        return zone in self._known_at_by_zone

    def known_at_by_zone(self) -> Mapping[ZoneId, float]:
        """Return when each evacuated zone became known, in seconds on the clock."""
        return dict(self._known_at_by_zone)

    def put(self, zone: ZoneId) -> None:
        """Send the zone's servers no new requests."""
        if zone in self._known_at_by_zone:
            return
        self._known_at_by_zone[zone] = self._clock.seconds()
        self._unchecked_zones.add(zone)
        affected = [s for s in self._servers.all() if s.entry.zone == zone]
        log.warning(
            "zone evacuated",
            extra={
                "zone": zone,
                "servers": len(affected),
                "in_flight": sum(len(server.in_flight) for server in affected),
                "evacuated_zones": len(self),
            },
        )
        self._apply_change()

    def remove(self, zone: ZoneId) -> None:
        """Use the zone's servers again."""
        known_at = self._known_at_by_zone.pop(zone, None)
        if known_at is None:
            return
        self._unchecked_zones.discard(zone)
        after_ms = round((self._clock.seconds() - known_at) * 1_000)
        log.warning(
            "zone no longer evacuated",
            extra={"zone": zone, "after_ms": after_ms, "evacuated_zones": len(self)},
        )
        self.on_zone_returned(zone)
        self._apply_change()

    def check(self) -> None:
        """Log zones and services for which an evacuation may be a mistake.

        Servers come and go as well, so this is called regularly besides at changes.
        """
        self._check_zones()
        refused = fully_evacuated_services(self._servers.all(), self.includes)
        previous, self._refused_services = self._refused_services, refused
        if refused - previous:
            now = self._clock.seconds()
            log.error(
                "services refused: all servers in evacuated zones",
                extra={
                    "services": sorted(refused),
                    "zone_ages_ms": {
                        zone: round((now - known_at) * 1_000)
                        for zone, known_at in self._known_at_by_zone.items()
                    },
                },
            )
        elif previous - refused:
            log.info(
                "services no longer refused",
                extra={"services": sorted(previous - refused)},
            )

    def _check_zones(self) -> None:
        latest = self._clock.seconds() - UNKNOWN_ZONE_AFTER_S
        due = {z for z in self._unchecked_zones if self._known_at_by_zone[z] <= latest}
        self._unchecked_zones -= due
        for zone in due - {server.entry.zone for server in self._servers.all()}:
            log.warning("evacuated zone has no server", extra={"zone": zone})

    def _apply_change(self) -> None:
        self._servers.refresh()
        self.check()
        # Waiting requests are sent to the servers that are left, or refused.
        for service in {server.entry.service for server in self._servers.all()}:
            self._clock.callLater(0, self._servers.on_capacity_freed, service)


def fully_evacuated_services(
    servers: Iterable[TrackedServer], is_evacuated: Callable[[ZoneId], bool]
) -> frozenset[ServiceId]:
    """Return the services of which all ready servers are in evacuated zones.

    Load: the evacuation of the last zone of a service, by mistake or because its other
    servers are gone; requests to it are refused until an entry is removed.
    """
    ready = [s.entry for s in servers if s.entry.state is ServerState.READY]
    usable = {entry.service for entry in ready if not is_evacuated(entry.zone)}
    return frozenset(entry.service for entry in ready) - usable


@dataclass(frozen=True, slots=True)
class EvacuationPlan:
    """What the evacuation of a zone changes.

    Attributes
    ----------
    servers_by_service : dict
        Ids of the zone's ready servers.
    servers_left_by_service : dict
        Number of ready servers in zones that are not evacuated, of the same services.
    lost_services : tuple of ServiceId
        Services that have no server left.
    lost_models : tuple of (ServiceId, ModelId)
        Models that only servers of the zone have, of services that have others left.
    """

    zone: ZoneId
    servers_by_service: dict[ServiceId, tuple[BackendServerId, ...]]
    servers_left_by_service: dict[ServiceId, int]
    lost_services: tuple[ServiceId, ...]
    lost_models: tuple[tuple[ServiceId, ModelId], ...]


def plan_evacuation(
    zone: ZoneId, servers: Iterable[ServerEntry], evacuated: Collection[ZoneId]
) -> EvacuationPlan:
    """Return what changes if a zone is evacuated beside those that are already."""
    ready = [s for s in servers if s.state is ServerState.READY]
    in_zone = [server for server in ready if server.zone == zone]
    left = [s for s in ready if s.zone != zone and s.zone not in evacuated]
    by_service = {
        service: tuple(sorted(s.id for s in in_zone if s.service == service))
        for service in sorted({server.service for server in in_zone})
    }
    left_by_service = Counter(s.service for s in left if s.service in by_service)
    lost = [service for service in by_service if not left_by_service[service]]
    models = {(s.service, model) for s in in_zone for model in s.version_by_model}
    models_left = {(s.service, model) for s in left for model in s.version_by_model}
    return EvacuationPlan(
        zone,
        by_service,
        dict(left_by_service),
        tuple(sorted(lost)),
        tuple(sorted(m for m in models - models_left if m[0] not in lost)),
    )


__all__ = [
    "EvacuationPlan",
    "Evacuations",
    "fully_evacuated_services",
    "plan_evacuation",
]
