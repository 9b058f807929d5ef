"""Until when each backend server is cold, and the daemons' reports while one is.

A server that has just started takes few requests for some seconds, and crashes under
more. It says for how long, in its entry and in responses to health requests; until it
does, a server that may have restarted is presumed to be cold. `RateLimits` keeps the
rate; this module tells it which servers are cold.
"""

import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from chivesaddle.core.aio import Clock, DelayedCall
from chivesaddle.core.ids import BackendServerId, ServiceId, ZoneId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.serving_model import ColdStart, ServerEntry
from chivesaddle.placement.rate_limits import LimitReport, RateLimits
from chivesaddle.placement.table import ServerTable, TrackedServer

# Servers listed within this time after the first one have not just started: it is this
# daemon that has.
LIST_COMPLETE_S = 3.0
# Entries are written every 1.2 s and may have come by way of other daemons, so that a
# response of less than this time before may be newer.
ENTRY_AGE_S = 1.5
# What a peer reports is older by the time that the report took, and replaces only what
# is older than that.
REPORT_DELAY_S = 0.1
# Interval of reports while a server is cold. From these, daemons know whom they hear.
REPORT_INTERVAL_S = 0.1
# Servers in one such report, which fit into one datagram; the others are in the next.
SERVERS_PER_REPORT = 12
# A daemon that has not reported for this long was stopped, and has heard nobody since.
STOPPED_AFTER_S = 0.3
# A server's own statement up to this age is not replaced by a presumption for its zone.
RECENT_STATEMENT_S = 3.0
# Servers whose start time is remembered, also after they left the list.
MAX_STARTS = 4_096

log = ComponentLogger("cold")


class ColdSource(Enum):
    """Where a cold period is known from."""

    ENTRY = "entry"
    RESPONSE = "response"
    START = "start"
    CONNECTION = "connection"
    EVACUATION = "evacuation"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class ColdPeriod:
    """Cold time of one start of a server; times are of the local clock.

    Attributes
    ----------
    until : float
        End of the period; infinite while the server accepts no connection.
    observed_at : float
        When the server, or what the period is presumed from, was observed.
    lost_at : float or None
        When the server stopped to accept connections, if the period is presumed only
        from that.
    """

    started_ms: int
    until: float
    observed_at: float
    source: ColdSource
    lost_at: float | None = None


class ColdStarts:
    """The cold periods of all listed servers.

    Parameters
    ----------
    clock : Clock
        Clock of all times.
    servers : ServerTable
        Servers and this daemon's paths to them.
    limits : RateLimits
        Keeps the rate of cold servers.
    cold_start_of : callable
        Returns how servers of a service behave after their start, None if as ever.
    is_working : callable
        Returns whether this daemon takes callers, and therefore reports to others.
    """

    def __init__(
        self,
        clock: Clock,
        servers: ServerTable,
        limits: RateLimits,
        cold_start_of: Callable[[ServiceId], ColdStart | None],
        is_working: Callable[[], bool] = lambda: True,
    ) -> None:
        self._clock = clock
        self._servers = servers
        self._limits = limits
        self._cold_start_of = cold_start_of
        self._is_working = is_working
        self._first_entry_at = math.inf
        self._period_by_server: dict[BackendServerId, ColdPeriod] = {}
        self._start_by_server: OrderedDict[BackendServerId, int] = OrderedDict()
        self._ignored_starts: OrderedDict[tuple[BackendServerId, int], None] = (
            OrderedDict()
        )
        self._report_call: DelayedCall | None = None
        self._reported_at = -math.inf
        self._next_reported = 0
        give_up_path = servers.on_path_lost

        def record_path_lost(entry: ServerEntry) -> None:
            give_up_path(entry)
            self._record_path_lost(entry)

        servers.on_path_lost = record_path_lost
        servers.on_path_regained = self._record_path_regained
        servers.before_choice = self._check_stopped
        limits.on_cold_response = self.record_response
        limits.on_peer_report = self._apply_report
        limits.describe_cold = self._describe

    def count(self) -> int:
        """Return the number of cold servers."""
        return len(self._limits.cold_servers())

    def stop(self) -> None:
        """Stop reporting."""
        if self._report_call is not None and self._report_call.active():
            self._report_call.cancel()

    def record_entry(self, entry: ServerEntry) -> None:
        """Record an entry of the list of servers, which the table holds already."""
        now = self._clock.seconds()
        self._first_entry_at = min(self._first_entry_at, now)
        is_new_start = self._start_by_server.get(entry.id) != entry.started_ms
        self._start_by_server[entry.id] = entry.started_ms
        self._start_by_server.move_to_end(entry.id)
        while len(self._start_by_server) > MAX_STARTS:
            self._start_by_server.popitem(last=False)
        tracked = self._find(entry)
        if tracked is None:
            return
        known = self._period(tracked)
        remaining_s = entry.cold_remaining_s
        if remaining_s is None or not self._is_valid(tracked, remaining_s):
            was_listed_later = now - self._first_entry_at > LIST_COMPLETE_S
            if is_new_start and was_listed_later and known is None:
                self._presume(tracked, ColdSource.START)
            return
        if (
            known is not None
            and known.source is ColdSource.CONNECTION
            and now < known.until
        ):
            # The entry may have been written before the server was lost.
            return
        self._observe(tracked, now + remaining_s, now - ENTRY_AGE_S, ColdSource.ENTRY)

    def record_response(self, entry: ServerEntry, remaining_s: float) -> None:
        """Record the cold time that a response of the server names."""
        tracked = self._find(entry)
        now = self._clock.seconds()
        if tracked is not None and self._is_valid(tracked, remaining_s):
            self._observe(tracked, now + remaining_s, now, ColdSource.RESPONSE)

    def presume_cold(self, zone: ZoneId) -> None:
        """Presume that the servers of a zone have just started.

        A server that has said lately whether it is cold is left out.
        """
        now = self._clock.seconds()
        for tracked in self._servers.all():
            if tracked.entry.zone != zone:
                continue
            known = self._period(tracked)
            has_said = known is not None and (
                known.source in (ColdSource.ENTRY, ColdSource.RESPONSE)
                and now - known.observed_at <= RECENT_STATEMENT_S
            )
            is_lost = tracked.path.lost_at is not None
            if not has_said and not is_lost:
                self._presume(tracked, ColdSource.EVACUATION)

    def _record_path_lost(self, entry: ServerEntry) -> None:
        tracked = self._find(entry)
        if tracked is not None:
            now = self._clock.seconds()
            self._observe(tracked, math.inf, now, ColdSource.CONNECTION, now)

    def _record_path_regained(self, tracked: TrackedServer, lost_at: float) -> None:
        if not self._end_if_up(tracked, lost_at):
            self._presume(tracked, ColdSource.CONNECTION, lost_at)

    def _end_if_up(self, tracked: TrackedServer, lost_at: float) -> bool:
        """End a presumption if the server's connections show that it did not end."""
        if not tracked.path.was_up_at(lost_at):
            return False
        now = self._clock.seconds()
        self._observe(tracked, now, now, ColdSource.CONNECTION, lost_at)
        return True

    def _apply_report(self, tracked: TrackedServer, report: LimitReport) -> None:
        """Apply what a peer has found out itself."""
        if report.cold_age_ms < 0 or report.cold_ms < 0:
            return
        now = self._clock.seconds()
        observed_at = now - report.cold_age_ms / 1_000
        known = self._period(tracked)
        if known is not None and observed_at <= known.observed_at + REPORT_DELAY_S:
            return
        lost_at = None
        if report.lost_ms > 0:
            lost_at = observed_at - report.lost_ms / 1_000
            if tracked.path.was_up_at(lost_at):
                # Only the path between the peer and the server was lost.
                return
        until = now + report.cold_ms / 1_000
        self._observe(tracked, until, observed_at, ColdSource.PEER, lost_at)

    def _describe(self, tracked: TrackedServer) -> tuple[int, int, int]:
        """Return what this daemon has found out itself; see `LimitReport`.

        What it was told by others is left out. Otherwise reports would go in circles,
        each time older than they say.
        """
        now = self._clock.seconds()
        known = self._period(tracked)
        if known is None or known.source is ColdSource.PEER or known.until == math.inf:
            return 0, -1, 0
        if known.until <= now and known.source is not ColdSource.RESPONSE:
            return 0, -1, 0
        lost_s = 0.0 if known.lost_at is None else known.observed_at - known.lost_at
        return (
            max(0, round((known.until - now) * 1_000)),
            max(0, round((now - known.observed_at) * 1_000)),
            math.ceil(lost_s * 1_000),
        )

    def _find(self, entry: ServerEntry) -> TrackedServer | None:
        tracked = self._servers.get(entry.id)
        is_same = tracked is not None and tracked.entry.started_ms == entry.started_ms
        return tracked if is_same else None

    def _period(self, tracked: TrackedServer) -> ColdPeriod | None:
        period = self._period_by_server.get(tracked.entry.id)
        is_same = period is not None and period.started_ms == tracked.entry.started_ms
        return period if is_same else None

    def _is_valid(self, tracked: TrackedServer, remaining_s: float) -> bool:
        """Return whether to use a cold time; log the first bad one of each start."""
        cold_start = self._cold_start_of(tracked.entry.service)
        if cold_start is None:
            return False
        if 0 <= remaining_s <= cold_start.duration_s:
            return True
        key = (tracked.entry.id, tracked.entry.started_ms)
        if key not in self._ignored_starts:
            self._ignored_starts[key] = None
            while len(self._ignored_starts) > MAX_STARTS:
                self._ignored_starts.popitem(last=False)
            log.warning(
                "cold time out of range",
                extra={"server": tracked.entry.id, "value_s": str(remaining_s)},
            )
        return remaining_s > cold_start.duration_s

    def _presume(
        self, tracked: TrackedServer, source: ColdSource, lost_at: float | None = None
    ) -> None:
        """Presume that a server has started at this moment."""
        now = self._clock.seconds()
        cold_start = self._cold_start_of(tracked.entry.service)
        if cold_start is not None:
            until = now + cold_start.duration_s
            self._observe(tracked, until, now, source, lost_at)

    def _observe(
        self,
        tracked: TrackedServer,
        until: float,
        observed_at: float,
        source: ColdSource,
        lost_at: float | None = None,
    ) -> None:
        """Apply a cold period unless a newer observation is known."""
        cold_start = self._cold_start_of(tracked.entry.service)
        known = self._period(tracked)
        if cold_start is None:
            return
        if known is not None and observed_at < known.observed_at:
            return
        if until != math.inf or source is not ColdSource.CONNECTION:
            until = min(until, self._clock.seconds() + cold_start.duration_s)
        self._period_by_server[tracked.entry.id] = ColdPeriod(
            tracked.entry.started_ms, until, observed_at, source, lost_at
        )
        self._apply(tracked)

    def _apply(self, tracked: TrackedServer) -> None:
        """Apply the period of a server, and look again when it ends."""
        period = self._period(tracked)
        cold_start = self._cold_start_of(tracked.entry.service)
        now = self._clock.seconds()
        limit = tracked.limit
        previous = None if limit is None else limit.cold_per_s
        is_cold = period is not None and cold_start is not None and now < period.until
        per_s = cold_start.per_s if is_cold and cold_start is not None else None
        if period is not None and is_cold and period.until != math.inf:
            self._clock.callLater(period.until - now, self._apply_end, tracked)
        if per_s == previous:
            return
        self._limits.set_cold_rate(tracked, per_s)
        if per_s is None or previous is None:
            self._log_change(tracked, period, per_s)
        # Others that have had no sign of the change learn of it at once.
        self._limits.report([tracked])
        if per_s is None:
            self._clock.callLater(
                0, self._servers.on_capacity_freed, tracked.entry.service
            )
        elif self._report_call is None:
            self._reported_at = now
            self._report_call = self._clock.callLater(REPORT_INTERVAL_S, self._report)

    def _apply_end(self, tracked: TrackedServer) -> None:
        if self._servers.get(tracked.entry.id) is tracked:
            self._apply(tracked)

    def _log_change(
        self, tracked: TrackedServer, period: ColdPeriod | None, per_s: float | None
    ) -> None:
        now = self._clock.seconds()
        extra: dict[str, object] = {"server": tracked.entry.id, "per_s": per_s}
        if period is not None:
            has_end = period.until != math.inf
            remaining_ms = (
                max(0, round((period.until - now) * 1_000)) if has_end else None
            )
            extra |= {
                "source": period.source.value,
                "remaining_ms": remaining_ms,
                "age_ms": round((now - period.observed_at) * 1_000),
            }
        log.info("server warm" if per_s is None else "server cold", extra=extra)

    def _report(self) -> None:
        """Tell the others of the cold servers in turn."""
        self._report_call = None
        self._check_stopped()
        self._reported_at = self._clock.seconds()
        for tracked in self._limits.cold_servers():
            period = self._period(tracked)
            lost_at = None if period is None else period.lost_at
            if lost_at is not None and tracked.path.lost_at is None:
                self._end_if_up(tracked, lost_at)
            self._apply_configuration(tracked)
        cold = self._limits.cold_servers()
        if not cold:
            return
        if self._is_working():
            first = self._next_reported % len(cold)
            self._next_reported = first + SERVERS_PER_REPORT
            self._limits.report((cold + cold)[first:][:SERVERS_PER_REPORT][: len(cold)])
        self._limits.update_turns(cold)
        self._report_call = self._clock.callLater(REPORT_INTERVAL_S, self._report)

    def _apply_configuration(self, tracked: TrackedServer) -> None:
        """Apply a rate that a new configuration has changed."""
        cold_start = self._cold_start_of(tracked.entry.service)
        limit = tracked.limit
        if limit is not None and (
            cold_start is None or cold_start.per_s != limit.cold_per_s
        ):
            self._apply(tracked)

    def _check_stopped(self) -> None:
        """Start anew after a time in which this daemon did not run."""
        if self._report_call is None and self._reported_at == -math.inf:
            return
        now = self._clock.seconds()
        if now - self._reported_at > STOPPED_AFTER_S and self._report_call is not None:
            self._reported_at = now
            self._limits.cold_turns.forget_heard()
            self._limits.update_turns(self._limits.cold_servers())


__all__ = ["ColdPeriod", "ColdSource", "ColdStarts"]
