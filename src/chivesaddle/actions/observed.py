"""Records of other holders: what they tell and when they may be taken over."""

import contextlib
from collections import OrderedDict

from chivesaddle.actions.record import ActionState, Step
from chivesaddle.actions.results import ActionResult
from chivesaddle.actions.store import RecordStore, StoredRecord
from chivesaddle.core.aio import Clock
from chivesaddle.core.objects import PlatformUnavailable, WriteOutcomeUnknown

# A holder that is alive gets from the create to the update in milliseconds.
REPLACE_PREPARED_AFTER_S = 5.0
# Longer than SEND_WITHIN_S plus CONNECT_WITHIN_S, so that an action in doubt is not
# about to be sent.
DOUBT_SENDING_AFTER_S = 15.0

MAX_OBSERVED = 10_000


class FirstSeen:
    """Measures on the own clock how long a version has been in place.

    Forgetting an entry beyond the capacity only restarts its measurement.

    Examples
    --------
    >>> seen = FirstSeen()
    >>> seen.age_s("a", version=7, now=10.0), seen.age_s("a", version=7, now=12.0)
    (0.0, 2.0)
    >>> seen.age_s("a", version=8, now=13.0)
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
        if len(self._version_and_time_by_name) > MAX_OBSERVED:
            self._version_and_time_by_name.popitem(last=False)
        return now - first_seen

    def forget(self, name: str) -> None:
        """Drop the entry of a record that is settled."""
        self._version_and_time_by_name.pop(name, None)


class Observer:
    """Answers from records of other holders and puts abandoned ones in doubt."""

    def __init__(self, records: RecordStore, clock: Clock) -> None:
        self._records = records
        self._clock = clock
        self._seen = FirstSeen()

    async def observe(self, name: str, current: StoredRecord) -> ActionResult | None:
        """Return the answer that a record gives; None if a new attempt may start.

        Raises
        ------
        VersionConflict
            If the record changed meanwhile.
        """
        record = current.record
        now = self._clock.seconds()
        match record.state:
            case ActionState.DONE | ActionState.IN_DOUBT:
                self._seen.forget(name)
                return ActionResult.from_record(record)
            case ActionState.NOT_RUN:
                self._seen.forget(name)
                return None
            case ActionState.PREPARED:
                age = self._seen.age_s(name, current.version, now)
                if age >= REPLACE_PREPARED_AFTER_S:
                    return None
                wait = REPLACE_PREPARED_AFTER_S - age
                return ActionResult.in_progress(record, wait)
        age = self._seen.age_s(name, current.version, now)
        if age < DOUBT_SENDING_AFTER_S:
            wait = DOUBT_SENDING_AFTER_S - age
            return ActionResult.in_progress(record, wait)
        with contextlib.suppress(PlatformUnavailable, WriteOutcomeUnknown):
            await self._records.write(name, record.after(Step.DOUBT), current.version)
        return ActionResult.in_doubt(record.attempt)


__all__ = ["FirstSeen", "Observer"]
