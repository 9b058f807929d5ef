"""What a run with silent servers shows about requests that should not be lost."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import combinations

from chivesaddle.standins.platform_server import RunSpan
from chivesaddle.tools.soak.callers import EndKind, RequestLog

# Two servers may work on one request at the same moment for this long.
MAX_OVERLAP_S = 0.4
# Callers leave after eight pauses of 0.4 s between events. A server that is silent for
# almost as long leaves a daemon too little time to keep the request.
MAX_SILENCE_S = 2.9


@dataclass(frozen=True, slots=True)
class Interval:
    """A time between two moments, in seconds of ``CLOCK_MONOTONIC``."""

    began_at: float
    ended_at: float

    @property
    def length_s(self) -> float:
        """How long it is; 0 if it ends before it begins."""
        return max(0.0, self.ended_at - self.began_at)

    def common(self, other: "Interval") -> "Interval":
        """Return the time in both."""
        return Interval(
            max(self.began_at, other.began_at), min(self.ended_at, other.ended_at)
        )

    def touches(self, others: Iterable["Interval"]) -> bool:
        """Return whether any of the others has a moment of this one."""
        return any(
            self.began_at <= other.ended_at and other.began_at <= self.ended_at
            for other in others
        )


@dataclass(frozen=True, slots=True)
class SilenceRecord:
    """What happened in a run with silent servers.

    Attributes
    ----------
    time_limit_s : float
        Time limit of the requests.
    silences_by_server : mapping
        When each backend server was suspended.
    not_resuming_by_server : mapping
        When each backend server began every stream with its first event.
    daemon_pauses : sequence
        When any daemon was suspended. Requests of these moments are not checked.
    spans_by_server : mapping
        When each backend server ran requests.
    """

    time_limit_s: float
    silences_by_server: Mapping[str, Sequence[Interval]]
    not_resuming_by_server: Mapping[str, Sequence[Interval]]
    daemon_pauses: Sequence[Interval]
    spans_by_server: Mapping[str, Sequence[RunSpan]]

    def excluded(self) -> list[Interval]:
        """Return the times whose requests are not checked for lost responses."""
        silences = [s for found in self.silences_by_server.values() for s in found]
        too_long = [s for s in silences if s.length_s >= MAX_SILENCE_S]
        return [*too_long, *self.daemon_pauses]


def check_lost(request_log: RequestLog, record: SilenceRecord) -> list[str]:
    """Return requests that ran and were answered 502 or cut before their time limit.

    Streams that their callers resume at servers that begin them again do not count.
    """
    excluded = record.excluded()
    servers_by_id: dict[str, list[str]] = defaultdict(list)
    for server, spans in record.spans_by_server.items():
        for span in spans:
            servers_by_id[span.request_id].append(server)
    violations = []
    for request_id, end in request_log.end_by_id.items():
        sent_at = request_log.sent_at_by_id[request_id]
        status = request_log.status_by_id[request_id]
        is_lost = end.kind is EndKind.CUT or status == 502
        is_lost &= request_id in servers_by_id
        is_lost &= end.at < sent_at + record.time_limit_s
        if not is_lost:
            continue
        lifetime = Interval(sent_at, end.at)
        is_begun_again = request_id in request_log.resuming_ids and all(
            lifetime.touches(record.not_resuming_by_server.get(server, ()))
            for server in servers_by_id[request_id]
        )
        if not is_begun_again and not lifetime.touches(excluded):
            what = "cut" if end.kind is EndKind.CUT else "answered 502"
            violations.append(
                f"{request_id}: {request_log.route_by_id[request_id]} {what} "
                f"{end.at - sent_at:.2f} s after it was sent at {sent_at:.2f}, "
                f"ran at {' '.join(servers_by_id[request_id])}"
            )
    return violations


def check_overlaps(record: SilenceRecord) -> list[str]:
    """Return requests that two servers worked on at the same moment for too long.

    A suspended server does not work.
    """
    work_by_id: dict[str, list[tuple[str, list[Interval]]]] = defaultdict(list)
    for server, spans in record.spans_by_server.items():
        for span in spans:
            ended_at = float("inf") if span.ended_at is None else span.ended_at
            whole = Interval(span.began_at, ended_at)
            silences = record.silences_by_server.get(server, ())
            work = _without(whole, silences)
            work_by_id[span.request_id].append((server, work))
    violations = []
    for request_id, runs in work_by_id.items():
        for (server, work), (other, other_work) in combinations(runs, 2):
            common = [a.common(b) for a in work for b in other_work]
            common = [c for c in common if c.length_s > 0]
            overlap_s = sum(c.length_s for c in common)
            is_checked = not any(c.touches(record.daemon_pauses) for c in common)
            if server != other and overlap_s > MAX_OVERLAP_S and is_checked:
                violations.append(
                    f"{request_id}: ran at {server} and {other} for {overlap_s:.2f} s "
                    f"from {common[0].began_at:.2f} on"
                )
    return violations


def count_silenced(record: SilenceRecord) -> int:
    """Return the number of runs that lasted while their server was suspended."""
    return sum(
        span.began_at < silence.began_at
        and (span.ended_at is None or span.ended_at > silence.ended_at)
        for server, spans in record.spans_by_server.items()
        for span in spans
        for silence in record.silences_by_server.get(server, ())
    )


def _without(whole: Interval, parts: Iterable[Interval]) -> list[Interval]:
    """Return what is left of an interval."""
    left = [whole]
    for part in parts:
        left = [
            piece
            for interval in left
            for piece in (
                Interval(interval.began_at, min(interval.ended_at, part.began_at)),
                Interval(max(interval.began_at, part.ended_at), interval.ended_at),
            )
            if piece.length_s > 0
        ]
    return left


__all__ = [
    "Interval",
    "SilenceRecord",
    "check_lost",
    "check_overlaps",
    "count_silenced",
]
