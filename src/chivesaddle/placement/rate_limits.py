"""Limits on the requests per second of a backend server, kept by all daemons together.

A server names one limit for all daemons. Each daemon keeps the same schedule for it:
every request to the server, its own or one that a peer reports, moves the next one by
the interval that the limit allows. When the schedule allows a request, the daemon that
has sent none for longest goes first, and the others follow if it has nothing to send.
The same schedule keeps the rate of a cold server, with the turns of `ColdTurns`.
"""

import math
from collections.abc import Callable, Collection, Iterable
from typing import Any

import msgspec

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import BackendServerId, DaemonId, ServiceId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.serving_model import ServerEntry
from chivesaddle.placement.cold_turns import ColdTurns, turn_order
from chivesaddle.placement.server_limit import ServerLimit
from chivesaddle.placement.table import ServerTable, TrackedServer

# Time after which the next daemon takes a turn that the one before has not used. The
# report of a request reaches the others sooner.
TURN_S = 0.05
# Turns after which all other daemons follow at once, so that a request that only one of
# many daemons has is not held back.
MAX_TURNS = 16
# A limit that was withdrawn is still exchanged for this long, so that peers that were
# told of the limit learn of its end.
SHARE_WITHDRAWN_S = 30.0
# Servers in one message; cold ones and those heard from last are kept.
MAX_SHARED_LIMITS = 64
# Age that is told of a limit that the server has never named: older than any other.
NEVER_NAMED_AGE_MS = 10**9

log = ComponentLogger("limits")


class LimitReport(msgspec.Struct, array_like=True, frozen=True):
    """What one daemon tells others about a server's limit.

    Attributes
    ----------
    daemon : str
        Id of the sender.
    started_ms : int
        Start of the server, in Unix milliseconds.
    per_s : float
        Requests per second that the server takes; 0 if it names no limit any more.
    age_ms : int
        Milliseconds since the server named the limit.
    sends : int
        Requests that the sender has sent since its last report.
    serial : int
        Serial number of the sender's last request to the server, from which a receiver
        counts requests whose reports were lost; 0 from a daemon that numbers none.
    cold_ms : int
        Milliseconds for which the server is cold, as the sender itself found out.
    cold_age_ms : int
        Milliseconds since the sender found that out; -1 if it did not.
    lost_ms : int
        Milliseconds for which the sender could not connect to the server, if it is
        taken for cold only because of that; else 0.
    has_demand : bool
        Whether the sender has requests for the server's service.
    """

    daemon: str
    server: str
    started_ms: int
    per_s: float
    age_ms: int
    sends: int
    serial: int = 0
    cold_ms: int = 0
    cold_age_ms: int = -1
    lost_ms: int = 0
    has_demand: bool = False


def _describe_unknown(tracked: TrackedServer) -> tuple[int, int, int]:
    """Return that nothing is known of a server's cold time."""
    return 0, -1, 0


class RateLimits:
    """The limits of all listed servers, and when this daemon may send to each.

    Parameters
    ----------
    clock : Clock
        Clock of all times.
    servers : ServerTable
        Servers; ``turn_at`` of each is kept up to date.
    daemon : DaemonId
        This daemon.
    peers : callable
        Returns the ids of the other daemons that take callers.
    senders : callable or None
        Returns the ids of the other daemons that may send requests to servers, also of
        those that are not heard; None for those that ``peers`` returns.
    """

    def __init__(
        self,
        clock: Clock,
        servers: ServerTable,
        daemon: DaemonId,
        peers: Callable[[], Collection[DaemonId]],
        senders: Callable[[], Collection[DaemonId]] | None = None,
    ) -> None:
        self._clock = clock
        self._servers = servers
        self._daemon = daemon
        self._peers = peers
        self.cold_turns = ColdTurns(clock, daemon, senders or peers)
        # Called with what this daemon has observed, to send it to peers at once.
        self.on_report: Callable[[list[LimitReport]], None] = lambda reports: None
        # Called with the cold time in seconds that a response of the server names.
        self.on_cold_response: Callable[[ServerEntry, float], None] = lambda _, s: None
        # Called with what a peer reports of a listed server.
        self.on_peer_report: Callable[[TrackedServer, LimitReport], None] = (
            lambda _, report: None
        )
        # Returns ``cold_ms``, ``cold_age_ms`` and ``lost_ms`` of a report.
        self.describe_cold: Callable[[TrackedServer], tuple[int, int, int]] = (
            _describe_unknown
        )

    def record_response(self, server: ServerEntry, per_s: float | None) -> None:
        """Record the limit that a response of the server names, None for no limit."""
        tracked = self._find(server.id, server.started_ms)
        if tracked is None:
            return
        if self._apply(tracked, per_s, self._clock.seconds(), self._daemon):
            self.on_report([self._build_report(tracked, 0)])

    def record_send(self, server: BackendServerId) -> None:
        """Record that this daemon sends a request to the server."""
        tracked = self._servers.get(server)
        if tracked is None or tracked.limit is None or tracked.limit.rate is None:
            return
        tracked.limit.record_send(self._daemon, self._clock.seconds())
        tracked.limit.serial += 1
        self._update_turn(tracked)
        self.on_report([self._build_report(tracked, 1)])

    def record_demand(self, service: ServiceId) -> None:
        """Record a request for a service, of which cold servers take few."""
        if not self.cold_turns.record_demand(service):
            return
        cold = [s for s in self.cold_servers() if s.entry.service == service]
        self.report(cold)
        self.update_turns(cold)

    def set_cold_rate(self, tracked: TrackedServer, per_s: float | None) -> None:
        """Apply the rate of a server that is cold, or None when it is warm."""
        now = self._clock.seconds()
        if tracked.limit is None:
            tracked.limit = ServerLimit(None, -math.inf)
        tracked.limit.set_cold_rate(per_s, now)
        self._update_turn(tracked)

    def cold_servers(self) -> list[TrackedServer]:
        """Return the servers whose rate is limited because they are cold."""
        return [
            tracked
            for tracked in self._servers.all()
            if tracked.limit is not None and tracked.limit.cold_per_s is not None
        ]

    def report(self, servers: Iterable[TrackedServer]) -> None:
        """Tell peers at once what this daemon knows of some servers."""
        reports = [self._build_report(tracked, 0) for tracked in servers]
        if reports:
            self.on_report(reports)

    def update_turns(self, servers: Iterable[TrackedServer]) -> None:
        """Set again when this daemon may send to some servers."""
        for tracked in servers:
            self._update_turn(tracked)

    def in_force(self) -> int:
        """Return the number of servers that name a limit."""
        return sum(
            tracked.limit is not None and tracked.limit.per_s is not None
            for tracked in self._servers.all()
        )

    def share_per_s(self, servers: Iterable[TrackedServer]) -> float | None:
        """Return this daemon's share of what limited servers take per second.

        None if any of the servers names no limit.
        """
        limits = [tracked.limit and tracked.limit.rate for tracked in servers]
        if not limits or None in limits:
            return None
        return sum(per_s or 0.0 for per_s in limits) / (len(self._peers()) + 1)

    def collect(self) -> list[Any]:
        """Return the limits in force and those withdrawn recently, for peers."""
        oldest = self._clock.seconds() - SHARE_WITHDRAWN_S
        known = [
            (math.inf if limit.cold_per_s else limit.heard_at, tracked)
            for tracked in self._servers.all()
            if (limit := tracked.limit) is not None
            and (limit.rate is not None or limit.heard_at > oldest)
        ]
        known.sort(key=lambda pair: -pair[0])
        return [
            msgspec.to_builtins(self._build_report(tracked, 0))
            for _, tracked in known[:MAX_SHARED_LIMITS]
        ]

    def apply_remote(self, hint: Any) -> None:
        """Apply the limits of a peer's exchange."""
        self._apply_reports(msgspec.convert(hint, list[LimitReport]))

    def apply_reports(self, reports: Iterable[LimitReport]) -> None:
        """Apply reports of peers that a datagram has brought."""
        reports = list(reports)
        for report in reports:
            # Old builds number no requests and tell nothing of cold servers, so that
            # this daemon cannot rely on their reports.
            if report.serial:
                self.cold_turns.record_heard(DaemonId(report.daemon))
        self._apply_reports(reports)

    def _apply_reports(self, reports: Iterable[LimitReport]) -> None:
        now = self._clock.seconds()
        for report in reports:
            tracked = self._find(BackendServerId(report.server), report.started_ms)
            if tracked is None:
                continue
            sender = DaemonId(report.daemon)
            heard_at = now - report.age_ms / 1_000
            if report.has_demand:
                self.cold_turns.record_peer_demand(sender, tracked.entry.service)
            self.on_peer_report(tracked, report)
            self._apply(tracked, report.per_s or None, heard_at, sender)
            if tracked.limit is not None:
                limit = tracked.limit
                for _ in range(limit.count_unseen(sender, report.serial, report.sends)):
                    limit.record_send(sender, now)
                self._update_turn(tracked)

    def _find(self, server: BackendServerId, started_ms: int) -> TrackedServer | None:
        tracked = self._servers.get(server)
        is_same = tracked is not None and tracked.entry.started_ms == started_ms
        return tracked if is_same else None

    def _apply(
        self,
        tracked: TrackedServer,
        per_s: float | None,
        heard_at: float,
        source: DaemonId,
    ) -> bool:
        """Apply a limit unless a newer one is known; return whether it changed."""
        known = tracked.limit
        if known is None:
            if per_s is None:
                return False
            known = tracked.limit = ServerLimit(None, heard_at)
        elif heard_at <= known.heard_at:
            return False
        elif per_s is None and known.heard_at == -math.inf:
            # The server was cold and has never named a limit.
            return False
        known.heard_at = heard_at
        if per_s == known.per_s:
            return False
        now = self._clock.seconds()
        log.info(
            "server limit changed",
            extra={
                "server": tracked.entry.id,
                "per_s": per_s,
                "previous_per_s": known.per_s,
                "age_ms": round((now - heard_at) * 1_000),
                "from": source,
            },
        )
        known.set_rate(per_s, now)
        self._update_turn(tracked)
        return True

    def _update_turn(self, tracked: TrackedServer) -> None:
        """Set when this daemon may send to the server."""
        limit = tracked.limit
        if limit is None or limit.rate is None:
            tracked.turn_at = -math.inf
            return
        if limit.cold_per_s is not None:
            tracked.turn_at = self.cold_turns.turn_at(
                tracked.entry.id, tracked.entry.service, limit
            )
            return
        peers = self._peers()

        def turn(daemon: DaemonId) -> tuple[float, int]:
            last_sent_at = limit.last_sent_by_daemon.get(daemon, -math.inf)
            return last_sent_at, turn_order(tracked.entry.id, daemon)

        own_turn = turn(self._daemon)
        rank = sum(turn(peer) < own_turn for peer in peers)
        tracked.turn_at = limit.opens_at() + min(rank, MAX_TURNS) * TURN_S

    def _build_report(self, tracked: TrackedServer, sends: int) -> LimitReport:
        limit = tracked.limit
        assert limit is not None
        age_ms = (self._clock.seconds() - limit.heard_at) * 1_000
        return LimitReport(
            self._daemon,
            tracked.entry.id,
            tracked.entry.started_ms,
            limit.per_s or 0.0,
            round(min(age_ms, NEVER_NAMED_AGE_MS)),
            sends,
            limit.serial,
            *self.describe_cold(tracked),
            self.cold_turns.has_demand(tracked.entry.service),
        )


__all__ = ["LimitReport", "RateLimits"]
