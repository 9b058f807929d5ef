"""Whether this daemon watches the platform's store or gets changes from its peers."""

from collections.abc import Callable

import xxhash
from twisted.internet.defer import Deferred

from chivesaddle.core.aio import Clock, DelayedCall
from chivesaddle.fleet.members import Members
from chivesaddle.fleet.tick_grid import TickGrid
from chivesaddle.fleet.working_set import WorkingSet

# Working daemons report each second whether they reach the store. Without such a
# report for this long, other daemons start to watch it.
REPORT_TIMEOUT_S = 3.0
# Daemons that do so. The store may refuse some of them as well.
MAX_STAND_INS = 10
# Interval at which a daemon that does not watch checks whether it has to.
ROLE_CHECK_INTERVAL_S = 0.25


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


class RoleWait:
    """Waits until this daemon has to watch the store.

    All watchers of a daemon share one, so that a daemon that does not watch has one
    periodic timer instead of one for each kind of objects.

    Parameters
    ----------
    clock : Clock
        Clock of the checks.
    may_watch : callable
        Returns whether this daemon watches the store.
    grid : TickGrid or None
        Times of the checks; None for one of its own.
    """

    def __init__(
        self,
        clock: Clock,
        may_watch: Callable[[], bool],
        grid: TickGrid | None = None,
    ) -> None:
        self._clock = clock
        self._grid = grid or TickGrid(clock)
        self._may_watch = may_watch
        self._waiting: list[Deferred[None]] = []
        self._check_call: DelayedCall | None = None

    def may_watch(self) -> bool:
        """Return whether this daemon should watch the store now."""
        return self._may_watch()

    def wait(self) -> "Deferred[None]":
        """Return a Deferred that fires once this daemon may watch."""
        waiting: Deferred[None] = Deferred(self._cancel)
        self._waiting.append(waiting)
        if self._check_call is None:
            self._schedule_check()
        return waiting

    def _schedule_check(self) -> None:
        delay_s = self._grid.delay_s(ROLE_CHECK_INTERVAL_S)
        self._check_call = self._clock.callLater(delay_s, self._check)

    def _check(self) -> None:
        self._check_call = None
        if not self._may_watch():
            self._schedule_check()
            return
        waiting, self._waiting = self._waiting, []
        for deferred in waiting:
            # One that was granted the role may have stopped the others.
            if not deferred.called:
                deferred.callback(None)

    def _cancel(self, cancelled: "Deferred[None]") -> None:
        self._waiting = [w for w in self._waiting if w is not cancelled]
        if not self._waiting and self._check_call is not None:
            self._check_call.cancel()
            self._check_call = None


__all__ = ["RoleWait", "WatchRole"]
