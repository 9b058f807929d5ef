"""Singleton tasks that run on the daemon that reads for its zone.

Only zone readers compete for the leases of orders and repair. With 500 daemons in 18
zones 18 candidates instead of 500 read those leases.
"""

from twisted.internet.defer import Deferred

from chivesaddle.core.aio import log_failure, start
from chivesaddle.core.events import EventKind, EventRing
from chivesaddle.core.logs import PartLogger
from chivesaddle.objects import Lease

log = PartLogger("duties")


class Duties:
    """Starts the leases of further singleton tasks while the zone lease is held.

    Parameters
    ----------
    zone_lease : Lease
        Lease ``zone-reader/{zone}``.
    leases : sequence of Lease
        Leases of the tasks.
    events : EventRing
        Receives an event whenever a lease is gained or lost.
    """

    def __init__(
        self, zone_lease: Lease, leases: tuple[Lease, ...], events: EventRing
    ) -> None:
        self._leases = leases
        for lease in (zone_lease, *leases):
            lease.add_listener(_recorder(lease, events))
        zone_lease.add_listener(self._zone_lease_changed)

    def stop(self) -> "list[Deferred[None]]":
        """Release all leases; return the Deferreds of the releases."""
        return [start(lease.stop()) for lease in self._leases]

    def _zone_lease_changed(self, held: bool) -> None:
        for lease in self._leases:
            if held:
                lease.start()
            else:
                start(lease.stop()).addErrback(
                    log_failure(log, f"release of {lease.name} failed")
                )


def _recorder(lease: Lease, events: EventRing):
    def record(held: bool) -> None:
        events.record(
            EventKind.LEASE_CHANGED,
            object=f"lease/{lease.name}",
            held=held,
            term=lease.fencing_token,
        )

    return record


__all__ = ["Duties"]
