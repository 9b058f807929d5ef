"""Observations that daemons exchange besides documents."""

from collections.abc import Sequence
from typing import Any

from chivesaddle.core.aio import Clock
from chivesaddle.fleet import ServerShare
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
    """

    def __init__(self, clock: Clock, servers: ServerTable) -> None:
        self._clock = clock
        self._servers = servers

    def collect(self) -> list[ServerShare]:
        """Return this daemon's shares."""
        shares = []
        for tracked in self._servers.all():
            if tracked.in_flight:
                own = tracked.own_load()
                shares.append(
                    ServerShare(
                        server_hash(tracked.entry.id),
                        own.requests,
                        own.unread_tokens,
                        own.memory_tokens,
                    )
                )
        return shares

    def learn(self, peer: str, shares: Sequence[ServerShare], valid_s: float) -> None:
        """Take over a peer's shares; servers it does not name have none."""
        until = self._clock.seconds() + valid_s
        found = {share.server: share for share in shares}
        for tracked in self._servers.all():
            share = found.get(server_hash(tracked.entry.id))
            if share is None:
                tracked.peer_loads.pop(peer, None)
                continue
            load = Load(share.requests, share.unread_tokens, share.memory_tokens)
            tracked.peer_loads[peer] = (load, until)


__all__ = ["LoadHints", "ServerShares"]
