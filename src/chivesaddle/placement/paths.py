"""Whether this daemon can open connections to a server.

The path is part of what a daemon knows of a server, and says nothing about the server
itself: other daemons may reach it.
"""

import math
from dataclasses import dataclass

# A path that was regained less than this time ago is unstable if it is lost again.
STABLE_AFTER_S = 10.0
# Connections in a row that must be opened before an unstable path is used again.
UNSTABLE_CONNECTIONS = 3


@dataclass(slots=True)
class ServerPath:
    """The state of one path; times are of the daemon's clock.

    Attributes
    ----------
    lost_at : float or None
        When the path was lost, None while it is usable.
    awaits_bytes : bool
        Whether connections still open on the lost path, so that only bytes show that it
        is usable again.
    connected_at, failed_at : float
        When a connection was last opened, and when it last could not be opened.
    up_since, up_until : float
        Time in which the server did not restart: connections were open all the time.
    """

    lost_at: float | None = None
    awaits_bytes: bool = False
    connected_at: float = -math.inf
    failed_at: float = -math.inf
    up_since: float = math.inf
    up_until: float = -math.inf
    _regained_at: float = -math.inf
    _connections_needed: int = 1

    def record_bytes(self, connected_at: float, now: float) -> None:
        """Record bytes of the server on a connection that was opened before.

        Of two connections that were open at the same moment, both ends are the same
        process.
        """
        if connected_at > now:
            return
        has_gap = connected_at > self.up_until
        if has_gap or connected_at < self.up_since:
            self.up_since = connected_at
        self.up_until = now

    def was_up_at(self, at: float) -> bool:
        """Return whether the server that ran at a time is known to have gone on."""
        return self.up_since < at < self.up_until

    def record_connected(self, now: float) -> bool:
        """Record that a connection was opened; return whether the path is regained."""
        self.connected_at = now
        if self.lost_at is None or self.awaits_bytes:
            return False
        self._connections_needed -= 1
        if self._connections_needed > 0:
            return False
        self.lost_at, self._regained_at = None, now
        return True

    def record_silence(self, now: float) -> bool:
        """Record that no byte arrives; return whether the path is lost now."""
        if self.lost_at is not None:
            return False
        self.lost_at, self.awaits_bytes = now, True
        return True

    def record_answer(self, now: float) -> bool:
        """Record bytes after a silence; return whether the path is regained."""
        if not self.awaits_bytes:
            return False
        self.lost_at, self.awaits_bytes, self._regained_at = None, False, now
        return True

    def record_failure(self, now: float) -> bool:
        """Record that no connection could be opened; return whether it is lost now."""
        self.failed_at = now
        is_unstable = now - self._regained_at < STABLE_AFTER_S
        if self.lost_at is None:
            self._connections_needed = UNSTABLE_CONNECTIONS if is_unstable else 1
            self.lost_at = now
            return True
        if self._connections_needed > 0 and is_unstable:
            self._connections_needed = UNSTABLE_CONNECTIONS
        return False


__all__ = ["ServerPath"]
