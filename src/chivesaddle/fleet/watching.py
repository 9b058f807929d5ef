"""Keeps replicas current by watches on the platform's store."""

import random
from collections.abc import Callable

from twisted.internet.defer import Deferred

from chivesaddle.core.aio import Clock, log_failure, sleep_until, start
from chivesaddle.core.errors import ChivesaddleError, DeadlineExceeded
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.objects import (
    ObjectApi,
    ObjectNotFound,
    PlatformUnavailable,
    RevisionCompacted,
)
from chivesaddle.fleet.replica import Replica

# A watch is one call however long it waits; the store ends it after 30 s at most.
WATCH_S = 15.0
LIST_S = 2.0
# Retries are spread so that all daemons do not return to the store at one moment.
RETRY_FIRST_S = 0.1
RETRY_MOST_S = 1.0
# Pause after changes for each daemon of the fleet, so that changes that come together
# cost one call: the registrations of 80 daemons within 2 s cost each of them at most
# ten calls instead of eighty. The longest pause is a quarter of the 2 s in which a
# change is due.
PAUSE_PER_DAEMON_S = 0.006
PAUSE_MOST_S = 0.5

log = PartLogger("watch")


class StoreContact:
    """Whether this daemon reaches the platform's store, by its watches.

    Attributes
    ----------
    lost_since : float or None
        When the contact was lost, in seconds of the clock.
    regained_at : float
        When the contact last came back.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.lost_since: float | None = clock.seconds()
        self.regained_at = 0.0

    def record_success(self) -> None:
        """Note an answer of the store."""
        if self.lost_since is not None:
            now = self._clock.seconds()
            away_ms = round((now - self.lost_since) * 1_000)
            log.info("store regained", extra={"away_ms": away_ms})
            self.lost_since = None
            self.regained_at = now

    def record_failure(self, error: Exception) -> None:
        """Note a call that failed."""
        if self.lost_since is None:
            self.lost_since = self._clock.seconds()
            log.warning("store lost", extra={"cause": str(error)})


class Watcher:
    """Watches one kind and feeds its replica.

    Parameters
    ----------
    api : ObjectApi
        The platform's store.
    clock : Clock
        Clock of all deadlines.
    replica : Replica
        Copy to keep current.
    contact : StoreContact
        Told of each answer and failure.
    fleet_size : callable
        Returns the number of daemons, all of which watch.
    """

    def __init__(
        self,
        api: ObjectApi,
        clock: Clock,
        replica: Replica,
        contact: StoreContact,
        fleet_size: Callable[[], int],
    ) -> None:
        self._api = api
        self._clock = clock
        self._replica = replica
        self._contact = contact
        self._fleet_size = fleet_size
        self._jitter = random.Random()
        self._loop: Deferred[None] | None = None
        # Revision from which to watch; None asks for a listing first.
        self._at: int | None = None
        self._failures = 0

    def start(self) -> None:
        """Start to watch."""
        self._loop = start(self._run())
        self._loop.addErrback(log_failure(log, f"watch of {self._replica.kind} ended"))

    def stop(self) -> None:
        """Stop watching."""
        if self._loop is not None:
            self._loop.cancel()

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
                self._failures = 0
                self._contact.record_success()
            except (RevisionCompacted, ObjectNotFound) as error:
                log.info(
                    "history gone",
                    extra={"kind": self._replica.kind, "cause": str(error)},
                )
                self._at = None
            except (PlatformUnavailable, DeadlineExceeded) as error:
                self._contact.record_failure(error)
                # Changes made while the store was away may have left its history.
                self._at = None
                await sleep_until(self._clock, self._clock.seconds() + self._pause())
            except ChivesaddleError as error:
                log.error(
                    "watch failed",
                    extra={"kind": self._replica.kind, "cause": str(error)},
                )
                await sleep_until(self._clock, self._clock.seconds() + RETRY_MOST_S)

    async def _step(self) -> None:
        now = self._clock.seconds()
        kind = self._replica.kind
        if self._at is None:
            found = await self._api.list_objects(kind, deadline=now + LIST_S)
            self._replica.apply_list(found)
            self._at = found.revision
            return
        changes = await self._api.wait_for_changes(
            kind, after=self._at, deadline=now + WATCH_S
        )
        self._replica.apply_changes(changes.revision, changes.changes)
        self._at = max(self._at, changes.revision)
        if changes.changes:
            pause_s = min(PAUSE_MOST_S, PAUSE_PER_DAEMON_S * self._fleet_size())
            await sleep_until(self._clock, self._clock.seconds() + pause_s)

    def _pause(self) -> float:
        self._failures += 1
        longest = min(RETRY_MOST_S, RETRY_FIRST_S * 2 ** min(self._failures, 10))
        return longest * self._jitter.uniform(0.5, 1.0)


__all__ = ["StoreContact", "Watcher"]
