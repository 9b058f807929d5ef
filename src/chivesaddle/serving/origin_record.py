"""Where this daemon's streams began, in the platform's store.

While a service has servers of several software versions, each daemon writes the origins
of its streams, so that they go on after all daemons have lost power at once.
"""

import re
from collections.abc import Callable, Iterable
from typing import Annotated, Any

import msgspec

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import DaemonId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.objects import ObjectApi
from chivesaddle.forwarding import OriginReport, Source, StreamOrigins
from chivesaddle.objects import StoreEra
from chivesaddle.serving.daemon_record import (
    DaemonRecord,
    RecordContents,
    RecordLimits,
)

STREAMS_KIND = "streams"
# Writes of all daemons together; the store of a small fleet accepts 400 a second.
MAX_FLEET_WRITES_PER_S = 100.0
# Writes of one daemon that may follow each other at once. Few streams are then not
# recorded when power is lost.
WRITE_BURST = 8
_KEY_DIGITS = 16
_KEYS = re.compile(r"(?:[0-9a-f]{16})*")
# Longest time for which a record may keep a stream, in milliseconds; those of callers
# end within seconds.
MAX_VALID_MS = 3_600_000
MAX_NAME_CHARACTERS = 1_024

_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]


class _Group(msgspec.Struct):
    """Streams of one service and version.

    Attributes
    ----------
    keys : str
        Keys of the streams, each with 16 hexadecimal digits.
    valid_ms : int
        Milliseconds for which one of the streams may still be resumed.
    """

    service: _Name
    version: _Name
    keys: str
    valid_ms: Annotated[int, msgspec.Meta(le=MAX_VALID_MS)]


class _Record(msgspec.Struct):
    groups: list[_Group]


class OriginRecord(DaemonRecord):
    """Origins of this daemon's streams, kept in the store.

    Parameters
    ----------
    api : ObjectApi
        The platform's store.
    clock : Clock
        Clock of intervals and deadlines.
    daemon : DaemonId
        This daemon.
    origins : StreamOrigins
        Origins that this daemon knows.
    writers : callable
        Returns the number of daemons that have streams of callers.
    era : StoreEra or None
        Era of the store, which may lose writes when it rises.
    """

    KIND = STREAMS_KIND
    LIMITS = RecordLimits(MAX_FLEET_WRITES_PER_S, WRITE_BURST, is_spread=False)
    LOG = ComponentLogger("streams")

    def __init__(
        self,
        api: ObjectApi,
        clock: Clock,
        daemon: DaemonId,
        origins: StreamOrigins,
        writers: Callable[[], int],
        era: StoreEra | None = None,
    ) -> None:
        super().__init__(api, clock, daemon, writers, era)
        self._origins = origins
        origins.add_listener(lambda reports: self.write_soon())

    def _collect(self) -> tuple[Any, RecordContents]:
        record = _Record(_groups(self._origins.own_reports()))
        return msgspec.to_builtins(record), _contents(record)

    def _apply_value(self, value: Any, is_own: bool) -> RecordContents:
        record = msgspec.convert(value, _Record)
        reports = [report for group in record.groups for report in _reports(group)]
        # What this daemon recorded before it restarted stays recorded.
        source = Source.OWN if is_own else Source.RECORD
        self._origins.apply_reports(reports, source)
        return _contents(record)


def _contents(record: _Record) -> RecordContents:
    entries = frozenset((g.service, g.version, g.keys) for g in record.groups)
    count = sum(len(group.keys) // _KEY_DIGITS for group in record.groups)
    return RecordContents(entries, count)


def _groups(reports: Iterable[OriginReport]) -> list[_Group]:
    groups_by_version: dict[tuple[str, str], _Group] = {}
    for report in reports:
        key = report.service, report.version
        group = groups_by_version.setdefault(key, _Group(*key, "", 0))
        group.keys += f"{report.key:0{_KEY_DIGITS}x}"
        group.valid_ms = max(group.valid_ms, report.valid_ms)
    return list(groups_by_version.values())


def _reports(group: _Group) -> list[OriginReport]:
    if not _KEYS.fullmatch(group.keys):
        raise ValueError("Keys of streams are malformed")
    return [
        OriginReport(
            int(group.keys[at : at + _KEY_DIGITS], 16),
            group.service,
            group.version,
            group.valid_ms,
        )
        for at in range(0, len(group.keys), _KEY_DIGITS)
    ]


__all__ = ["STREAMS_KIND", "OriginRecord"]
