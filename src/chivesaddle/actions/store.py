"""Reads and conditional writes of records, each with a deadline."""

from dataclasses import dataclass

from chivesaddle.actions.record import KIND, ActionRecord
from chivesaddle.core.aio import Clock, with_deadline
from chivesaddle.core.errors import DeadlineExceeded
from chivesaddle.core.objects import (
    ObjectApi,
    ObjectNotFound,
    PlatformUnavailable,
    StoredObject,
    VersionConflict,
    WriteOutcomeUnknown,
)

# The platform responds in milliseconds; a call that takes this long counts as failed.
CALL_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class StoredRecord:
    """A record and the version of its last write."""

    record: ActionRecord
    version: int


class RecordStore:
    """Stores action records in the object API."""

    def __init__(self, api: ObjectApi, clock: Clock) -> None:
        self._api = api
        self._clock = clock

    async def read(self, name: str) -> StoredRecord | None:
        """Return a record, or None if it does not exist.

        Raises
        ------
        PlatformUnavailable
            If no response arrived in time.
        """
        deadline = self._clock.seconds() + CALL_TIMEOUT_S
        call = self._api.get(KIND, name, deadline=deadline)
        try:
            return _stored(
                await with_deadline(self._clock, deadline, call, "read of an action")
            )
        except ObjectNotFound:
            return None
        except DeadlineExceeded as error:
            raise PlatformUnavailable(error.message) from None

    async def write(
        self, name: str, record: ActionRecord, version: int | None
    ) -> StoredRecord:
        """Create a record, or replace the one at ``version``.

        Raises
        ------
        VersionConflict
            If another write came first; this one certainly had no effect.
        PlatformUnavailable
            If the write certainly had no effect.
        WriteOutcomeUnknown
            If the write may have taken effect, or may still take effect.
        """
        deadline = self._clock.seconds() + CALL_TIMEOUT_S
        value = record.to_value()
        if version is None:
            call = self._api.create(KIND, name, value, deadline=deadline)
        else:
            call = self._api.update(
                KIND, name, value, version=version, deadline=deadline
            )
        try:
            return _stored(
                await with_deadline(self._clock, deadline, call, "write of an action")
            )
        except ObjectNotFound as error:
            raise VersionConflict(error.message) from None
        except DeadlineExceeded as error:
            raise WriteOutcomeUnknown(error.message) from None


def _stored(item: StoredObject) -> StoredRecord:
    return StoredRecord(ActionRecord.from_value(item.value), item.version)


__all__ = ["RecordStore", "StoredRecord"]
