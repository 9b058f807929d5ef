"""Backend servers that are leaving, as reported by engines, peers and platform."""

from collections.abc import Callable, Iterable
from typing import Any

from chivesaddle.core.events import EventKind, EventRing
from chivesaddle.core.ids import BackendServerId
from chivesaddle.peers import ServerReport
from chivesaddle.routing import Router


class LeavingServers:
    """Exchanges between router and peers which backend servers are leaving.

    The peers must be notified because a draining load report or a 503 response reaches
    one daemon only, and with more than 64 backend servers a daemon polls only those of
    its own zone.

    Parameters
    ----------
    router : Router
        Holds the state of the servers.
    announce : callable
        Sends a report to all peers.
    events : EventRing
        Records an event for each server that starts to leave.
    """

    def __init__(
        self,
        router: Router,
        announce: Callable[[ServerReport], Any],
        events: EventRing,
    ) -> None:
        self._router = router
        self._announce = announce
        self._events = events
        self._known_leaving: set[BackendServerId] = set()

    def set_listed(self, server_ids: frozenset[BackendServerId]) -> None:
        """Set all servers that the platform lists as leaving."""
        for server_id in sorted(server_ids):
            if not self._router.is_leaving(server_id):
                self._record(server_id, "platform")
        self._known_leaving |= server_ids
        self._router.set_listed_leaving(server_ids)

    def record_peer_report(self, server_id: BackendServerId, source: str) -> None:
        """Record a server that a peer reported; it is not announced again."""
        self._known_leaving.add(server_id)
        if not self._router.is_leaving(server_id):
            self._router.mark_leaving(server_id)
            self._record(server_id, source)

    def announce_new(self, configured: Iterable[BackendServerId]) -> None:
        """Announce leaving servers that this daemon's router detected itself."""
        leaving = {s for s in configured if self._router.is_leaving(s)}
        for server_id in sorted(leaving - self._known_leaving):
            self._record(server_id, "engine")
            self._announce(ServerReport(server_id))
        # Servers that are no longer leaving are forgotten, so that a server which an
        # operator returned to service is announced again when it leaves the next time.
        self._known_leaving = leaving

    def _record(self, server_id: BackendServerId, source: str) -> None:
        self._events.record(
            EventKind.BACKEND_SERVER_CHANGED,
            object=server_id,
            state="leaving",
            source=source,
        )


__all__ = ["LeavingServers"]
