"""Requests that may crash the backend servers that run them.

A request that was in flight on a server when the server crashed is a suspect. Every
crash report has an identifier, and a clear names the reports that it covers.
Announcements may therefore arrive repeatedly and in any order: a cleared report does
not count again, and a clear does not cover a report that its sender had not received.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from chivesaddle.core.ids import BackendServerId, DaemonId, Fingerprint, RequestId

CRASH_EXPIRY_S = 24 * 3600.0
MAX_SUSPECTS = 10_000
MAX_REPORTS_PER_SUSPECT = 8
MAX_PEER_RUNS = 4_096
MAX_TOMBSTONES = 10_000
# Clears are repeated for this long, for peers that missed the first announcement.
CLEAR_REPEAT_PERIOD_S = 60.0
MAX_REPEATED_CLEARS = 256
# A run whose end the peer never announced, because it crashed, is ignored after this
# time.
PEER_RUN_EXPIRY_S = 300.0
# Two daemons report the same server crash within this time. A server cannot restart,
# load its model and crash again so soon.
SAME_CRASH_WINDOW_S = 2.0


class Verdict(Enum):
    """How a request may run."""

    NORMAL = "normal"
    ISOLATED = "isolated"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class SuspectCrashed:
    """A server crashed while it ran the request, ``age_s`` seconds ago."""

    fingerprint: Fingerprint
    crash_id: str
    server_id: BackendServerId
    daemon_id: DaemonId
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SuspectRunning:
    """A daemon is running a suspect request on a server."""

    fingerprint: Fingerprint
    run_id: RequestId
    server_id: BackendServerId


@dataclass(frozen=True, slots=True)
class SuspectStopped:
    """A run that was announced before has ended."""

    run_id: RequestId


@dataclass(frozen=True, slots=True)
class SuspectCleared:
    """The crash reports ``crash_ids`` no longer count."""

    fingerprint: Fingerprint
    crash_ids: frozenset[str]


Announcement = SuspectCrashed | SuspectRunning | SuspectStopped | SuspectCleared


@dataclass(frozen=True, slots=True)
class _CrashReport:
    server_id: BackendServerId
    daemon_id: DaemonId
    crashed_at: float


@dataclass(frozen=True, slots=True)
class _ActiveRun:
    fingerprint: Fingerprint
    server_id: BackendServerId
    expires_at: float = float("inf")


class SuspectRegistry:
    """Crash counts and runs of suspect requests.

    Holds at most 10,000 fingerprints with 8 crash reports each, 4,096 runs of peers,
    20,000 tombstones, 256 clears, and one entry per own request in flight. Beyond
    10,000 fingerprints the oldest with a single crash report is evicted first.
    """

    def __init__(self, daemon_id: DaemonId, incarnation: int = 0) -> None:
        self._daemon_id = daemon_id
        self._crash_id_prefix = f"{daemon_id}/{incarnation}"
        self._sequence = 0
        self._reports_by_fingerprint: OrderedDict[
            Fingerprint, dict[str, _CrashReport]
        ] = OrderedDict()
        self._own_runs: dict[RequestId, _ActiveRun] = {}
        self._peer_runs: OrderedDict[RequestId, _ActiveRun] = OrderedDict()
        self._cleared_crash_ids: OrderedDict[str, None] = OrderedDict()
        self._ended_run_ids: OrderedDict[RequestId, None] = OrderedDict()
        self._recent_own_clears: deque[tuple[float, SuspectCleared]] = deque(
            maxlen=MAX_REPEATED_CLEARS
        )

    def __len__(self) -> int:
        return len(self._reports_by_fingerprint)

    def crash_count(self, fingerprint: Fingerprint, now: float) -> int:
        """Return how many server crashes count against the request."""
        reports = self._reports_by_fingerprint.get(fingerprint)
        if reports is None:
            return 0
        for crash_id, report in list(reports.items()):
            if now - report.crashed_at >= CRASH_EXPIRY_S:
                del reports[crash_id]
        if not reports:
            del self._reports_by_fingerprint[fingerprint]
        return len(_distinct_crashes(reports.values()))

    def verdict(self, fingerprint: Fingerprint, now: float) -> Verdict:
        """Return how the request may run."""
        match self.crash_count(fingerprint, now):
            case 0:
                return Verdict.NORMAL
            case 1:
                return Verdict.ISOLATED
        return Verdict.REJECTED

    def rejection_ends_at(self, fingerprint: Fingerprint) -> float:
        """Return when the crash count of a rejected request falls below two."""
        distinct_reports = sorted(
            report.crashed_at
            for report in _distinct_crashes(
                self._reports_by_fingerprint[fingerprint].values()
            )
        )
        return distinct_reports[-2] + CRASH_EXPIRY_S

    def is_running(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a copy of the request is known to run anywhere."""
        return any(run.fingerprint == fingerprint for run in self._active_runs(now))

    def servers_running_suspects(self, now: float) -> set[BackendServerId]:
        """Return the servers that run a suspect request."""
        return {
            run.server_id
            for run in self._active_runs(now)
            if run.fingerprint in self._reports_by_fingerprint
            and self.crash_count(run.fingerprint, now)
        }

    def has_conflicting_run(self, run_id: RequestId, now: float) -> bool:
        """Return whether a peer runs a suspect on the same server, or the same request.

        Call this after all peers have confirmed the announcement of the own run. Of two
        daemons that start concurrently, at least one then knows the run of the other:
        if A has not received B's announcement when it calls, B has already confirmed
        A's and finds it later. If both know, both restart their runs.
        """
        own_run = self._own_runs.get(run_id)
        if own_run is None or not self.crash_count(own_run.fingerprint, now):
            return False
        self._active_runs(now)
        return any(
            run.fingerprint == own_run.fingerprint
            or (
                run.server_id == own_run.server_id
                and self.crash_count(run.fingerprint, now) > 0
            )
            for run in self._peer_runs.values()
        )

    def start(
        self,
        run_id: RequestId,
        fingerprint: Fingerprint,
        server_id: BackendServerId,
        now: float,
    ) -> tuple[Announcement, ...]:
        """Record an own run; return the announcements to send before the request."""
        self._own_runs[run_id] = _ActiveRun(fingerprint, server_id)
        if not self.crash_count(fingerprint, now):
            return ()
        return (SuspectRunning(fingerprint, run_id, server_id),)

    def stop(
        self, run_id: RequestId, now: float, *, completed: bool
    ) -> tuple[Announcement, ...]:
        """Record the end of an own run; clear the request if the run completed."""
        run = self._own_runs.pop(run_id, None)
        if run is None or not self.crash_count(run.fingerprint, now):
            return ()
        ended = SuspectStopped(run_id)
        if not completed:
            return (ended,)
        return (ended, *self.clear(run.fingerprint, now))

    def record_server_crash(
        self, server_id: BackendServerId, now: float
    ) -> tuple[Announcement, ...]:
        """Count a server crash against every own run on the server, and end the runs.

        A second call for the same crash finds no runs and counts nothing.
        """
        ended_runs = {
            r: run for r, run in self._own_runs.items() if run.server_id == server_id
        }
        announcements: list[Announcement] = []
        suspect_fingerprints: set[Fingerprint] = set()
        for run_id, run in ended_runs.items():
            del self._own_runs[run_id]
            announcements.append(SuspectStopped(run_id))
            if run.fingerprint in suspect_fingerprints:
                continue
            suspect_fingerprints.add(run.fingerprint)
            self._sequence += 1
            crash_id = f"{self._crash_id_prefix}/{self._sequence}"
            crashed = SuspectCrashed(
                run.fingerprint, crash_id, server_id, self._daemon_id
            )
            self._add_crash_report(crashed, now)
            announcements.append(crashed)
        for fingerprint in suspect_fingerprints:
            announcements += self._own_run_announcements(fingerprint)
        return tuple(announcements)

    def clear(self, fingerprint: Fingerprint, now: float) -> tuple[Announcement, ...]:
        """Reset the crash count; return the announcement, if any."""
        reports = self._reports_by_fingerprint.pop(fingerprint, None)
        if not reports:
            return ()
        self._add_tombstones(self._cleared_crash_ids, reports)
        cleared = SuspectCleared(fingerprint, frozenset(reports))
        self._recent_own_clears.append((now, cleared))
        return (cleared,)

    def receive(
        self, announcement: Announcement, now: float
    ) -> tuple[Announcement, ...]:
        """Apply a peer's announcement; return the announcements to send in response.

        A crash makes own runs of the same request suspect, so these are announced.
        """
        match announcement:
            case SuspectCrashed(fingerprint=fingerprint):
                was_suspect = self.crash_count(fingerprint, now) > 0
                self._add_crash_report(announcement, now)
                if not was_suspect and self.crash_count(fingerprint, now):
                    return tuple(self._own_run_announcements(fingerprint))
            case SuspectRunning(fingerprint, run_id, server_id):
                if run_id not in self._ended_run_ids and run_id not in self._own_runs:
                    expires_at = now + PEER_RUN_EXPIRY_S
                    self._peer_runs[run_id] = _ActiveRun(
                        fingerprint, server_id, expires_at
                    )
                    while len(self._peer_runs) > MAX_PEER_RUNS:
                        self._peer_runs.popitem(last=False)
            case SuspectStopped(run_id):
                self._peer_runs.pop(run_id, None)
                self._add_tombstones(self._ended_run_ids, (run_id,))
            case SuspectCleared(fingerprint, crash_ids):
                self._add_tombstones(self._cleared_crash_ids, crash_ids)
                reports = self._reports_by_fingerprint.get(fingerprint, {})
                for crash_id in crash_ids & reports.keys():
                    del reports[crash_id]
                if not reports:
                    self._reports_by_fingerprint.pop(fingerprint, None)
        return ()

    def snapshot(self, now: float) -> list[Announcement]:
        """Return crashes, own suspect runs and recent clears, to send to peers."""
        announcements: list[Announcement] = [
            cleared
            for crashed_at, cleared in self._recent_own_clears
            if now - crashed_at < CLEAR_REPEAT_PERIOD_S
        ]
        for fingerprint in list(self._reports_by_fingerprint):
            if self.crash_count(fingerprint, now):
                announcements += [
                    SuspectCrashed(
                        fingerprint,
                        crash_id,
                        report.server_id,
                        report.daemon_id,
                        now - report.crashed_at,
                    )
                    for crash_id, report in self._reports_by_fingerprint[
                        fingerprint
                    ].items()
                ]
                announcements += self._own_run_announcements(fingerprint)
        return announcements

    def _add_crash_report(self, crashed: SuspectCrashed, now: float) -> None:
        if (
            crashed.crash_id in self._cleared_crash_ids
            or crashed.age_s >= CRASH_EXPIRY_S
        ):
            return
        reports = self._reports_by_fingerprint.setdefault(crashed.fingerprint, {})
        if len(reports) < MAX_REPORTS_PER_SUSPECT:
            reports.setdefault(
                crashed.crash_id,
                _CrashReport(crashed.server_id, crashed.daemon_id, now - crashed.age_s),
            )
        while len(self._reports_by_fingerprint) > MAX_SUSPECTS:
            # Requests with several reports stay longer: running a rejected request
            # again would crash a server.
            evicted = next(
                (f for f, c in self._reports_by_fingerprint.items() if len(c) == 1),
                next(iter(self._reports_by_fingerprint)),
            )
            del self._reports_by_fingerprint[evicted]

    def _own_run_announcements(self, fingerprint: Fingerprint) -> list[Announcement]:
        return [
            SuspectRunning(fingerprint, run_id, run.server_id)
            for run_id, run in self._own_runs.items()
            if run.fingerprint == fingerprint
        ]

    def _active_runs(self, now: float) -> list[_ActiveRun]:
        while self._peer_runs:
            run_id, run = next(iter(self._peer_runs.items()))
            if run.expires_at > now:
                break
            del self._peer_runs[run_id]
        return [*self._own_runs.values(), *self._peer_runs.values()]

    @staticmethod
    def _add_tombstones(tombstones: OrderedDict, keys: Iterable) -> None:
        for key in keys:
            tombstones[key] = None
        while len(tombstones) > MAX_TOMBSTONES:
            tombstones.popitem(last=False)


def _distinct_crashes(reports: Iterable[_CrashReport]) -> list[_CrashReport]:
    """Return one report for each server crash, its earliest."""
    distinct_reports: list[_CrashReport] = []
    for report in sorted(reports, key=lambda report: report.crashed_at):
        if not any(
            earlier.server_id == report.server_id
            and earlier.daemon_id != report.daemon_id
            and report.crashed_at - earlier.crashed_at <= SAME_CRASH_WINDOW_S
            for earlier in distinct_reports
        ):
            distinct_reports.append(report)
    return distinct_reports


__all__ = [
    "Announcement",
    "SuspectCleared",
    "SuspectCrashed",
    "SuspectRegistry",
    "SuspectRunning",
    "SuspectStopped",
    "Verdict",
]
