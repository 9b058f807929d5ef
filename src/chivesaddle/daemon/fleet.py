"""Status, events and suspect requests of the fleet for the operators' API."""

from collections.abc import Awaitable, Callable, Sequence

from chivesaddle.core.aio import Clock
from chivesaddle.core.events import EventFilter
from chivesaddle.core.ids import Fingerprint
from chivesaddle.operators import FleetEvents, FleetStatus
from chivesaddle.peers import Peers
from chivesaddle.routing import Announcement, Router


class PeerFleet:
    """Collects status and events from all daemons and clears suspect requests."""

    def __init__(
        self,
        peers: Peers,
        router: Router,
        clock: Clock,
        announce: Callable[[Sequence[Announcement]], Awaitable[None]],
    ) -> None:
        self._peers = peers
        self._router = router
        self._clock = clock
        self._announce = announce

    async def collect_status(self, deadline: float) -> FleetStatus:
        """Return the status of all daemons and the ids of those that did not answer."""
        collected = await self._peers.collect_status(deadline)
        answers = collected.responses_by_daemon_id
        return FleetStatus(
            [answers[daemon] for daemon in sorted(answers)],
            sorted(collected.missing_by_daemon_id),
        )

    async def collect_events(self, wanted: EventFilter, deadline: float) -> FleetEvents:
        """Return the events of all daemons and the ids of those that did not answer."""
        collected = await self._peers.collect_events(wanted, deadline)
        return FleetEvents(
            list(collected.events), sorted(collected.missing_by_daemon_id)
        )

    async def clear_suspect(self, fingerprint: Fingerprint, operator: str) -> None:
        """Reset the crash count of a request on all daemons."""
        cleared = self._router.clear_suspect(fingerprint, self._clock.seconds())
        await self._announce(cleared)


__all__ = ["PeerFleet"]
