"""The fleet as the operators' API sees it."""

from collections.abc import Awaitable, Callable, Sequence

from chivesaddle.core.aio import Clock
from chivesaddle.core.events import EventFilter
from chivesaddle.core.ids import Fingerprint
from chivesaddle.operators import FleetEvents, FleetStatus
from chivesaddle.peers import Peers
from chivesaddle.routing import Announcement, Router


class PeerFleet:
    """Collects status and events over the peers and clears suspect requests."""

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
        """Return the status of every daemon; those that did not answer are named."""
        found = await self._peers.collect_status(deadline)
        answers = found.answers_by_daemon_id
        return FleetStatus(
            [answers[daemon] for daemon in sorted(answers)],
            sorted(found.missing_by_daemon_id),
        )

    async def collect_events(self, wanted: EventFilter, deadline: float) -> FleetEvents:
        """Return the fleet's events; daemons that did not answer are named."""
        found = await self._peers.collect_events(wanted, deadline)
        return FleetEvents(list(found.events), sorted(found.missing_by_daemon_id))

    async def clear_suspect(self, fingerprint: Fingerprint, operator: str) -> None:
        """Reset the crash count of a request on all daemons."""
        cleared = self._router.clear_suspect(fingerprint, self._clock.seconds())
        await self._announce(cleared)


__all__ = ["PeerFleet"]
