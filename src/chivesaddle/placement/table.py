"""What this daemon knows of each backend server."""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import BackendServerId, ModelId, ServiceId
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.serving_model import PartId, ServerEntry, ServerState

# Consecutive failures before a server is ejected, and for how long: doubled each time.
EJECT_AFTER = 2
EJECT_FIRST_S = 0.5
EJECT_MOST_S = 4.0
# Weight of the newest outcome in a server's failure rate.
FAILURE_WEIGHT = 0.15
# An entry that lapsed while the store was away is written again within 2 s of the
# store's return. Half a second of the drain bound is left for the news to arrive.
LAPSED_S = 1.5
# Parts remembered for a server; an engine holds about 60 large ones.
MAX_PARTS = 512
# A load report says little after this; requests of the sheets last about 0.5 s.
LOAD_USEFUL_S = 2.0
# An engine that refuses for an order in progress is passed over for this long; loading
# takes 0.4 s.
BUSY_S = 0.3

log = PartLogger("servers")


class Outcome(Enum):
    """How an exchange with a server ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    REFUSED = "refused"


@dataclass(slots=True)
class Flight:
    """A request of this daemon at a server.

    Attributes
    ----------
    unread_tokens : int
        Prompt tokens that the server reads before the first event; 0 after it.
    memory_tokens : int
        Tokens of memory that the request takes.
    """

    sent_at: float
    unread_tokens: int
    memory_tokens: int


@dataclass(frozen=True, slots=True)
class Load:
    """Requests of all daemons at a server, as `Flight` counts them."""

    requests: int
    unread_tokens: int
    memory_tokens: int


@dataclass(slots=True)
class TrackedServer:
    """A backend server with this daemon's observations; times of the own clock.

    Attributes
    ----------
    in_flight : dict
        This daemon's unfinished requests by a serial number.
    peer_loads : dict
        What each peer has at the server, and until when that holds.
    unanswered : dict
        The same for requests without any byte of an answer.
    failure_rate : float
        Moving average of failed exchanges, 0 to 1.
    running, waiting : int
        Last reported load, as of ``load_at``.
    """

    entry: ServerEntry
    version_by_model: dict[ModelId, int]
    in_flight: dict[int, Flight] = field(default_factory=dict)
    peer_loads: dict[str, tuple[Load, float]] = field(default_factory=dict)
    unanswered: dict[int, float] = field(default_factory=dict)
    last_heard_at: float = 0.0
    running: int = 0
    waiting: int = 0
    load_at: float = -1e9
    failure_rate: float = 0.0
    failures_in_row: int = 0
    ejected_until: float = 0.0
    busy_until: float = 0.0
    lapses_at: float | None = None
    sent_parts: OrderedDict[tuple[str, PartId], float] = field(
        default_factory=OrderedDict
    )

    def silent_s(self, now: float) -> float:
        """Return how long the server has left this daemon without any byte."""
        if not self.unanswered:
            return 0.0
        return max(0.0, now - max(self.last_heard_at, min(self.unanswered.values())))

    def own_load(self) -> Load:
        """Return what this daemon has at the server."""
        flights = self.in_flight.values()
        return Load(
            len(flights),
            sum(flight.unread_tokens for flight in flights),
            sum(flight.memory_tokens for flight in flights),
        )

    def load(self, now: float) -> Load:
        """Return what all daemons have at the server.

        A load report that counts more requests than are known of takes their place.
        """
        loads = [self.own_load()]
        loads += [load for load, until in self.peer_loads.values() if until > now]
        requests = sum(load.requests for load in loads)
        weight = max(0.0, 1.0 - (now - self.load_at) / LOAD_USEFUL_S)
        reported = int(weight * (self.running + self.waiting))
        return Load(
            max(requests, reported),
            sum(load.unread_tokens for load in loads),
            sum(load.memory_tokens for load in loads),
        )

    def was_sent(self, scope: str, part: PartId, since: float) -> bool:
        """Tell whether this daemon sent the server a part after ``since``."""
        return self.sent_parts.get((scope, part), -math.inf) >= since

    def remember(self, scope: str, parts: Iterable[PartId], now: float) -> None:
        """Note parts that the server gets to read."""
        for part in parts:
            key = (scope, part)
            self.sent_parts[key] = now
            self.sent_parts.move_to_end(key)
        while len(self.sent_parts) > MAX_PARTS:
            self.sent_parts.popitem(last=False)


class ServerTable:
    """All listed servers by id.

    Parameters
    ----------
    clock : Clock
        Clock of all observations.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Told of each server that proves to be down or to have started anew.
        self.on_down: Callable[[BackendServerId], None] = lambda server: None
        # Told when a server may have got room.
        self.on_room: Callable[[ServiceId], None] = lambda service: None
        self._by_id: dict[BackendServerId, TrackedServer] = {}
        self._serial = 0

    def get(self, server: BackendServerId) -> TrackedServer | None:
        """Return a listed server."""
        return self._by_id.get(server)

    def all(self) -> list[TrackedServer]:
        """Return all listed servers."""
        return list(self._by_id.values())

    def of_service(self, service: ServiceId) -> list[TrackedServer]:
        """Return the servers of a service that take new requests."""
        return [
            tracked
            for tracked in self._by_id.values()
            if tracked.entry.service == service
            and tracked.entry.state is ServerState.READY
        ]

    def oldest_version(self) -> int | None:
        """Return the oldest weight version of all listed servers, or None."""
        versions = [
            version
            for tracked in self._by_id.values()
            for version in tracked.version_by_model.values()
        ]
        return min(versions, default=None)

    def put(self, entry: ServerEntry) -> None:
        """Take over a server's entry; a new run of it starts without a past."""
        known = self._by_id.get(entry.id)
        versions = dict(entry.version_by_model)
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
                },
            )
            self._by_id[entry.id] = TrackedServer(entry, versions)
            return
        if known.entry.state is not entry.state:
            log.info(
                "server changed", extra={"server": entry.id, "state": entry.state.value}
            )
        for model, version in known.version_by_model.items():
            # The list lags behind what the server itself has said.
            versions[model] = max(version, versions.get(model, 0))
        known.entry = entry
        known.version_by_model = versions
        known.lapses_at = None

    def remove(self, server: BackendServerId, *, may_have_lapsed: bool) -> None:
        """Drop a server; one that may have lapsed with the store away stays shortly."""
        known = self._by_id.get(server)
        if known is None:
            return
        if may_have_lapsed and known.entry.state is ServerState.READY:
            if known.lapses_at is None:
                known.lapses_at = self._clock.seconds() + LAPSED_S
                self._clock.callLater(LAPSED_S, self._expire, server)
            return
        log.info("server gone", extra={"server": server})
        if known.entry.state is ServerState.READY:
            self.on_down(server)
        del self._by_id[server]

    def record_send(
        self, server: BackendServerId, unread_tokens: int = 0, memory_tokens: int = 0
    ) -> int:
        """Note a request that is about to be sent; return its serial number."""
        self._serial += 1
        tracked = self._by_id.get(server)
        if tracked is not None:
            now = self._clock.seconds()
            tracked.in_flight[self._serial] = Flight(now, unread_tokens, memory_tokens)
            tracked.unanswered[self._serial] = now
        return self._serial

    def record_heard(self, server: BackendServerId, serial: int) -> None:
        """Note bytes of an answer."""
        tracked = self._by_id.get(server)
        if tracked is not None:
            tracked.unanswered.pop(serial, None)
            tracked.last_heard_at = self._clock.seconds()

    def record_first_event(self, server: BackendServerId, serial: int) -> None:
        """Note that a request's prompt has been read."""
        tracked = self._by_id.get(server)
        flight = None if tracked is None else tracked.in_flight.get(serial)
        if flight is not None:
            flight.unread_tokens = 0

    def record_load(
        self, server: BackendServerId, running: int, waiting: int, age_s: float = 0.0
    ) -> None:
        """Note a server's load unless a newer report is known."""
        tracked = self._by_id.get(server)
        at = self._clock.seconds() - age_s
        if tracked is not None and at > tracked.load_at:
            tracked.running = running
            tracked.waiting = waiting
            tracked.load_at = at

    def record_version(
        self, server: BackendServerId, model: ModelId, version: int
    ) -> None:
        """Note the weight version that a server has told of itself."""
        tracked = self._by_id.get(server)
        if tracked is not None and version > tracked.version_by_model.get(model, 0):
            tracked.version_by_model[model] = version

    def record_busy(self, server: BackendServerId) -> None:
        """Note a refusal of a server that is full or carries out an order."""
        tracked = self._by_id.get(server)
        if tracked is not None:
            tracked.busy_until = self._clock.seconds() + BUSY_S

    def record_end(
        self, server: BackendServerId, serial: int, outcome: Outcome | None
    ) -> None:
        """Note the end of an exchange; ``None`` if the caller left."""
        tracked = self._by_id.get(server)
        if tracked is None:
            return
        tracked.in_flight.pop(serial, None)
        tracked.unanswered.pop(serial, None)
        self._clock.callLater(0, self.on_room, tracked.entry.service)
        match outcome:
            case None | Outcome.REFUSED:
                return
            case Outcome.ANSWERED:
                tracked.failures_in_row = 0
                tracked.ejected_until = 0.0
                failed = 0.0
            case Outcome.FAILED:
                failed = 1.0
            case Outcome.BROKEN | Outcome.UNREACHABLE:
                failed = 1.0
                tracked.failures_in_row += 1
                if outcome is Outcome.UNREACHABLE:
                    tracked.failures_in_row = max(EJECT_AFTER, tracked.failures_in_row)
                    self.on_down(server)
                self._eject(tracked)
        rate = tracked.failure_rate
        tracked.failure_rate = rate + FAILURE_WEIGHT * (failed - rate)

    def loads(self, max_age_s: float) -> dict[str, tuple[int, int, int]]:
        """Return running, waiting and age in ms of fresh load reports, for peers."""
        now = self._clock.seconds()
        return {
            str(server): (t.running, t.waiting, int((now - t.load_at) * 1_000))
            for server, t in self._by_id.items()
            if now - t.load_at <= max_age_s
        }

    def learn_loads(self, hint: Any) -> None:
        """Take over load reports of a peer."""
        for server, (running, waiting, age_ms) in hint.items():
            self.record_load(BackendServerId(server), running, waiting, age_ms / 1_000)

    def _eject(self, tracked: TrackedServer) -> None:
        if tracked.failures_in_row < EJECT_AFTER:
            return
        doublings = min(tracked.failures_in_row - EJECT_AFTER, 6)
        seconds = min(EJECT_MOST_S, EJECT_FIRST_S * 2**doublings)
        tracked.ejected_until = self._clock.seconds() + seconds
        log.warning(
            "server ejected",
            extra={
                "server": tracked.entry.id,
                "failures_in_row": tracked.failures_in_row,
                "for_ms": int(seconds * 1_000),
            },
        )

    def _expire(self, server: BackendServerId) -> None:
        known = self._by_id.get(server)
        if known is not None and known.lapses_at is not None:
            self.remove(server, may_have_lapsed=False)


__all__ = ["Outcome", "ServerTable", "TrackedServer"]
