"""Records of other holders: their result, and when they count as abandoned."""

import contextlib
from collections import OrderedDict

from chivesaddle.actions.record import ActionState, Step
from chivesaddle.actions.results import ActionResult
from chivesaddle.actions.store import RecordStore, StoredRecord
from chivesaddle.core.aio import Clock
from chivesaddle.core.objects import PlatformUnavailable, WriteOutcomeUnknown

# A running holder needs milliseconds from creating the record to updating it.
REPLACE_PREPARED_AFTER_S = 5.0
# Longer than SEND_WINDOW_S plus CONNECT_WITHIN_S, so that an action in doubt can no
# longer be sent.
SENDING_IN_DOUBT_AFTER_S = 15.0

MAX_TRACKED_RECORDS = 10_000


class VersionAges:
    """Measures on this daemon's clock how long a record has had its version.

    If an entry is evicted at capacity, the age of its record restarts at zero, which
    only delays the decision on that record.

    Examples
    --------
    >>> ages = VersionAges()
    >>> ages.age_s("a", version=7, now=10.0), ages.age_s("a", version=7, now=12.0)
    (0.0, 2.0)
    >>> ages.age_s("a", version=8, now=13.0)
    0.0
    """

    def __init__(self) -> None:
        self._version_and_time_by_name: OrderedDict[str, tuple[int, float]] = (
            OrderedDict()
        )

    def age_s(self, name: str, version: int, now: float) -> float:
        """Return the seconds since this version of ``name`` was first seen."""
        seen_version, first_seen = self._version_and_time_by_name.get(name, (-1, now))
        if seen_version != version:
            first_seen = now
        self._version_and_time_by_name[name] = (version, first_seen)
        self._version_and_time_by_name.move_to_end(name)
        if len(self._version_and_time_by_name) > MAX_TRACKED_RECORDS:
            self._version_and_time_by_name.popitem(last=False)
        return now - first_seen

    def drop(self, name: str) -> None:
        """Drop the entry of a record; its age is no longer needed."""
        self._version_and_time_by_name.pop(name, None)


class Observer:
    """Derives results from records of other holders; marks stale ones in doubt."""

    def __init__(self, store: RecordStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._version_ages = VersionAges()

    async def observe(self, name: str, current: StoredRecord) -> ActionResult | None:
        """Return the result that a record gives; None if a new attempt may start.

        Raises
        ------
        VersionConflict
            If the record changed in the meantime.
        """
        record = current.record
        now = self._clock.seconds()
        match record.state:
            case ActionState.DONE | ActionState.IN_DOUBT:
                self._version_ages.drop(name)
                return ActionResult.from_record(record)
            case ActionState.NOT_RUN:
                self._version_ages.drop(name)
                return None
            case ActionState.PREPARED:
                age = self._version_ages.age_s(name, current.version, now)
                if age >= REPLACE_PREPARED_AFTER_S:
                    return None
                retry_after_s = REPLACE_PREPARED_AFTER_S - age
                return ActionResult.in_progress(record, retry_after_s)
        age = self._version_ages.age_s(name, current.version, now)
        if age < SENDING_IN_DOUBT_AFTER_S:
            retry_after_s = SENDING_IN_DOUBT_AFTER_S - age
            return ActionResult.in_progress(record, retry_after_s)
        with contextlib.suppress(PlatformUnavailable, WriteOutcomeUnknown):
            await self._store.write(name, record.after(Step.DOUBT), current.version)
        return ActionResult.in_doubt(record.attempt)


__all__ = ["Observer", "VersionAges"]
