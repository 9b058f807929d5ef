"""Per-server state that this daemon has observed or received from its peers."""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import BackendServerId, ModelId, ServiceId, ZoneId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.serving_model import PromptPartId, ServerEntry, ServerState
from chivesaddle.placement.load import (
    InFlightRequest,
    InFlightRequests,
    Load,
    PeerLoads,
)
from chivesaddle.placement.paths import ServerPath
from chivesaddle.placement.server_index import ServerIndex
from chivesaddle.placement.server_limit import ServerLimit
from chivesaddle.placement.speed import ServerSpeed, with_report

# Consecutive failures after which a server is ejected. The duration of the ejection
# doubles with each further failure.
EJECT_AFTER_FAILURES = 2
MIN_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
# Requests without a response byte of which each server keeps how long they waited.
MAX_GIVEN_UP = 8
# Weight of the newest outcome in a server's failure rate.
LATEST_OUTCOME_WEIGHT = 0.15
# A server whose entry expired while the store was unavailable writes it again within
# 2 s of the store's return. The grace period is 0.5 s shorter than the time limit for
# draining, because the notification of a removal also takes time.
REMOVAL_GRACE_S = 1.5
NEVER = -math.inf
# More than any request takes.
UNLIMITED_TOKENS = 1 << 62
# Servers that are remembered after they left the list.
MAX_DEPARTED = 1_024
# Prompt parts recorded per server; an engine caches about 60 large ones.
MAX_SENT_PARTS = 512
# The weight of a load report falls to 0 over this time; requests last about 0.5 s.
LOAD_REPORT_LIFETIME_S = 2.0
# Time for which a server counts as busy after it refused a request because it is full
# or executes a load order. Loading weights takes 0.4 s.
BUSY_DURATION_S = 0.3
# A server that does not accept a connection counts as down only if this daemon has had
# contact with another one this long afterwards. Otherwise its own link may be down.
DOWN_AFTER_S = 0.5

log = ComponentLogger("servers")


class ExchangeOutcome(Enum):
    """Result of an exchange with a server."""

    ANSWERED = "answered"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    REFUSED = "refused"


@dataclass(slots=True)
class TrackedServer:
    """A backend server with this daemon's observations.

    All times are of the local clock.

    Attributes
    ----------
    in_flight : InFlightRequests
        This daemon's unfinished requests by serial number.
    peer_loads : PeerLoads
        Load that each peer has at the server, and until when that is valid.
    unanswered : dict
        Send times of requests without any response byte, by serial number; the oldest
        is first.
    given_up : list
        When the latest requests that ended without any response byte were sent, and
        when they ended; none from before the server's last byte.
    limit : ServerLimit or None
        Limit on the requests of all daemons together, if the server has named one.
    turn_at : float
        When the limit allows this daemon's next request.
    refuses_until : float
        Until when the server has asked this daemon to send nothing.
    has_invalid_header : bool
        Whether an invalid header of the server was logged.
    failure_rate : float
        Exponential moving average of failed exchanges, 0 to 1.
    running, waiting : int
        Requests that the server last reported, as of ``load_at``.
    path : ServerPath
        Whether this daemon can open connections to the server.
    assumed_models : set
        Models whose recorded version the server has not confirmed.
    speed : ServerSpeed or None
        Speed of the server, if it has reported any work time.
    """

    entry: ServerEntry
    version_by_model: dict[ModelId, int]
    in_flight: InFlightRequests = field(default_factory=InFlightRequests)
    peer_loads: PeerLoads = field(default_factory=PeerLoads)
    unanswered: dict[int, float] = field(default_factory=dict)
    given_up: list[tuple[float, float]] = field(default_factory=list)
    last_byte_at: float = -math.inf
    running: int = 0
    waiting: int = 0
    load_at: float = -1e9
    failure_rate: float = 0.0
    failures_in_row: int = 0
    ejected_until: float = 0.0
    busy_until: float = 0.0
    remove_at: float | None = None
    limit: ServerLimit | None = None
    turn_at: float = -math.inf
    refuses_until: float = -math.inf
    has_invalid_header: bool = False
    sent_parts: OrderedDict[tuple[str, PromptPartId], float] = field(
        default_factory=OrderedDict
    )
    path: ServerPath = field(default_factory=ServerPath)
    assumed_models: set[ModelId] = field(default_factory=set)
    speed: ServerSpeed | None = None

    @property
    def closed_until(self) -> float:
        """When this daemon may send the next request to the server."""
        return max(self.turn_at, self.refuses_until)

    def unresponsive_s(self, now: float) -> float:
        """Return how long responses have been pending without any received byte."""
        for oldest_sent_at in self.unanswered.values():
            last_byte_at = self.last_byte_at
            since = last_byte_at if last_byte_at > oldest_sent_at else oldest_sent_at
            return now - since if now > since else 0.0
        return 0.0

    def silent_s(self, now: float) -> float:
        """Return how long no byte has arrived for any of this daemon's requests."""
        if len(self.unanswered) >= self.in_flight.count:
            return self.unresponsive_s(now)
        return now - self.last_byte_at

    @property
    def last_contact_at(self) -> float:
        """When the server last sent a byte or accepted a connection."""
        return max(self.last_byte_at, self.path.connected_at)

    def own_load(self, now: float) -> Load:
        """Return the load that this daemon has at the server."""
        if self.path.lost_at is not None:
            return self.in_flight.total_on_lost_path(now)
        return self.in_flight.total()

    def load(self, now: float) -> Load:
        """Return the load that all daemons have at the server; see `load_totals`."""
        return Load(*self.load_totals(now))

    def load_totals(self, now: float) -> tuple[int, int, int]:
        """Return the fields of the server's `Load`.

        The request count is the server's own report, weighted by age, where that is
        higher than the count over all known daemons.
        """
        own, peers = self.in_flight, self.peer_loads
        requests, unread_tokens, memory_tokens = (
            peers.latest_total if now < peers.expire_at else peers.total(now)
        )
        if self.path.lost_at is None:
            requests += own.count
            unread_tokens += own.unread_tokens
            memory_tokens += own.memory_tokens
        else:
            own_load = self.own_load(now)
            requests += own_load.requests
            unread_tokens += own_load.unread_tokens
            memory_tokens += own_load.memory_tokens
        reported = self.running + self.waiting
        if reported:
            age_s = now - self.load_at
            if age_s < LOAD_REPORT_LIFETIME_S:
                weight = 1.0 - age_s / LOAD_REPORT_LIFETIME_S
                requests = max(requests, int(weight * reported))
        return requests, unread_tokens, memory_tokens

    def was_sent(self, scope: str, part: PromptPartId, since: float) -> bool:
        """Return whether this daemon sent the server a part at or after ``since``."""
        return self.sent_parts.get((scope, part), NEVER) >= since

    def sent_since(
        self, scope: str, parts: Iterable[PromptPartId], since: float
    ) -> frozenset[PromptPartId]:
        """Return the parts that this daemon sent the server at or after ``since``."""
        sent_at = self.sent_parts
        if not sent_at:
            return frozenset()
        return frozenset(
            [part for part in parts if sent_at.get((scope, part), NEVER) >= since]
        )

    def record_sent_parts(
        self, scope: str, parts: Iterable[PromptPartId], now: float
    ) -> None:
        """Record prompt parts that are sent to the server."""
        for part in parts:
            key = (scope, part)
            self.sent_parts[key] = now
            self.sent_parts.move_to_end(key)
        while len(self.sent_parts) > MAX_SENT_PARTS:
            self.sent_parts.popitem(last=False)


class ServerTable:
    """Table of all listed servers by id.

    Parameters
    ----------
    clock : Clock
        Clock of all observations.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Called for each server that is found to be down or restarted.
        self.on_down: Callable[[BackendServerId], None] = lambda server: None
        # Called when a server does not accept connections of this daemon any more.
        self.on_path_lost: Callable[[ServerEntry], None] = lambda entry: None
        # Called when bytes arrive again on a path that was lost for silence.
        self.on_silence_ended: Callable[[ServerEntry], None] = lambda entry: None
        # Called when a server does so again that did not since the given time.
        self.on_path_regained: Callable[[TrackedServer, float], None] = lambda _, s: (
            None
        )
        # Called before servers are chosen from.
        self.before_choice: Callable[[], None] = lambda: None
        # Called when a server's response broke.
        self.on_broken: Callable[[TrackedServer], None] = lambda server: None
        # Called when servers of the service may have free capacity, in the next turn of
        # the reactor, so that all changes of one turn cost one call.
        self.on_capacity_freed: Callable[[ServiceId], None] = lambda service: None
        # Called with the entry before and the new one when a server is listed, removed
        # or replaced; None stands for no entry.
        self.on_entry_changed: Callable[
            [ServerEntry | None, ServerEntry | None], None
        ] = lambda previous, entry: None
        # Whether the servers of a zone get no new requests.
        self.is_evacuated: Callable[[ZoneId], bool] = lambda zone: False
        self._by_id: dict[BackendServerId, TrackedServer] = {}
        self._index = ServerIndex(self._by_id, self._takes_new_requests)
        # Start times of servers that said that they are leaving.
        self._leaving: OrderedDict[BackendServerId, int] = OrderedDict()
        # Start times of servers that left the list.
        self._departed: OrderedDict[BackendServerId, int] = OrderedDict()
        self._serial = 0
        # Services for which `on_capacity_freed` is about to be called.
        self._freed_services: set[ServiceId] = set()

    def get(self, server: BackendServerId) -> TrackedServer | None:
        """Return a listed server."""
        return self._by_id.get(server)

    def all(self) -> list[TrackedServer]:
        """Return all listed servers."""
        return list(self._by_id.values())

    def of_service(self, service: ServiceId) -> Sequence[TrackedServer]:
        """Return the servers of a service that take new requests.

        The result is the same object until the list of servers changes.
        """
        self.before_choice()
        return self._index.of_service(service)

    def zone_by_address(self, service: ServiceId) -> Mapping[str, ZoneId]:
        """Return the zones of the servers of a service that take new requests."""
        return self._index.zone_by_address(service)

    @property
    def version(self) -> int:
        """Number that increases with each change of the list of servers."""
        return self._index.version

    def refresh(self) -> None:
        """Apply a change of ``is_evacuated``."""
        self._index.invalidate()

    def _takes_new_requests(self, tracked: TrackedServer) -> bool:
        """Return whether a server takes new requests.

        Call ``self._index.invalidate`` when the result may have changed.
        """
        entry = tracked.entry
        return entry.state is ServerState.READY and not self.is_evacuated(entry.zone)

    def free_memory(
        self, service: ServiceId, memory_tokens: int
    ) -> dict[BackendServerId, int] | None:
        """Return the free memory of each server that can start a request now.

        The result is None if the service has no server.

        Parameters
        ----------
        memory_tokens : int
            Memory of one server in tokens. A server without any request counts as
            unlimited, since it also gets a request that is larger than its memory.
        """
        now = self._clock.seconds()
        servers = self.of_service(service)
        if not servers:
            return None
        available = [s for s in servers if s.ejected_until <= now] or servers
        free_by_id = {}
        for server in available:
            if server.busy_until > now or server.closed_until > now:
                continue
            requests, _, used_tokens = server.load_totals(now)
            if requests >= server.entry.slots:
                continue
            # An idle server takes any request.
            free = memory_tokens - used_tokens if used_tokens else UNLIMITED_TOKENS
            if free > 0:
                free_by_id[server.entry.id] = free
        return free_by_id

    def opens_at(self, service: ServiceId) -> float:
        """Return when a server of the service takes the next request of this daemon.

        Limits and refusals count, load does not.
        """
        return min((s.closed_until for s in self.of_service(service)), default=0.0)

    def oldest_version(self) -> int | None:
        """Return the oldest weight version on any listed server, or None."""
        versions = [
            version
            for tracked in self._by_id.values()
            for version in tracked.version_by_model.values()
        ]
        return min(versions, default=None)

    def has_departed(self, entry: ServerEntry) -> bool:
        """Return whether this start of the server was listed and then removed."""
        return (
            entry.id not in self._by_id
            and self._departed.get(entry.id) == entry.started_ms
        )

    def put(self, entry: ServerEntry, *, may_be_outdated: bool = False) -> None:
        """Add or update a server; a restarted server starts with clean state.

        Parameters
        ----------
        may_be_outdated : bool
            Whether the entry may be older than the known one, because the store has
            returned from a copy. It then does not end a server's draining.
        """
        known = self._by_id.get(entry.id)
        versions = dict(entry.version_by_model)
        is_outdated = (
            may_be_outdated
            and known is not None
            and known.entry.started_ms == entry.started_ms
            and known.entry.state is ServerState.DRAINING
        )
        if is_outdated or self._leaving.get(entry.id) == entry.started_ms:
            entry = replace(entry, state=ServerState.DRAINING)
        if (
            known is None
            or known.entry.address != entry.address
            or known.entry.started_ms != entry.started_ms
        ):
            if known is not None:
                self.on_down(entry.id)
            log.info(
                "server listed",
                extra={
                    "server": entry.id,
                    "service": entry.service,
                    "state": entry.state.value,
                    "software": entry.software_version,
                    "started_ms": entry.started_ms,
                },
            )
            self._by_id[entry.id] = TrackedServer(entry, versions)
            self._index.invalidate()
            self.on_entry_changed(None if known is None else known.entry, entry)
            return
        if known.entry.state is not entry.state:
            log.info(
                "server changed", extra={"server": entry.id, "state": entry.state.value}
            )
        for model, version in known.version_by_model.items():
            # The entry may be older than the version that the server itself reported.
            versions[model] = max(version, versions.get(model, 0))
        previous, known.entry = known.entry, entry
        if previous != entry:
            self._index.invalidate()
        known.version_by_model = versions
        known.remove_at = None
        if (previous.service, previous.software_version) != (
            entry.service,
            entry.software_version,
        ):
            self.on_entry_changed(previous, entry)

    def remove(self, server: BackendServerId, *, may_have_expired: bool) -> None:
        """Remove a server.

        An entry that may have expired because the store was unavailable is kept for
        a grace period.
        """
        known = self._by_id.get(server)
        if known is None:
            return
        if may_have_expired and known.entry.state is ServerState.READY:
            if known.remove_at is None:
                known.remove_at = self._clock.seconds() + REMOVAL_GRACE_S
                self._clock.callLater(REMOVAL_GRACE_S, self._remove_after_grace, server)
            return
        log.info("server gone", extra={"server": server})
        if known.entry.state is ServerState.READY:
            self.on_down(server)
        del self._by_id[server]
        self._index.invalidate()
        self._departed[server] = known.entry.started_ms
        self._departed.move_to_end(server)
        while len(self._departed) > MAX_DEPARTED:
            self._departed.popitem(last=False)
        self.on_entry_changed(known.entry, None)

    def record_send(
        self, server: BackendServerId, unread_tokens: int = 0, memory_tokens: int = 0
    ) -> int:
        """Record a request that is about to be sent; return its serial number."""
        self._serial += 1
        tracked = self._by_id.get(server)
        if tracked is not None:
            now = self._clock.seconds()
            tracked.in_flight.add(
                self._serial, InFlightRequest(now, unread_tokens, memory_tokens, now)
            )
            tracked.unanswered[self._serial] = now
        return self._serial

    def record_response_bytes(
        self,
        server: BackendServerId,
        serial: int,
        connected_at: float = math.inf,
        now: float | None = None,
    ) -> None:
        """Record response bytes on a connection that was opened ``connected_at``.

        ``now`` is the current time, if the caller has read the clock already.
        """
        tracked = self._by_id.get(server)
        if tracked is not None:
            if now is None:
                now = self._clock.seconds()
            tracked.unanswered.pop(serial, None)
            tracked.last_byte_at = now
            if tracked.given_up:
                tracked.given_up.clear()
            tracked.path.record_bytes(connected_at, now)
            if tracked.path.awaits_bytes:
                self.record_answer(server)
            tracked.in_flight.record_bytes(serial, now)

    def record_first_event(self, server: BackendServerId, serial: int) -> None:
        """Record that a request's prompt has been prefilled."""
        tracked = self._by_id.get(server)
        if tracked is not None:
            tracked.in_flight.record_first_event(serial)

    def record_connected(self, server: BackendServerId) -> None:
        """Record that the server accepted a connection of this daemon."""
        tracked = self._by_id.get(server)
        if tracked is None:
            return
        lost_at = tracked.path.lost_at
        if tracked.path.record_connected(self._clock.seconds()):
            self._report_regained(tracked, lost_at)

    def record_answer(self, server: BackendServerId) -> None:
        """Record that the server sent a byte, or another one of its silent service."""
        tracked = self._by_id.get(server)
        if tracked is None:
            return
        lost_at = tracked.path.lost_at
        if tracked.path.record_answer(self._clock.seconds()):
            self.on_silence_ended(tracked.entry)
            self._report_regained(tracked, lost_at)

    def _report_regained(self, tracked: TrackedServer, lost_at: float | None) -> None:
        assert lost_at is not None
        after_s = self._clock.seconds() - lost_at
        log.info(
            "path to server regained",
            extra={"server": tracked.entry.id, "after_ms": round(after_s * 1_000)},
        )
        self.on_path_regained(tracked, lost_at)
        self._schedule_capacity_freed(tracked.entry.service)

    def record_connection_failure(self, server: BackendServerId, cause: str) -> None:
        """Record that this daemon could not open a connection to the server."""
        tracked = self._by_id.get(server)
        if tracked is not None and tracked.path.record_failure(self._clock.seconds()):
            self._report_lost(tracked, cause)

    def record_silent_path(self, server: BackendServerId) -> None:
        """Record that no byte of the server arrives although connections open."""
        tracked = self._by_id.get(server)
        if tracked is not None and tracked.path.record_silence(self._clock.seconds()):
            self._report_lost(tracked, "no byte arrives")

    def _report_lost(self, tracked: TrackedServer, cause: str) -> None:
        log.warning(
            "path to server lost",
            extra={
                "server": tracked.entry.id,
                "cause": cause,
                "in_flight": len(tracked.in_flight),
                "lost": len(self.lost_servers()),
                "listed": len(self._by_id),
            },
        )
        self.on_path_lost(tracked.entry)
        self._schedule_capacity_freed(tracked.entry.service)

    def record_replaced(self, server: BackendServerId) -> None:
        """Record that another server responds at the server's address."""
        if server in self._by_id:
            self.on_down(server)

    def has_path(self, service: ServiceId) -> bool:
        """Return whether a server of the service accepts connections of this daemon."""
        return any(s.path.lost_at is None for s in self.of_service(service))

    def lost_servers(self) -> list[TrackedServer]:
        """Return the ready servers that accept no connection of this daemon."""
        return [
            tracked
            for tracked in self._by_id.values()
            if tracked.path.lost_at is not None
            and tracked.entry.state is ServerState.READY
        ]

    def _schedule_capacity_freed(self, service: ServiceId) -> None:
        if service not in self._freed_services:
            self._freed_services.add(service)
            self._clock.callLater(0, self._report_capacity_freed, service)

    def _report_capacity_freed(self, service: ServiceId) -> None:
        self._freed_services.discard(service)
        self.on_capacity_freed(service)

    def _check_down(self, unreachable: TrackedServer, since: float) -> None:
        """Report a server as down that other servers have outlived."""
        if unreachable.last_contact_at > since:
            return
        others = (s for s in self._by_id.values() if s is not unreachable)
        if any(server.last_contact_at > since for server in others):
            self.on_down(unreachable.entry.id)

    def record_load(
        self,
        server: BackendServerId,
        running: int,
        waiting: int,
        age_s: float = 0.0,
        work_time_percent: int | None = None,
    ) -> None:
        """Record a server's load report unless a newer one is known."""
        tracked = self._by_id.get(server)
        at = self._clock.seconds() - age_s
        if tracked is not None and at > tracked.load_at:
            tracked.running = running
            tracked.waiting = waiting
            tracked.load_at = at
            tracked.speed = with_report(tracked.speed, work_time_percent, at)

    def record_leaving(
        self, server: BackendServerId, started_ms: int, source: str
    ) -> None:
        """Record that a server leaves, which only its next start ends.

        ``source`` says from whom this is known, for the log.
        """
        if self._leaving.get(server) == started_ms:
            return
        self._leaving[server] = started_ms
        self._leaving.move_to_end(server)
        while len(self._leaving) > MAX_DEPARTED:
            self._leaving.popitem(last=False)
        log.info("server leaving", extra={"server": server, "from": source})
        tracked = self._by_id.get(server)
        if tracked is not None and tracked.entry.started_ms == started_ms:
            tracked.entry = replace(tracked.entry, state=ServerState.DRAINING)
            self._index.invalidate()

    def leaving(self) -> dict[BackendServerId, int]:
        """Return the start times of listed servers that said that they leave."""
        return {
            server: started_ms
            for server, started_ms in self._leaving.items()
            if server in self._by_id
        }

    def record_refusal(self, server: BackendServerId, retry_after_s: float) -> None:
        """Record that the server wants no request of this daemon for some time."""
        tracked = self._by_id.get(server)
        if tracked is None:
            return
        tracked.refuses_until = self._clock.seconds() + retry_after_s
        log.info(
            "server refuses requests",
            extra={"server": server, "for_ms": round(retry_after_s * 1_000)},
        )

    def record_invalid_header(self, server: BackendServerId, text: str) -> None:
        """Log a header of a server that has no valid value, once for each start."""
        tracked = self._by_id.get(server)
        if tracked is not None and not tracked.has_invalid_header:
            tracked.has_invalid_header = True
            log.warning(
                "server header ignored", extra={"server": server, "value": text[:40]}
            )

    def record_version(
        self, server: BackendServerId, model: ModelId, version: int
    ) -> None:
        """Record a weight version that the server itself reported."""
        tracked = self._by_id.get(server)
        if tracked is None:
            return
        known = tracked.version_by_model.get(model, 0)
        if version > known or model in tracked.assumed_models:
            tracked.version_by_model[model] = version
            tracked.assumed_models.discard(model)

    def assume_version(
        self, server: BackendServerId, model: ModelId, version: int
    ) -> None:
        """Assume a weight version of a server that refused requests for another one."""
        tracked = self._by_id.get(server)
        if tracked is not None and version > tracked.version_by_model.get(model, 0):
            tracked.version_by_model[model] = version
            tracked.assumed_models.add(model)

    def record_busy(self, server: BackendServerId) -> None:
        """Record that a server is full or executes a load order."""
        tracked = self._by_id.get(server)
        if tracked is not None:
            tracked.busy_until = self._clock.seconds() + BUSY_DURATION_S

    def record_end(
        self, server: BackendServerId, serial: int, outcome: ExchangeOutcome | None
    ) -> None:
        """Record the end of an exchange.

        ``outcome`` is None if the caller disconnected, or the request was taken back,
        before the exchange was complete.
        """
        tracked = self._by_id.get(server)
        if tracked is None:
            return
        tracked.in_flight.remove(serial)
        sent_at = tracked.unanswered.pop(serial, None)
        if sent_at is not None and outcome in (None, ExchangeOutcome.BROKEN):
            tracked.given_up.append((sent_at, self._clock.seconds()))
            del tracked.given_up[:-MAX_GIVEN_UP]
        self._schedule_capacity_freed(tracked.entry.service)
        match outcome:
            case None | ExchangeOutcome.REFUSED:
                return
            case ExchangeOutcome.ANSWERED:
                tracked.failures_in_row = 0
                tracked.ejected_until = 0.0
                failed = 0.0
            case ExchangeOutcome.FAILED:
                failed = 1.0
            case ExchangeOutcome.BROKEN | ExchangeOutcome.UNREACHABLE:
                failed = 1.0
                tracked.failures_in_row += 1
                if outcome is ExchangeOutcome.BROKEN:
                    self.on_broken(tracked)
                if outcome is ExchangeOutcome.UNREACHABLE:
                    tracked.failures_in_row = max(
                        EJECT_AFTER_FAILURES, tracked.failures_in_row
                    )
                    self._clock.callLater(
                        DOWN_AFTER_S, self._check_down, tracked, self._clock.seconds()
                    )
                self._eject(tracked)
        rate = tracked.failure_rate
        tracked.failure_rate = rate + LATEST_OUTCOME_WEIGHT * (failed - rate)

    def loads(self, max_age_s: float) -> dict[str, tuple[int, int, int]]:
        """Return recent load reports for peers: running, waiting and age in ms."""
        now = self._clock.seconds()
        return {
            str(server): (t.running, t.waiting, int((now - t.load_at) * 1_000))
            for server, t in self._by_id.items()
            if now - t.load_at <= max_age_s
        }

    def merge_peer_loads(self, hint: Any) -> None:
        """Merge the load reports of a peer."""
        for server, (running, waiting, age_ms) in hint.items():
            self.record_load(BackendServerId(server), running, waiting, age_ms / 1_000)

    def _eject(self, tracked: TrackedServer) -> None:
        if tracked.failures_in_row < EJECT_AFTER_FAILURES:
            return
        doublings = min(tracked.failures_in_row - EJECT_AFTER_FAILURES, 6)
        seconds = min(MAX_EJECTION_S, MIN_EJECTION_S * 2**doublings)
        tracked.ejected_until = self._clock.seconds() + seconds
        log.warning(
            "server ejected",
            extra={
                "server": tracked.entry.id,
                "failures_in_row": tracked.failures_in_row,
                "for_ms": int(seconds * 1_000),
            },
        )

    def _remove_after_grace(self, server: BackendServerId) -> None:
        known = self._by_id.get(server)
        if known is not None and known.remove_at is not None:
            self.remove(server, may_have_expired=False)


__all__ = ["ExchangeOutcome", "ServerTable", "TrackedServer"]
