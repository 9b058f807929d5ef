"""Urgent reports: each is handed to the listeners once, however often it arrives."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from chivesaddle.core.ids import BackendServerId, DaemonId, Fingerprint, RequestId
from chivesaddle.peers.proto import peer_pb2 as pb
from chivesaddle.routing import Announcement as SuspectNews
from chivesaddle.routing import (
    SuspectCleared,
    SuspectCrashed,
    SuspectRunning,
    SuspectStopped,
)

# A report that every announcement missed still spreads by exchange in this time.
RELAY_FOR_S = 10.0
MAX_RELAYED = 8
MAX_SEEN = 10_000


@dataclass(frozen=True)
class ServerReport:
    """News of a backend server."""

    server: BackendServerId
    leaving: bool = True


@dataclass(frozen=True)
class LeavingDaemon:
    """A daemon that takes no new callers.

    ``incarnation`` is at least that of the process that is leaving and less than that
    of its successor.
    """

    daemon: DaemonId
    incarnation: int


Content = SuspectNews | ServerReport | LeavingDaemon


class ReportLog:
    """Reports made here or received, with their origin and number.

    Numbers start at the incarnation, the milliseconds at which the process started, so
    that the reports of a restarted daemon are new.
    """

    def __init__(self, origin: DaemonId, incarnation: int) -> None:
        self._origin = origin
        self._number = incarnation
        self._relay_until_by_id: OrderedDict[
            tuple[str, int], tuple[float, pb.Report]
        ] = OrderedDict()
        self._listeners: list[Callable[[Content], None]] = []

    def add_listener(self, listener: Callable[[Content], None]) -> None:
        """Call ``listener`` with the content of each report of another daemon."""
        self._listeners.append(listener)

    def create(self, content: Content, now: float) -> pb.Report:
        """Return a new report of this daemon."""
        self._number += 1
        report = _to_message(self._origin, self._number, content)
        self._remember(report, now)
        return report

    def describe(self, contents: Iterable[Content]) -> list[pb.Report]:
        """Return contents as reports of this daemon that are not relayed further."""
        reports = []
        for content in contents:
            self._number += 1
            reports.append(_to_message(self._origin, self._number, content))
        return reports

    def receive(self, reports: Iterable[pb.Report], now: float) -> list[pb.Report]:
        """Tell the listeners about reports not seen before, and return those."""
        new = []
        for report in reports:
            if self._is_known(report):
                continue
            self._remember(report, now)
            new.append(report)
            content = _from_message(report)
            if content:
                for listener in self._listeners:
                    listener(content)
        return new

    def recent(self, now: float) -> list[pb.Report]:
        """Return the newest reports that are still relayed."""
        relayed = [
            report
            for relay_until, report in self._relay_until_by_id.values()
            if now < relay_until
        ]
        return relayed[-MAX_RELAYED:]

    def _is_known(self, report: pb.Report) -> bool:
        key = (report.origin, report.number)
        return report.origin == self._origin or key in self._relay_until_by_id

    def _remember(self, report: pb.Report, now: float) -> None:
        key = (report.origin, report.number)
        self._relay_until_by_id[key] = (now + RELAY_FOR_S, report)
        if len(self._relay_until_by_id) > MAX_SEEN:
            self._relay_until_by_id.popitem(last=False)


def _to_message(origin: DaemonId, number: int, content: Content) -> pb.Report:
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


def _from_message(report: pb.Report) -> Content | None:
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
    # A content of a newer version; relayed but not understood.
    return None


__all__ = ["Content", "LeavingDaemon", "ReportLog", "ServerReport", "SuspectNews"]
