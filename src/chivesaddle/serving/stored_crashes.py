"""Which requests and prompt parts crash servers, in the platform's store.

Daemons know crashes from each other. After all of them were killed at once, only this
record keeps a request or part that crashes servers from reaching them again.
"""

import time
from collections.abc import Callable
from typing import Annotated, Any

import msgspec

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import DaemonId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.objects import ObjectApi
from chivesaddle.forwarding import CrashRecord, CrashReport, CrashState
from chivesaddle.objects import StoreEra
from chivesaddle.serving.daemon_record import (
    DaemonRecord,
    RecordContents,
    RecordLimits,
)

CRASHES_KIND = "crashes"
# Writes of all daemons together. A server that crashes is noticed by many at once.
MAX_FLEET_WRITES_PER_S = 50.0
MAX_FINGERPRINT_CHARACTERS = 64
MAX_NAME_CHARACTERS = 1_024
# Entries of one record that are read.
MAX_ENTRIES = 4_096

_UnixMs = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]


class _Entry(msgspec.Struct, array_like=True, frozen=True):
    """A confirmed crash as it counts against one request or part.

    Attributes
    ----------
    started_ms : int
        Start of the server that crashed, in Unix milliseconds.
    at_ms : int
        When its connection broke, in Unix milliseconds.
    was_answered : bool
        Whether a server was seen to answer the request or part shortly before.
    is_answer_known : bool
        Whether any daemon knew what servers answered in that time.
    """

    fingerprint: Annotated[str, msgspec.Meta(max_length=MAX_FINGERPRINT_CHARACTERS)]
    server: Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
    started_ms: _UnixMs
    at_ms: _UnixMs
    was_answered: bool
    is_answer_known: bool = True


class _Record(msgspec.Struct):
    crashes: Annotated[list[_Entry], msgspec.Meta(max_length=MAX_ENTRIES)]


class StoredCrashes(DaemonRecord):
    """Confirmed crashes that this daemon keeps in the store for all.

    Parameters
    ----------
    api : ObjectApi
        The platform's store.
    clock : Clock
        Clock of intervals and deadlines.
    daemon : DaemonId
        This daemon.
    crashes : CrashRecord
        Crashes that this daemon knows; gets those of the record.
    writers : callable
        Returns the number of daemons that may write.
    era : StoreEra or None
        Era of the store, which may lose writes when it rises.
    unix_time : callable
        Returns the time of day in Unix seconds.
    """

    KIND = CRASHES_KIND
    LIMITS = RecordLimits(MAX_FLEET_WRITES_PER_S, 1, is_spread=True)
    LOG = ComponentLogger("crashes")

    def __init__(
        self,
        api: ObjectApi,
        clock: Clock,
        daemon: DaemonId,
        crashes: CrashRecord,
        writers: Callable[[], int],
        era: StoreEra | None = None,
        unix_time: Callable[[], float] = time.time,
    ) -> None:
        super().__init__(api, clock, daemon, writers, era)
        self._crashes = crashes
        self._unix_time = unix_time
        crashes.on_confirmed = self.write_soon

    def _collect(self) -> tuple[Any, RecordContents]:
        now_ms = round(self._unix_time() * 1_000)
        entries = [
            _Entry(
                report.fingerprint,
                report.server,
                report.started_ms,
                max(0, now_ms - report.age_ms),
                report.was_answered,
                report.is_answer_known,
            )
            for report in self._crashes.recordable()
        ]
        return msgspec.to_builtins(_Record(entries)), _contents(entries)

    def _apply_value(self, value: Any, is_own: bool) -> RecordContents:
        entries = msgspec.convert(value, _Record).crashes
        now_ms = round(self._unix_time() * 1_000)
        # Times of day may differ between daemons, and jump.
        reports = [
            CrashReport(
                entry.fingerprint,
                entry.server,
                entry.started_ms,
                CrashState.CONFIRMED,
                max(0, now_ms - entry.at_ms),
                entry.was_answered,
                entry.is_answer_known,
            )
            for entry in entries
        ]
        self._crashes.restore(reports, is_own=is_own)
        return _contents(entries)


def _contents(entries: list[_Entry]) -> RecordContents:
    """Return what is compared; the times of day may jump."""
    crashes = frozenset(
        (entry.fingerprint, entry.server, entry.started_ms) for entry in entries
    )
    return RecordContents(crashes, len(crashes))


__all__ = ["CRASHES_KIND", "StoredCrashes"]
