"""Leases of the singleton tasks, which run on the zone readers.

A zone reader is the daemon that reads from the platform for its whole zone. Only zone
readers compete for the leases of the orders and repair tasks. With 500 daemons in 18
zones, 18 candidates instead of 500 read those leases.
"""

from twisted.internet.defer import Deferred

from chivesaddle.core.aio import log_failure, start
from chivesaddle.core.events import EventKind, EventRing
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.objects import Lease

log = ComponentLogger("duties")


class SingletonTasks:
    """Competes for the leases of singleton tasks while the zone lease is held.

    Parameters
    ----------
    zone_lease : Lease
        Lease ``zone-reader/{zone}``.
    leases : sequence of Lease
        Leases of the singleton tasks.
    events : EventRing
        Records an event whenever a lease is acquired or lost.
    """

    def __init__(
        self, zone_lease: Lease, leases: tuple[Lease, ...], events: EventRing
    ) -> None:
        self._task_leases = leases
        for lease in (zone_lease, *leases):
            lease.add_listener(_lease_recorder(lease, events))
        zone_lease.add_listener(self._zone_lease_changed)

    def stop(self) -> "list[Deferred[None]]":
        """Release the tasks' leases; return the Deferreds of the releases."""
        return [start(lease.stop()) for lease in self._task_leases]

    def _zone_lease_changed(self, held: bool) -> None:
        for lease in self._task_leases:
            if held:
                lease.start()
            else:
                start(lease.stop()).addErrback(
                    log_failure(log, f"release of {lease.name} failed")
                )


def _lease_recorder(lease: Lease, events: EventRing):
    def record(held: bool) -> None:
        events.record(
            EventKind.LEASE_CHANGED,
            object=f"lease/{lease.name}",
            held=held,
            term=lease.fencing_token,
        )

    return record


__all__ = ["SingletonTasks"]
