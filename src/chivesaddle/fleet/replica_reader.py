"""Brings a replica up to date with the platform's store when that is asked for.

A watch that waits proves nothing about the time since its last answer, and neither do
peers, whose watches may be behind. A read that begins after a question was asked
contains every change that anybody knew of when it was asked.
"""

from collections.abc import Callable
from typing import Protocol

from twisted.internet.defer import Deferred

from chivesaddle.core.aio import Clock, DelayedCall, log_failure, start, with_deadline
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.objects import (
    ObjectChanges,
    ObjectList,
    ObjectNotFound,
    RevisionCompacted,
)
from chivesaddle.fleet.replica import Replica

# Reads of all daemons together; the store of a small fleet accepts 2,000 a second.
MAX_FLEET_READS_PER_S = 400.0
READ_TIMEOUT_S = 0.3

log = ComponentLogger("replica")


class ReadableApi(Protocol):
    """What is read from the platform's store."""

    async def read_changes(
        self, kind: str, *, after: int, deadline: float
    ) -> ObjectChanges:
        """Read the changes after a revision; raises `RevisionCompacted`."""

    async def list_objects(
        self, kind: str, *, prefix: str = "", deadline: float
    ) -> ObjectList:
        """Read all objects of a kind."""


class ReplicaReader:
    """Reads what a replica lacks; questions that wait at the same time share a read.

    Parameters
    ----------
    api : ReadableApi
        The platform's store.
    clock : Clock
        Clock of deadlines and intervals.
    replica : Replica
        Replica to update.
    readers : callable
        Returns the number of daemons that may read at the same time.
    """

    def __init__(
        self,
        api: ReadableApi,
        clock: Clock,
        replica: Replica,
        readers: Callable[[], int],
    ) -> None:
        self._api = api
        self._clock = clock
        self._replica = replica
        self._readers = readers
        self._waiters: list[Deferred[bool]] = []
        self._timer: DelayedCall | None = None
        self._reading: Deferred[None] | None = None
        self._next_read_at = 0.0

    def read(self) -> "Deferred[bool]":
        """Return whether a read that begins from now on has succeeded."""
        waiter: Deferred[bool] = Deferred()
        self._waiters.append(waiter)
        self._read_soon()
        return waiter

    def stop(self) -> None:
        """Begin no more reads, and end the current one."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._reading is not None:
            self._reading.cancel()

    def _read_soon(self) -> None:
        if self._timer is None and self._reading is None:
            delay_s = max(0.0, self._next_read_at - self._clock.seconds())
            self._timer = self._clock.callLater(delay_s, self._begin)

    def _begin(self) -> None:
        self._timer = None
        interval_s = max(1, self._readers()) / MAX_FLEET_READS_PER_S
        self._next_read_at = self._clock.seconds() + interval_s
        waiters, self._waiters = self._waiters, []
        reading = self._reading = start(self._run(waiters))
        reading.addErrback(log_failure(log, "reading failed"))
        if reading.called:
            self._finish()
        else:
            reading.addBoth(lambda _: self._finish())

    def _finish(self) -> None:
        self._reading = None
        if self._waiters:
            self._read_soon()

    async def _run(self, waiters: list["Deferred[bool]"]) -> None:
        is_read = False
        try:
            deadline = self._clock.seconds() + READ_TIMEOUT_S
            await with_deadline(
                self._clock, deadline, start(self._read(deadline)), "read"
            )
            is_read = True
        except ChivesaddleError as error:
            log.info(
                "not read", extra={"kind": self._replica.kind, "cause": str(error)}
            )
        finally:
            for waiter in waiters:
                if not waiter.called:
                    waiter.callback(is_read)

    async def _read(self, deadline: float) -> None:
        kind, after = self._replica.kind, self._replica.applied_revision
        if after:
            try:
                changes = await self._api.read_changes(
                    kind, after=after, deadline=deadline
                )
                self._replica.apply_changes(changes.revision, changes.changes)
                return
            except (RevisionCompacted, ObjectNotFound):
                # The store has discarded this part of its history.
                pass
        listing = await self._api.list_objects(kind, deadline=deadline)
        self._replica.apply_listing(listing)


__all__ = ["ReplicaReader"]
