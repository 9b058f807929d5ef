"""Observations of backend server load that daemons exchange with their peers."""

from collections.abc import Callable, Iterable, Sequence
from typing import Any

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import BackendServerId
from chivesaddle.fleet import ServerLoadShare
from chivesaddle.fleet.beacons import server_hash
from chivesaddle.placement import Load, ServerTable

# Older load reports are too outdated to be useful to the receiver.
LOAD_MAX_AGE_S = 1.5


class LoadHints:
    """Exchanges the backend servers' latest load reports with peers.

    Parameters
    ----------
    servers : ServerTable
        Table that holds the reports.
    is_working : callable
        Returns whether this daemon takes callers. Otherwise it has only reports that
        others sent it.
    """

    def __init__(self, servers: ServerTable, is_working: Callable[[], bool]) -> None:
        self._servers = servers
        self._is_working = is_working

    def collect(self) -> Any:
        """Return the reports of the last `LOAD_MAX_AGE_S` seconds."""
        return self._servers.loads(LOAD_MAX_AGE_S) if self._is_working() else {}

    def apply_remote(self, hint: Any) -> None:
        """Apply a peer's reports."""
        self._servers.merge_peer_loads(hint)


class LeavingHints:
    """Exchanges which backend servers have said that they leave.

    Parameters
    ----------
    servers : ServerTable
        Table that holds the servers.
    """

    def __init__(self, servers: ServerTable) -> None:
        self._servers = servers

    def collect(self) -> Any:
        """Return the start times of leaving servers by id."""
        return self._servers.leaving()

    def apply_remote(self, hint: Any) -> None:
        """Apply what a peer knows."""
        for server, started_ms in hint.items():
            self._servers.record_leaving(BackendServerId(server), started_ms, "peer")


class ServerLoadShares:
    """Exchanges each daemon's own load on every backend server with peers.

    Parameters
    ----------
    clock : Clock
        Clock on which peers' load shares expire.
    servers : ServerTable
        Table that holds the load of all daemons.
    loading : callable
        Returns the servers that are loading weights on this daemon's order.
    """

    def __init__(
        self,
        clock: Clock,
        servers: ServerTable,
        loading: Callable[[], Iterable[BackendServerId]],
    ) -> None:
        self._clock = clock
        self._servers = servers
        self._loading_servers = loading

    def collect(self) -> tuple[list[ServerLoadShare], list[int]]:
        """Return this daemon's load shares, and hashes of servers loading weights."""
        shares = []
        now = self._clock.seconds()
        for tracked in self._servers.all():
            if tracked.in_flight:
                own = tracked.own_load(now)
                shares.append(
                    ServerLoadShare(
                        server_hash(tracked.entry.id),
                        own.requests,
                        own.unread_tokens,
                        own.memory_tokens,
                    )
                )
        loading = list(self._loading_servers())
        for server in loading:
            self._servers.record_busy(server)
        return shares, sorted(server_hash(server) for server in loading)

    def apply_remote(
        self,
        peer: str,
        shares: Sequence[ServerLoadShare],
        loading: Sequence[int],
        valid_s: float,
    ) -> None:
        """Replace a peer's load shares; it has no load on servers not listed."""
        expires_at = self._clock.seconds() + valid_s
        shares_by_server = {share.server: share for share in shares}
        for tracked in self._servers.all():
            hashed_id = server_hash(tracked.entry.id)
            if hashed_id in loading:
                self._servers.record_busy(tracked.entry.id)
            share = shares_by_server.get(hashed_id)
            if share is None:
                tracked.peer_loads.pop(peer)
                continue
            load = Load(share.requests, share.unread_tokens, share.memory_tokens)
            tracked.peer_loads[peer] = (load, expires_at)


__all__ = ["LeavingHints", "LoadHints", "ServerLoadShares"]
