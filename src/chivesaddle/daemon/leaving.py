"""Backend servers that are leaving, as this daemon and its peers notice them."""

from collections.abc import Callable, Iterable
from typing import Any

from chivesaddle.core.events import EventKind, EventRing
from chivesaddle.core.ids import BackendServerId
from chivesaddle.peers import ServerReport
from chivesaddle.routing import Router


class LeavingServers:
    """Tells the router what others report, and the peers what this daemon noticed.

    A load report or an answer 503 reaches one daemon only, and above 64 backend
    servers a daemon polls those of its own zone only.

    Parameters
    ----------
    router : Router
        Knows which servers are leaving.
    announce : callable
        Sends a report to all peers.
    events : EventRing
        Receives an event for each server that is found leaving.
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
        self._known: set[BackendServerId] = set()

    def list(self, server_ids: frozenset[BackendServerId]) -> None:
        """Take the servers that the platform lists as leaving, all of them."""
        for server_id in sorted(server_ids):
            if not self._router.is_leaving(server_id):
                self._record(server_id, "platform")
        self._known |= server_ids
        self._router.set_listed_leaving(server_ids)

    def learn(self, server_id: BackendServerId, source: str) -> None:
        """Take a report of a peer; it is not announced again."""
        self._known.add(server_id)
        if not self._router.is_leaving(server_id):
            self._router.set_leaving(server_id)
            self._record(server_id, source)

    def announce_new(self, configured: Iterable[BackendServerId]) -> None:
        """Announce servers that the router has learned of by itself."""
        leaving = {s for s in configured if self._router.is_leaving(s)}
        for server_id in sorted(leaving - self._known):
            self._record(server_id, "engine")
            self._announce(ServerReport(server_id))
        # A server that an operator put back is announced when it leaves again.
        self._known = leaving

    def _record(self, server_id: BackendServerId, source: str) -> None:
        self._events.record(
            EventKind.BACKEND_SERVER_CHANGED,
            object=server_id,
            state="leaving",
            source=source,
        )


__all__ = ["LeavingServers"]
