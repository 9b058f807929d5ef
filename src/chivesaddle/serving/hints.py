"""Observations that daemons exchange besides documents."""

from collections.abc import Callable, Iterable, Sequence
from typing import Any

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import BackendServerId
from chivesaddle.fleet import ServerLoadShare
from chivesaddle.fleet.beacons import server_hash
from chivesaddle.placement import Load, ServerTable

# Older load reports say nothing that the receiver could use.
LOAD_MAX_AGE_S = 1.5


class LoadHints:
    """Load reports of servers.

    Parameters
    ----------
    servers : ServerTable
        Where reports are read and kept.
    """

    def __init__(self, servers: ServerTable) -> None:
        self._servers = servers

    def collect(self) -> Any:
        """Return fresh reports."""
        return self._servers.loads(LOAD_MAX_AGE_S)

    def learn(self, hint: Any) -> None:
        """Take over a peer's reports."""
        self._servers.learn_loads(hint)


class ServerShares:
    """What this daemon and its peers have under way at each server.

    Parameters
    ----------
    clock : Clock
        Clock on which peers' figures expire.
    servers : ServerTable
        Where they are read and kept.
    loading : callable
        Returns the servers that load weights by this daemon's order.
    """

    def __init__(
        self,
        clock: Clock,
        servers: ServerTable,
        loading: Callable[[], Iterable[BackendServerId]],
    ) -> None:
        self._clock = clock
        self._servers = servers
        self._loading = loading

    def collect(self) -> tuple[list[ServerLoadShare], list[int]]:
        """Return this daemon's shares, and the servers that it has load weights."""
        shares = []
        for tracked in self._servers.all():
            if tracked.in_flight:
                own = tracked.own_load()
                shares.append(
                    ServerLoadShare(
                        server_hash(tracked.entry.id),
                        own.requests,
                        own.unread_tokens,
                        own.memory_tokens,
                    )
                )
        loading = list(self._loading())
        for server in loading:
            self._servers.record_busy(server)
        return shares, sorted(server_hash(server) for server in loading)

    def learn(
        self,
        peer: str,
        shares: Sequence[ServerLoadShare],
        loading: Sequence[int],
        valid_s: float,
    ) -> None:
        """Take over a peer's shares; servers it does not name have none."""
        until = self._clock.seconds() + valid_s
        found = {share.server: share for share in shares}
        for tracked in self._servers.all():
            name = server_hash(tracked.entry.id)
            if name in loading:
                self._servers.record_busy(tracked.entry.id)
            share = found.get(name)
            if share is None:
                tracked.peer_loads.pop(peer, None)
                continue
            load = Load(share.requests, share.unread_tokens, share.memory_tokens)
            tracked.peer_loads[peer] = (load, until)


__all__ = ["LoadHints", "ServerShares"]
