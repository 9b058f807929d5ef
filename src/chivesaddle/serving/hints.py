"""Observations that daemons exchange besides documents."""

from typing import Any

from chivesaddle.placement import ServerTable

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


__all__ = ["LoadHints"]
