"""Whether this daemon watches the platform's store or gets changes from its peers."""

from collections.abc import Callable

import xxhash
from twisted.internet.defer import Deferred

from chivesaddle.core.aio import Clock, DelayedCall
from chivesaddle.fleet.members import Members
from chivesaddle.fleet.tick_grid import TickGrid
from chivesaddle.fleet.working_set import WorkingSet

# Working daemons report each second whether they reach the store. If the last report of
# each of them says no, or is older than this, other daemons start to watch it.
REPORT_TIMEOUT_S = 3.0
# Daemons that do so at once. The store may refuse all of them as well, so others that
# it answers join them: their number doubles each time that this interval passes.
FIRST_STAND_INS = 10
STAND_IN_INTERVAL_S = 5.0
MAX_DOUBLINGS = 10
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
    reaches_store : callable
        Returns whether the store answers this daemon.
    """

    def __init__(
        self,
        clock: Clock,
        members: Members,
        working_set: WorkingSet,
        reaches_store: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._members = members
        self._working_set = working_set
        self._reaches_store = reaches_store
        # When each working daemon last reported that it reaches the store, unless its
        # last report says the contrary.
        self._reported_at_by_peer: dict[str, float] = {}
        # Until when a working daemon was known to reach the store. None has reported to
        # a daemon that has just started.
        self._reached_until = clock.seconds() + REPORT_TIMEOUT_S

    def observe_store(self, peer: str, reaches_store: bool) -> None:
        """Record a working daemon's report."""
        now = self._clock.seconds()
        if reaches_store:
            self._reported_at_by_peer[peer] = now
        elif peer in self._reported_at_by_peer:
            self._forget_report(peer, now)

    def may_watch(self) -> bool:
        """Return whether this daemon should watch the store now."""
        if self._working_set.includes_own:
            return True
        now = self._clock.seconds()
        for peer, reported_at in list(self._reported_at_by_peer.items()):
            if now - reported_at > REPORT_TIMEOUT_S:
                self._forget_report(peer, now)
        if self._reported_at_by_peer or now <= self._reached_until:
            return False
        working = {member.id for member in self._working_set.daemons()}
        others = [m.id for m in self._members.registered() if m.id not in working]
        others.sort(key=lambda daemon: xxhash.xxh32_intdigest(daemon.encode()))
        if self._members.own.id in others[:FIRST_STAND_INS]:
            return True
        doublings = int((now - self._reached_until) / STAND_IN_INTERVAL_S)
        count = FIRST_STAND_INS * 2 ** min(MAX_DOUBLINGS, doublings)
        return self._members.own.id in others[:count] and self._reaches_store()

    def _forget_report(self, peer: str, now: float) -> None:
        reported_at = self._reported_at_by_peer.pop(peer)
        reached_until = min(now, reported_at + REPORT_TIMEOUT_S)
        self._reached_until = max(self._reached_until, reached_until)


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
