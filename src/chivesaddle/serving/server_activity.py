"""Which servers this daemon has requests at or does not reach, without idle walks.

Several components ask this a few times a second. A daemon that takes no callers has
neither, and walks over all servers would be the largest part of its processor time in a
fleet with thousands of servers.
"""

from collections.abc import Callable

from chivesaddle.placement import ServerTable, TrackedServer


class ServerActivity:
    """Servers that need the attention of a periodic task.

    Parameters
    ----------
    servers : ServerTable
        All listed servers.
    has_requests : callable
        Returns whether callers' requests are in flight at this daemon. Only they cause
        requests at servers.
    reports_lost_paths : bool
        Whether `record_path_lost` is called for each path that is lost. Otherwise all
        servers are walked.
    """

    def __init__(
        self,
        servers: ServerTable,
        has_requests: Callable[[], bool] = lambda: True,
        *,
        reports_lost_paths: bool = False,
    ) -> None:
        self._servers = servers
        self._has_requests = has_requests
        self._reports_lost_paths = reports_lost_paths
        self._had_requests = False
        self._may_be_lost = not reports_lost_paths

    def record_path_lost(self) -> None:
        """Record that a server does not accept connections of this daemon any more."""
        self._may_be_lost = True

    def with_requests(self) -> list[TrackedServer]:
        """Return the servers at which this daemon has requests."""
        # Those of a caller that has disconnected end just after the caller's request.
        if not self._had_requests and not self._has_requests():
            return []
        found = [s for s in self._servers.all() if s.in_flight or s.unanswered]
        self._had_requests = bool(found)
        return found

    def lost(self) -> list[TrackedServer]:
        """Return the servers that accept no connection of this daemon."""
        if not self._may_be_lost:
            return []
        found = [s for s in self._servers.all() if s.path.lost_at is not None]
        self._may_be_lost = bool(found) or not self._reports_lost_paths
        return found


__all__ = ["ServerActivity"]
