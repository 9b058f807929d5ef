"""Reads a day's report and the log lines of ended requests."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from chivesaddle.core.errors import InvalidValue

# A line of the bench's log output: simulated time in seconds, machine, JSON.
_LINE = re.compile(r"^\s*(-?[\d.]+)\s+(\S+)\s+(\{.*\})\s*$")
_PREFIX = "[forward] "
# Lines about a request that has not ended.
_NOT_AN_END = {"send failed"}


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """How a request ended on a daemon; times in milliseconds.

    Attributes
    ----------
    at_s : float
        Seconds of the day.
    result : str
        ``answered`` or the code of the failure.
    first_ms : int or None
        From the arrival to the first event of a stream.
    waited_ms : int
        Wait in the daemon for a server with room.
    read_tokens, shared_read_tokens : int
        Prompt tokens that the server had to read as planned, and those of shared parts.
    """

    at_s: float
    daemon: str
    request: str
    result: str
    route: str
    total_ms: int
    first_ms: int | None
    target_ms: int
    waited_ms: int
    sends: int
    read_tokens: int
    shared_read_tokens: int
    transfer_ms: int

    @property
    def is_late(self) -> bool:
        """Whether an answer came after the route's target."""
        reached_ms = self.total_ms if self.first_ms is None else self.first_ms
        return self.result == "answered" and 0 < self.target_ms < reached_ms


@dataclass(frozen=True, slots=True)
class Day:
    """A day as the bench reports it.

    Attributes
    ----------
    parts : tuple of (name, weight, value)
        What the worth is made of.
    prices : tuple of (name, amount, loss)
        What is taken off it.
    windows : tuple of (second, worth)
        Share of the worth owed that was earned, by the second of the request.
    """

    worth: float
    parts: tuple[tuple[str, float, float], ...]
    prices: tuple[tuple[str, float, float], ...]
    windows: tuple[tuple[float, float], ...]


class _Window(msgspec.Struct):
    name: str
    worth: float


class _Report(msgspec.Struct):
    # The report names the worth of the whole day by this letter.
    G: float
    parts: list[tuple[str, float, float]]
    prices: list[tuple[str, float, float]]
    windows: list[_Window]


def read_report(path: Path) -> Day:
    """Read the file of ``fleetbench run --report``; raises `InvalidValue`."""
    try:
        found = msgspec.json.decode(path.read_bytes(), type=_Report)
    except (OSError, msgspec.MsgspecError) as error:
        raise InvalidValue(
            f"{path} is no report of a day: {error}",
            remedy="Write one with fleetbench run --report FILE.",
        ) from error
    windows = tuple((float(w.name), w.worth) for w in found.windows)
    return Day(found.G, tuple(found.parts), tuple(found.prices), windows)


def read_log(lines: Iterable[str]) -> Iterator[RequestEnd]:
    """Yield the ended requests of a log; other lines are passed over."""
    for line in lines:
        match = _LINE.match(line)
        if match is None:
            continue
        at_s, daemon, text = match.groups()
        try:
            fields = msgspec.json.decode(text)
        except msgspec.DecodeError:
            # The last line of a process that was killed is cut off.
            continue
        ended = _request_end(float(at_s), daemon, fields)
        if ended is not None:
            yield ended


def _request_end(at_s: float, daemon: str, fields: dict[str, Any]) -> RequestEnd | None:
    event = str(fields.get("event", ""))
    if not event.startswith(_PREFIX) or "ms" not in fields:
        return None
    result = event.removeprefix(_PREFIX)
    if result in _NOT_AN_END:
        return None
    return RequestEnd(
        at_s=at_s,
        daemon=daemon,
        request=str(fields.get("request", "")),
        result=result,
        route=str(fields.get("route", "")),
        total_ms=fields["ms"],
        first_ms=fields.get("first_ms"),
        target_ms=fields.get("target_ms", 0),
        waited_ms=fields.get("waited_ms", 0),
        sends=fields.get("sends", 0),
        read_tokens=fields.get("read_tokens", 0),
        shared_read_tokens=fields.get("shared_read_tokens", 0),
        transfer_ms=fields.get("transfer_ms", 0),
    )


__all__ = ["Day", "RequestEnd", "read_log", "read_report"]
