"""Observations of backend server load that daemons exchange with their peers."""

from collections.abc import Callable, Iterable, Sequence
from typing import Any

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import BackendServerId
from chivesaddle.fleet import ServerLoadShare
from chivesaddle.fleet.beacons import server_hash
from chivesaddle.placement import Load, ServerTable, TrackedServer
from chivesaddle.serving.server_activity import ServerActivity

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
    activity : ServerActivity or None
        Finds the servers with requests of this daemon; None walks over all.
    """

    def __init__(
        self,
        clock: Clock,
        servers: ServerTable,
        loading: Callable[[], Iterable[BackendServerId]],
        activity: ServerActivity | None = None,
    ) -> None:
        self._clock = clock
        self._servers = servers
        self._loading_servers = loading
        self._activity = activity or ServerActivity(servers)
        self._ids_by_hash: dict[int, list[BackendServerId]] = {}
        self._ids_version = -1
        # Hashes of the servers on which each peer has load.
        self._loaded_by_peer: dict[str, set[int]] = {}

    def collect(self) -> tuple[list[ServerLoadShare], list[int]]:
        """Return this daemon's load shares, and hashes of servers loading weights."""
        shares = []
        now = self._clock.seconds()
        for tracked in self._activity.with_requests():
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
        for hashed_id in set(loading):
            for server in self._find(hashed_id):
                self._servers.record_busy(server.entry.id)
        shares_by_server = {share.server: share for share in shares}
        previous = self._loaded_by_peer.get(peer, set())
        self._loaded_by_peer[peer] = set(shares_by_server)
        for hashed_id in previous - shares_by_server.keys():
            for server in self._find(hashed_id):
                server.peer_loads.pop(peer)
        for hashed_id, share in shares_by_server.items():
            load = Load(share.requests, share.unread_tokens, share.memory_tokens)
            for server in self._find(hashed_id):
                server.peer_loads[peer] = (load, expires_at)

    def _find(self, hashed_id: int) -> list[TrackedServer]:
        """Return the listed servers whose id has the hash, normally one or none."""
        if self._ids_version != self._servers.version:
            self._ids_version = self._servers.version
            self._ids_by_hash.clear()
            for tracked in self._servers.all():
                id = tracked.entry.id
                self._ids_by_hash.setdefault(server_hash(id), []).append(id)
        found = [self._servers.get(id) for id in self._ids_by_hash.get(hashed_id, ())]
        return [server for server in found if server is not None]


__all__ = ["LeavingHints", "LoadHints", "ServerLoadShares"]
