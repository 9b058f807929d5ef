"""Reads the report of a benchmark day, and its log lines of ended requests."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from chivesaddle.core.errors import InvalidValue

# A line of the benchmark's log: simulated time in seconds, machine, JSON object.
_LOG_LINE = re.compile(r"^\s*(-?[\d.]+)\s+(\S+)\s+(\{.*\})\s*$")
_EVENT_PREFIX = "[forward] "
# Events after which the request continues.
_NON_FINAL_EVENTS = {"send failed"}


@dataclass(frozen=True, slots=True)
class EndedRequest:
    """How a request ended on a daemon; durations in milliseconds.

    Attributes
    ----------
    at_s : float
        When it ended, in simulated seconds of the day.
    result : str
        ``answered`` or the error code of the failure.
    total_ms : int
        From the arrival to the end.
    first_ms : int or None
        From the arrival to the first event of a stream.
    target_ms : int
        The route's latency target; 0 if it has none.
    waited_ms : int
        Wait in the daemon for a server with capacity.
    sends : int
        How often it was sent to a server.
    read_tokens, shared_read_tokens : int
        Prompt tokens that the server was planned to prefill, and those of them in
        shared parts.
    transfer_ms : int
        Planned time to transfer prompt parts to the server.
    """

    at_s: float
    daemon: str
    request_id: str
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
        """Whether the response came after the route's target."""
        latency_ms = self.total_ms if self.first_ms is None else self.first_ms
        return self.result == "answered" and 0 < self.target_ms < latency_ms


@dataclass(frozen=True, slots=True)
class Day:
    """The benchmark's report of one simulated day.

    Attributes
    ----------
    worth : float
        Score of the day.
    parts : tuple of (name, weight, value)
        Components of the score; each adds weight times value.
    penalties : tuple of (name, amount, loss)
        Deductions from the score: how much there was of each, and what it cost.
    windows : tuple of (second, worth)
        Start of each window, and the share of the possible worth that was earned by the
        requests of that window.
    """

    worth: float
    parts: tuple[tuple[str, float, float], ...]
    penalties: tuple[tuple[str, float, float], ...]
    windows: tuple[tuple[float, float], ...]


class _Window(msgspec.Struct):
    name: str
    worth: float


class _Report(msgspec.Struct):
    # Worth of the whole day.
    G: float
    parts: list[tuple[str, float, float]]
    prices: list[tuple[str, float, float]]
    windows: list[_Window]


def read_report(path: Path) -> Day:
    """Read the file of ``fleetbench run --report``; raises `InvalidValue`."""
    try:
        report = msgspec.json.decode(path.read_bytes(), type=_Report)
    except (OSError, msgspec.MsgspecError) as error:
        raise InvalidValue(
            f"{path} is not the report of a day: {error}",
            remedy="Write one with fleetbench run --report FILE.",
        ) from error
    windows = tuple((float(w.name), w.worth) for w in report.windows)
    return Day(report.G, tuple(report.parts), tuple(report.prices), windows)


def read_log(lines: Iterable[str]) -> Iterator[EndedRequest]:
    """Yield the ended requests of a log; other lines are skipped."""
    for line in lines:
        match = _LOG_LINE.match(line)
        if match is None:
            continue
        at_s, daemon, text = match.groups()
        try:
            fields = msgspec.json.decode(text)
        except msgspec.DecodeError:
            # The last line of a killed process may be truncated.
            continue
        request = _ended_request(float(at_s), daemon, fields)
        if request is not None:
            yield request


def _ended_request(
    at_s: float, daemon: str, fields: dict[str, Any]
) -> EndedRequest | None:
    event = str(fields.get("event", ""))
    if not event.startswith(_EVENT_PREFIX) or "ms" not in fields:
        return None
    result = event.removeprefix(_EVENT_PREFIX)
    if result in _NON_FINAL_EVENTS:
        return None
    return EndedRequest(
        at_s=at_s,
        daemon=daemon,
        request_id=str(fields.get("request", "")),
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


__all__ = ["Day", "EndedRequest", "read_log", "read_report"]
