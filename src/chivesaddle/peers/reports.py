"""Urgent reports, deduplicated so that listeners receive each one once."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from chivesaddle.core.ids import BackendServerId, DaemonId, Fingerprint, RequestId
from chivesaddle.peers.proto import peer_pb2 as pb
from chivesaddle.routing import Announcement as SuspectReport
from chivesaddle.routing import (
    SuspectCleared,
    SuspectCrashed,
    SuspectRunning,
    SuspectStopped,
)

# Reports are also relayed by state exchange for this long, to reach daemons that
# missed the announcement.
RELAY_DURATION_S = 10.0
MAX_RELAYED_REPORTS = 8
MAX_KNOWN_REPORTS = 10_000


@dataclass(frozen=True)
class ServerReport:
    """Report whether a backend server is leaving."""

    server: BackendServerId
    leaving: bool = True


@dataclass(frozen=True)
class LeavingDaemon:
    """Report that a daemon accepts no new callers.

    ``incarnation`` is at least that of the leaving process and less than that of its
    successor.
    """

    daemon: DaemonId
    incarnation: int


ReportContent = SuspectReport | ServerReport | LeavingDaemon


class ReportLog:
    """Reports created here or received, identified by origin and number.

    Numbers start at the incarnation, the start time of the process in milliseconds, so
    that a restarted daemon does not reuse them.
    """

    def __init__(self, origin: DaemonId, incarnation: int) -> None:
        self._origin = origin
        self._last_number = incarnation
        self._relay_until_by_id: OrderedDict[
            tuple[str, int], tuple[float, pb.Report]
        ] = OrderedDict()
        self._listeners: list[Callable[[ReportContent], None]] = []

    def add_listener(self, listener: Callable[[ReportContent], None]) -> None:
        """Call ``listener`` with the content of each report from another daemon."""
        self._listeners.append(listener)

    def create(self, content: ReportContent, now: float) -> pb.Report:
        """Create a report of this daemon and relay it by exchange."""
        self._last_number += 1
        report = _to_message(self._origin, self._last_number, content)
        self._store(report, now)
        return report

    def to_reports(self, contents: Iterable[ReportContent]) -> list[pb.Report]:
        """Return contents as reports of this daemon that are not relayed."""
        reports = []
        for content in contents:
            self._last_number += 1
            reports.append(_to_message(self._origin, self._last_number, content))
        return reports

    def receive(self, reports: Iterable[pb.Report], now: float) -> list[pb.Report]:
        """Pass reports not received before to the listeners, and return them."""
        new_reports = []
        for report in reports:
            if self._is_known(report):
                continue
            self._store(report, now)
            new_reports.append(report)
            content = _from_message(report)
            if content:
                for listener in self._listeners:
                    listener(content)
        return new_reports

    def recent(self, now: float) -> list[pb.Report]:
        """Return the newest reports that are still to be relayed."""
        relayed = [
            report
            for relay_until, report in self._relay_until_by_id.values()
            if now < relay_until
        ]
        return relayed[-MAX_RELAYED_REPORTS:]

    def _is_known(self, report: pb.Report) -> bool:
        key = (report.origin, report.number)
        return report.origin == self._origin or key in self._relay_until_by_id

    def _store(self, report: pb.Report, now: float) -> None:
        key = (report.origin, report.number)
        self._relay_until_by_id[key] = (now + RELAY_DURATION_S, report)
        if len(self._relay_until_by_id) > MAX_KNOWN_REPORTS:
            self._relay_until_by_id.popitem(last=False)


def _to_message(origin: DaemonId, number: int, content: ReportContent) -> pb.Report:
    report = pb.Report(origin=origin, number=number)
    match content:
        case SuspectCrashed(fingerprint, crash_id, server, daemon, age_s):
            crashed = report.suspect_crashed
            crashed.fingerprint, crashed.crash_id = fingerprint, crash_id
            crashed.server, crashed.daemon = server, daemon
            crashed.age_ms = int(age_s * 1_000)
        case SuspectRunning(fingerprint, run_id, server):
            running = report.suspect_running
            running.fingerprint, running.run_id = fingerprint, run_id
            running.server = server
        case SuspectStopped(run_id):
            report.suspect_stopped.run_id = run_id
        case SuspectCleared(fingerprint, crash_ids):
            report.suspect_cleared.fingerprint = fingerprint
            report.suspect_cleared.crash_ids.extend(sorted(crash_ids))
        case ServerReport(server, leaving):
            report.server.server, report.server.leaving = server, leaving
        case LeavingDaemon(leaving_daemon, _):
            report.leaving_daemon = leaving_daemon
    return report


def _from_message(report: pb.Report) -> ReportContent | None:
    match report.WhichOneof("content"):
        case "suspect_crashed":
            crashed = report.suspect_crashed
            return SuspectCrashed(
                Fingerprint(crashed.fingerprint),
                crashed.crash_id,
                BackendServerId(crashed.server),
                DaemonId(crashed.daemon),
                crashed.age_ms / 1_000,
            )
        case "suspect_running":
            running = report.suspect_running
            return SuspectRunning(
                Fingerprint(running.fingerprint),
                RequestId(running.run_id),
                BackendServerId(running.server),
            )
        case "suspect_stopped":
            return SuspectStopped(RequestId(report.suspect_stopped.run_id))
        case "suspect_cleared":
            cleared = report.suspect_cleared
            return SuspectCleared(
                Fingerprint(cleared.fingerprint), frozenset(cleared.crash_ids)
            )
        case "server":
            server = BackendServerId(report.server.server)
            return ServerReport(server, report.server.leaving)
        case "leaving_daemon":
            return LeavingDaemon(DaemonId(report.leaving_daemon), report.number)
    # Content type of a newer protocol version; the report is relayed but not applied.
    return None


__all__ = [
    "LeavingDaemon",
    "ReportContent",
    "ReportLog",
    "ServerReport",
    "SuspectReport",
]
