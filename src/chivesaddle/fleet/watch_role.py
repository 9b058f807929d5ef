"""Whether this daemon watches the platform's store or gets changes from its peers."""

import xxhash

from chivesaddle.core.aio import Clock
from chivesaddle.fleet.members import Members
from chivesaddle.fleet.working_set import WorkingSet

# Working daemons report each second whether they reach the store. Without such a
# report for this long, other daemons start to watch it.
REPORT_TIMEOUT_S = 3.0
# Daemons that do so. The store may refuse some of them as well.
MAX_STAND_INS = 10


class WatchRole:
    """Decides whether this daemon watches the store.

    Parameters
    ----------
    clock : Clock
        Clock of the reports' ages.
    members : Members
        The daemons of the fleet.
    working_set : WorkingSet
        The daemons that watch the store.
    """

    def __init__(self, clock: Clock, members: Members, working_set: WorkingSet) -> None:
        self._clock = clock
        self._members = members
        self._working_set = working_set
        self._reported_at = clock.seconds()

    def observe_store(self, peer: str, reaches_store: bool) -> None:
        """Record a working daemon's report."""
        if reaches_store:
            self._reported_at = self._clock.seconds()

    def may_watch(self) -> bool:
        """Return whether this daemon should watch the store now."""
        if self._working_set.includes_own:
            return True
        if self._clock.seconds() - self._reported_at <= REPORT_TIMEOUT_S:
            return False
        working = {member.id for member in self._working_set.daemons()}
        others = [m.id for m in self._members.registered() if m.id not in working]
        others.sort(key=lambda daemon: xxhash.xxh32_intdigest(daemon.encode()))
        return self._members.own.id in others[:MAX_STAND_INS]


__all__ = ["WatchRole"]
