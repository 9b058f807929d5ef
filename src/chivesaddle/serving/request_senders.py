"""Which other daemons may send requests to backend servers."""

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import DaemonId
from chivesaddle.fleet import Members, WorkingSet

# A daemon that left the working set of this daemon's view may still be in that of
# another one: after a cut, both sides choose a set.
LEFT_SET_S = 30.0
# The list is derived again after this time.
REFRESH_INTERVAL_S = 0.2


class RequestSenders:
    """The daemons that may send requests, whether this daemon hears them or not.

    A daemon that is not heard may have stopped, or be on the other side of a cut, where
    it takes callers. Only one that said that it leaves, or whose registration has
    ended, is left out.

    Parameters
    ----------
    clock : Clock
        Clock of all times.
    members : Members
        Registered daemons.
    working_set : WorkingSet
        The daemons that take callers.
    """

    def __init__(self, clock: Clock, members: Members, working_set: WorkingSet) -> None:
        self._clock = clock
        self._members = members
        self._working_set = working_set
        self._working_at: dict[str, float] = {}
        self._peers: list[DaemonId] = []
        self._refresh_at = 0.0

    def peers(self) -> list[DaemonId]:
        """Return the ids of the other daemons."""
        now = self._clock.seconds()
        if now >= self._refresh_at:
            self._refresh_at = now + REFRESH_INTERVAL_S
            self._peers = self._find_peers(now)
        return self._peers

    def _find_peers(self, now: float) -> list[DaemonId]:
        peers = [member.id for member in self._members.peers()]
        if not self._working_set.is_whole_fleet:
            for member in self._working_set.peers():
                self._working_at[member.id] = now
            oldest = now - LEFT_SET_S
            self._working_at = {
                d: at for d, at in self._working_at.items() if at > oldest
            }
            peers = [peer for peer in peers if peer in self._working_at]
        return [DaemonId(peer) for peer in peers if not self._members.has_left(peer)]


__all__ = ["RequestSenders"]
