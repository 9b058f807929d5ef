"""Updates replicas through watches on the platform's store."""

import math
import random
from collections.abc import Callable

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from chivesaddle.core.aio import Clock, log_failure, sleep_until, start
from chivesaddle.core.errors import ChivesaddleError, DeadlineExceeded
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.objects import (
    ObjectApi,
    ObjectChanges,
    ObjectNotFound,
    PlatformUnavailable,
    RevisionCompacted,
)
from chivesaddle.fleet.replica import Replica
from chivesaddle.fleet.watch_role import RoleWait

# A watch is a single long-polling call, whatever its duration. If its response is lost,
# it hides all changes until its deadline. Operators count a daemon from 3 s after a
# disturbance on, and allow 2 s for the end of a server.
WATCH_TIMEOUT_S = 5.0
# Watches of a daemon without callers, which gets changes from peers as well. The store
# ends a watch after 30 s, and its response takes another moment.
IDLE_WATCH_TIMEOUT_S = 31.0
# A watch that shows whether the store answers this daemon. Peers rely on it, and an
# open connection that the store will never answer on is noticed by nothing else.
PROOF_TIMEOUT_S = 3.0
# Where more daemons than this watch, each may wait for longer: their watches end at
# different times, and the first that ends tells the others. That bounds the calls.
FREQUENT_WATCHERS = 6
MAX_WATCH_FACTOR = 2.0
LIST_TIMEOUT_S = 2.0
# Retry delays are randomized so that daemons do not call the store all at once when it
# recovers.
RETRY_BASE_S = 0.1
RETRY_MAX_S = 1.0
# Daemons without callers are the larger part of a fleet whose store is away.
IDLE_RETRY_S = 4.0
# Least share of the timeout after a listing. Daemons list at the same time when they
# start or the store recovers; if their watches then ended together, and the store
# stopped answering them, all daemons would miss changes until that time.
MIN_FIRST_WAIT_SHARE = 0.1
# Failures that repeat are logged once in this time.
FAILURE_LOG_INTERVAL_S = 30.0
# Delay before the next watch after a change, per daemon of the fleet, so that one call
# returns several changes: when 80 daemons register within 2 s, each of them makes at
# most 10 calls instead of 80. The maximum is a quarter of the 2 s within which a change
# must reach every daemon.
CHANGE_DELAY_PER_DAEMON_S = 0.006
MAX_CHANGE_DELAY_S = 0.5

log = ComponentLogger("watch")


class StoreReachability:
    """Whether this daemon reaches the platform's store, derived from its watches.

    Attributes
    ----------
    unreachable_since : float or None
        When calls began to fail, in seconds on the clock; None while the store is
        reachable.
    reachable_since : float
        When the store last became reachable again, in seconds on the clock.
    last_success_at : float
        When the store last answered a call, in seconds on the clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.unreachable_since: float | None = clock.seconds()
        self.reachable_since = 0.0
        self.last_success_at = -math.inf
        self._failed_at: float | None = None
        self._listeners: list[Callable[[float], None]] = []

    def add_listener(self, listener: Callable[[float], None]) -> None:
        """Call ``listener(failed_at)`` when a new call succeeds after one failed."""
        self._listeners.append(listener)

    def record_success(self, began_at: float) -> None:
        """Record that the store answered a call that began at ``began_at``."""
        self.last_success_at = self._clock.seconds()
        failed_at = self._failed_at
        # An open connection may still be served while new calls are turned away.
        if failed_at is not None and began_at >= failed_at:
            self._failed_at = None
            for listener in self._listeners:
                listener(failed_at)
        if self.unreachable_since is not None:
            now = self._clock.seconds()
            away_ms = round((now - self.unreachable_since) * 1_000)
            log.info("store regained", extra={"away_ms": away_ms})
            self.unreachable_since = None
            self.reachable_since = now

    def answered_within(self, seconds: float) -> bool:
        """Return whether the store answered a call in the last ``seconds``.

        That no call failed shows nothing: calls of a watch wait for seconds.
        """
        if self.unreachable_since is not None:
            return False
        return self._clock.seconds() - self.last_success_at <= seconds

    def record_failure(self, error: Exception) -> None:
        """Record that a call failed."""
        self._failed_at = self._clock.seconds()
        if self.unreachable_since is None:
            self.unreachable_since = self._clock.seconds()
            # JSON has no infinity, which stands for a store that never answered.
            silent_s = self._clock.seconds() - self.last_success_at
            log.warning(
                "store lost",
                extra={
                    "cause": str(error),
                    "silent_ms": None
                    if math.isinf(silent_s)
                    else round(silent_s * 1e3),
                },
            )


class Watcher:
    """Lists and watches one kind, and applies the results to its replica.

    Parameters
    ----------
    api : ObjectApi
        The platform's store.
    clock : Clock
        Clock of all deadlines.
    replica : Replica
        Replica to update.
    reachability : StoreReachability
        Records whether each call was answered.
    fleet_size : callable
        Returns the number of daemons, whose registrations may all change at once.
    role : RoleWait or None
        Whether this daemon has to watch the store; None if it always has to.
    is_for_all : bool
        Whether the kind is watched without the role too. Otherwise a daemon without the
        role only lists the kind once, and peers send it the changes.
    is_proof : bool
        Whether watches of this kind are short while this daemon has the role, so that
        they show whether it reaches the store.
    watchers : callable
        Returns the number of daemons that have to watch the store.
    """

    def __init__(
        self,
        api: ObjectApi,
        clock: Clock,
        replica: Replica,
        reachability: StoreReachability,
        fleet_size: Callable[[], int],
        role: RoleWait | None = None,
        *,
        is_for_all: bool = False,
        is_proof: bool = False,
        watchers: Callable[[], int] = lambda: 1,
    ) -> None:
        self._api = api
        self._clock = clock
        self._replica = replica
        self._reachability = reachability
        self._fleet_size = fleet_size
        self._watchers = watchers
        self._role = role
        self._is_for_all = is_for_all
        self._is_proof = is_proof
        self._jitter = random.Random()
        self._loop: Deferred[None] | None = None
        # Revision after which to watch; None if a listing is needed first.
        self._watch_after: int | None = None
        # Whether the kind was listed again without a watch that succeeded since.
        self._is_relisted = False
        self._call: Deferred[None] | None = None
        self._called_at = -math.inf
        self._is_first_watch = True
        self._is_call_repeated = False
        reachability.add_listener(self.repeat_call)
        self._failures = 0
        self._failure_logged_at = -math.inf
        self._unlogged_failures = 0

    @property
    def kind(self) -> str:
        """Kind of the objects that are watched."""
        return self._replica.kind

    def start(self) -> None:
        """Start watching."""
        self._loop = start(self._run())
        self._loop.addErrback(log_failure(log, f"watch of {self._replica.kind} ended"))

    def stop(self) -> None:
        """Stop watching."""
        if self._loop is not None:
            self._loop.cancel()

    async def _run(self) -> None:
        while True:
            role = self._role
            if (
                role is not None
                and not self._is_for_all
                and self._replica.applied_revision
                and not role.may_watch()
            ):
                await self._wait_for(role)
            try:
                self._called_at = self._clock.seconds()
                self._is_call_repeated = False
                self._call = start(self._list_or_watch())
                await self._call
                self._reachability.record_success(self._called_at)
            except (PlatformUnavailable, DeadlineExceeded) as error:
                self._reachability.record_failure(error)
                await self._wait_before_retry()
            except (RevisionCompacted, ObjectNotFound) as error:
                # The revision is no longer in the store. A listing that fails in this
                # way, or that no watch can follow, must not be repeated at once.
                may_list_at_once = (
                    self._watch_after is not None and not self._is_relisted
                )
                self._is_relisted = True
                self._log_failure(error)
                if may_list_at_once:
                    self._watch_after = None
                else:
                    await self._wait_before_retry()
            except CancelledError:
                if not self._is_call_repeated:
                    raise
            except Exception as error:
                # Whatever an object of another writer led to, the watch goes on, with
                # growing pauses until one succeeds.
                self._is_relisted = True
                self._log_failure(error)
                await self._wait_before_retry()

    def repeat_call(self, began_before: float) -> None:
        """Make a call again that began before a time and is not answered.

        Its response may have been lost, so that it would wait until its deadline.
        """
        call = self._call
        if call is None or call.called or self._called_at >= began_before:
            return
        log.info(
            "call repeated",
            extra={
                "kind": self._replica.kind,
                "age_ms": round((self._clock.seconds() - self._called_at) * 1_000),
            },
        )
        self._is_call_repeated = True
        call.cancel()

    async def _wait_before_retry(self) -> None:
        # The store may have compacted changes made in the meantime.
        self._watch_after = None
        await sleep_until(self._clock, self._clock.seconds() + self._next_backoff_s())

    def _log_failure(self, error: Exception) -> None:
        self._unlogged_failures += 1
        now = self._clock.seconds()
        if now - self._failure_logged_at < FAILURE_LOG_INTERVAL_S:
            return
        log.warning(
            "watch failed; listing again",
            extra={
                "kind": self._replica.kind,
                "cause": str(error) or repr(error),
                "failures": self._unlogged_failures,
            },
            exc_info=None if isinstance(error, ChivesaddleError) else error,
        )
        self._failure_logged_at = now
        self._unlogged_failures = 0

    async def _wait_for(self, role: RoleWait) -> None:
        while not role.may_watch():
            await role.wait()
        # Peers sent the changes since the last call, if not all of them: continue from
        # where the replica is complete.
        self._watch_after = self._replica.applied_revision or None

    async def _list_or_watch(self) -> None:
        now = self._clock.seconds()
        kind = self._replica.kind
        if self._watch_after is None:
            listing = await self._api.list_objects(kind, deadline=now + LIST_TIMEOUT_S)
            self._replica.apply_listing(listing)
            self._watch_after = listing.revision
            self._is_first_watch = True
            if not self._is_relisted:
                self._failures = 0
            return
        changes = await self._watch(kind, self._watch_after)
        self._replica.apply_changes(changes.revision, changes.changes)
        self._watch_after = max(self._watch_after, changes.revision)
        self._is_relisted = False
        self._failures = 0
        if changes.changes:
            delay_s = min(
                MAX_CHANGE_DELAY_S, CHANGE_DELAY_PER_DAEMON_S * self._fleet_size()
            )
            await sleep_until(self._clock, self._clock.seconds() + delay_s)

    async def _watch(self, kind: str, after: int) -> ObjectChanges:
        """Wait for changes; a daemon that gets the role then begins a shorter watch."""
        share = 1.0
        if self._is_first_watch:
            share = self._jitter.uniform(MIN_FIRST_WAIT_SHARE, 1.0)
            self._is_first_watch = False
        gained: Deferred[None] | None = None
        if self._role is not None and not self._has_role():
            timeout_s = IDLE_WATCH_TIMEOUT_S * share
            gained = self._role.wait()
            gained.addCallbacks(lambda _: self.repeat_call(math.inf), _ignore_cancelled)
        elif self._is_proof:
            timeout_s = PROOF_TIMEOUT_S * self._watch_factor()
        else:
            timeout_s = WATCH_TIMEOUT_S * self._watch_factor() * share
        try:
            return await self._api.wait_for_changes(
                kind, after=after, deadline=self._clock.seconds() + timeout_s
            )
        finally:
            if gained is not None:
                gained.cancel()

    def _watch_factor(self) -> float:
        factor = self._watchers() / FREQUENT_WATCHERS
        return min(MAX_WATCH_FACTOR, max(1.0, factor))

    def _has_role(self) -> bool:
        return self._role is None or self._role.may_watch()

    def _next_backoff_s(self) -> float:
        self._failures += 1
        max_backoff_s = min(RETRY_MAX_S, RETRY_BASE_S * 2 ** min(self._failures, 10))
        if self._replica.applied_revision and not self._has_role():
            max_backoff_s = IDLE_RETRY_S
        return max_backoff_s * self._jitter.uniform(0.5, 1.0)


def _ignore_cancelled(failure: Failure) -> None:
    failure.trap(CancelledError)


__all__ = ["StoreReachability", "Watcher"]
