"""What each daemon keeps in the platform's store for after a loss of all daemons.

Every daemon has one object of a kind, named after it. All read the objects of all when
they start. Writes are limited for all daemons together, since the store is.
"""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, ClassVar

from chivesaddle.core.aio import Clock, DelayedCall, log_failure, start
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import DaemonId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.objects import (
    ObjectApi,
    ObjectNotFound,
    StoredObject,
    VersionConflict,
)
from chivesaddle.objects import StoreEra

CALL_TIMEOUT_S = 1.0
# Time after which a failed write is repeated at the earliest.
RETRY_DELAY_S = 0.5
# Interval at which a record is looked at once more, to remove what has ended.
CLEAN_INTERVAL_S = 20.0


@dataclass(frozen=True, slots=True)
class RecordLimits:
    """How often records of one kind are written.

    Attributes
    ----------
    writes_per_s : float
        Writes of all daemons together.
    burst : int
        Writes of one daemon that may follow each other at once.
    is_spread : bool
        Whether daemons that notice the same write at random times, not at once.
    """

    writes_per_s: float
    burst: int
    is_spread: bool


@dataclass(frozen=True, slots=True)
class RecordContents:
    """Contents of one daemon's record.

    Attributes
    ----------
    entries : frozenset
        What is compared to find out whether it changed.
    count : int
        Number of things recorded.
    """

    entries: frozenset[Any]
    count: int


NOTHING = RecordContents(frozenset(), 0)


class DaemonRecord(ABC):
    """Keeps this daemon's object of a kind, and reads those of all daemons.

    Parameters
    ----------
    api : ObjectApi
        The platform's store.
    clock : Clock
        Clock of intervals and deadlines.
    daemon : DaemonId
        This daemon.
    writers : callable
        Returns the number of daemons that may write.
    era : StoreEra or None
        Era of the store, which may lose writes when it rises.
    """

    KIND: ClassVar[str]
    LIMITS: ClassVar[RecordLimits]
    LOG: ClassVar[ComponentLogger]

    def __init__(
        self,
        api: ObjectApi,
        clock: Clock,
        daemon: DaemonId,
        writers: Callable[[], int],
        era: StoreEra | None = None,
    ) -> None:
        self._api = api
        self._clock = clock
        self._daemon = daemon
        self._writers = writers
        self._random = random.Random()
        self._version: int | None = None
        self._recorded = NOTHING
        self._clean_at = 0.0
        self._next_write_at = 0.0
        self._timer: DelayedCall | None = None
        self._is_writing = False
        # Whether another write follows the current one.
        self._is_due = False
        # Before that, a write would replace what is not read yet.
        self._is_loaded = False
        self._is_stopped = False
        if era is not None:
            era.add_listener(self._write_again)

    @abstractmethod
    def _collect(self) -> tuple[Any, RecordContents]:
        """Return the value to record, and its contents."""

    @abstractmethod
    def _apply_value(self, value: Any, is_own: bool) -> RecordContents:
        """Apply a daemon's record; raises `ValueError` if it is malformed."""

    async def load(self) -> None:
        """Read the records of all daemons.

        Raises `ChivesaddleError` if the store does not answer.
        """
        deadline = self._clock.seconds() + CALL_TIMEOUT_S
        try:
            listed = await self._api.list_objects(self.KIND, deadline=deadline)
            stored = list(listed.items_by_name.values())
        except ObjectNotFound:
            stored = []
        count = sum(self._apply(item) for item in stored)
        if stored:
            self.LOG.info(
                f"{self.KIND} read from the store",
                extra={"records": len(stored), self.KIND: count},
            )
        self._is_loaded = True
        self.write_soon()

    def step(self) -> None:
        """Remove what has ended from the record; call about once a second."""
        if self._recorded.entries and self._clock.seconds() >= self._clean_at:
            self.write_soon()

    def stop(self) -> None:
        """Write nothing more."""
        self._is_stopped = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def write_soon(self) -> None:
        """Write the record if it changed, as soon as the limits allow."""
        may_write = self._is_loaded and not self._is_stopped
        if may_write and self._timer is None:
            delay_s = max(0.0, self._next_write_at - self._clock.seconds())
            if self.LIMITS.is_spread:
                delay_s += self._random.uniform(0.0, self._interval_s())
            self._timer = self._clock.callLater(delay_s, self._start_write)

    def _interval_s(self) -> float:
        """Return the time between this daemon's writes."""
        return max(1, self._writers()) / self.LIMITS.writes_per_s

    def _write_again(self) -> None:
        """Write what the store may have lost."""
        self._version, self._recorded = None, NOTHING
        self.write_soon()

    def _apply(self, item: StoredObject) -> int:
        """Apply one daemon's record; return the number of things in it."""
        is_own = item.name == self._daemon
        if is_own:
            self._version = item.version
        try:
            contents = self._apply_value(item.value, is_own)
        except (ValueError, RecursionError) as error:
            self.LOG.warning(
                f"record of {self.KIND} ignored",
                extra={"daemon": item.name, "cause": str(error)},
            )
            return 0
        if is_own:
            self._recorded = contents
        return contents.count

    def _start_write(self) -> None:
        self._timer = None
        if self._is_writing:
            self._is_due = True
            return
        interval_s = self._interval_s()
        oldest = self._clock.seconds() - (self.LIMITS.burst - 1) * interval_s
        self._next_write_at = max(self._next_write_at, oldest) + interval_s
        start(self._write()).addErrback(
            log_failure(self.LOG, f"recording {self.KIND} failed")
        )

    async def _write(self) -> None:
        value, contents = self._collect()
        self._clean_at = self._clock.seconds() + CLEAN_INTERVAL_S
        if contents.entries == self._recorded.entries:
            return
        before = self._recorded
        self._is_writing = True
        try:
            self._version = await self._put(value)
        except ChivesaddleError as error:
            # Another write may have had an effect.
            self._version = None
            self.LOG.info(f"{self.KIND} not recorded", extra={"cause": str(error)})
            self._is_due = False
            delay_s = max(RETRY_DELAY_S, self._interval_s())
            self._next_write_at = self._clock.seconds() + delay_s
            self.write_soon()
            return
        finally:
            self._is_writing = False
            if self._is_due:
                self._is_due = False
                self.write_soon()
        if bool(contents.entries) != bool(before.entries):
            self.LOG.info(
                f"{self.KIND} recorded"
                if contents.entries
                else f"no {self.KIND} recorded any more",
                extra={self.KIND: contents.count},
            )
        if self._recorded is before:
            self._recorded = contents

    async def _put(self, value: Any) -> int:
        """Create or replace the record; return its version."""
        name = self._daemon
        deadline = self._clock.seconds() + CALL_TIMEOUT_S
        if self._version is None:
            try:
                created = await self._api.create(
                    self.KIND, name, value, deadline=deadline
                )
                return created.version
            except VersionConflict:
                stored = await self._api.get(self.KIND, name, deadline=deadline)
                self._version = stored.version
        updated = await self._api.update(
            self.KIND, name, value, version=self._version, deadline=deadline
        )
        return updated.version


__all__ = ["DaemonRecord", "RecordContents", "RecordLimits"]
