"""Typed events of the timeline, and the clock that orders them across processes.

The wall clocks of processes differ, so events are stamped by a hybrid logical clock
(Kulkarni et al., "Logical Physical Clocks", 2014): wall time in microseconds plus a
counter, advanced past every timestamp received from a peer. An event that causes
another one through a message is therefore always ordered before it.
"""

import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, field
from enum import Enum
from typing import Any

from chivesaddle.core.ids import DaemonId

RING_CAPACITY = 20_000


class EventKind(Enum):
    """Type of an event."""

    REQUEST_RECEIVED = "request_received"
    REQUEST_ROUTED = "request_routed"
    REQUEST_REFUSED = "request_refused"
    REQUEST_FIRST_TOKEN = "request_first_token"
    REQUEST_RESUMED = "request_resumed"
    REQUEST_RETRIED = "request_retried"
    REQUEST_FINISHED = "request_finished"
    REQUEST_FAILED = "request_failed"
    KV_IMPORTED = "kv_imported"
    KV_IMPORT_REJECTED = "kv_import_rejected"
    KV_EXPORTED = "kv_exported"
    KV_REPAIRED = "kv_repaired"
    ACTION_CHANGED = "action_changed"
    CONFIG_APPLIED = "config_applied"
    CONFIG_CONFIRMED = "config_confirmed"
    CONFIG_STALE = "config_stale"
    LEASE_CHANGED = "lease_changed"
    MEMBER_CHANGED = "member_changed"
    BACKEND_SERVER_CHANGED = "backend_server_changed"
    SUSPECT_CHANGED = "suspect_changed"
    ORDER_SENT = "order_sent"
    DAEMON_STARTED = "daemon_started"
    DAEMON_DRAINING = "daemon_draining"
    DAEMON_STOPPED = "daemon_stopped"


@dataclass(frozen=True, order=True)
class Timestamp:
    """Hybrid logical timestamp: wall time in microseconds, then a counter."""

    wall_us: int
    counter: int = 0


class HybridClock:
    """Source of increasing timestamps that are greater than all received ones.

    Examples
    --------
    >>> clock = HybridClock(lambda: 1.0)
    >>> clock.now()
    Timestamp(wall_us=1000000, counter=0)
    >>> clock.receive(Timestamp(2000000, 3))
    >>> clock.now()
    Timestamp(wall_us=2000000, counter=4)
    """

    # Received timestamps further ahead than this are ignored, so that a peer with a
    # wrong clock cannot move this one by more.
    MAX_DRIFT_US = 60_000_000

    def __init__(self, wall_s: Callable[[], float] = time.time) -> None:
        self._wall_s = wall_s
        self._last = Timestamp(0, -1)

    def now(self) -> Timestamp:
        """Return a timestamp greater than all earlier and accepted remote ones."""
        wall_us = int(self._wall_s() * 1_000_000)
        if wall_us > self._last.wall_us:
            self._last = Timestamp(wall_us, 0)
        else:
            self._last = Timestamp(self._last.wall_us, self._last.counter + 1)
        return self._last

    def receive(self, remote: Timestamp) -> None:
        """Advance past the timestamp of a peer's message if it is within the limit."""
        limit = int(self._wall_s() * 1_000_000) + self.MAX_DRIFT_US
        if remote > self._last and remote.wall_us <= limit:
            self._last = remote


@dataclass(frozen=True)
class Event:
    """One entry of the timeline; ``detail`` has JSON values and no secrets."""

    at: Timestamp
    daemon: DaemonId
    kind: EventKind
    request: str = ""
    account: str = ""
    object: str = ""
    revision: int = 0
    detail: dict[str, Any] = field(default_factory=dict)

    def to_json(self) -> dict[str, Any]:
        """Return the event as plain JSON values."""
        return asdict(self) | {"kind": self.kind.value}

    @classmethod
    def from_json(cls, data: dict[str, Any]) -> "Event":
        """Build an event from the result of `to_json`."""
        return cls(
            **{
                **data,
                "at": Timestamp(**data["at"]),
                "kind": EventKind(data["kind"]),
            }
        )


@dataclass(frozen=True)
class EventFilter:
    """Criteria to select events; an empty field matches every event."""

    request: str = ""
    account: str = ""
    object: str = ""
    after: Timestamp = Timestamp(0, -1)
    limit: int = 1_000

    def matches(self, event: Event) -> bool:
        """Return whether ``event`` matches all criteria."""
        return (
            event.at > self.after
            and self.request in ("", event.request)
            and self.account in ("", event.account)
            and self.object in ("", event.object)
        )


class EventRing:
    """The latest events of this daemon; beyond the capacity the oldest are dropped."""

    def __init__(
        self,
        daemon: DaemonId,
        clock: HybridClock | None = None,
        capacity: int = RING_CAPACITY,
    ) -> None:
        self.daemon = daemon
        self.clock = clock or HybridClock()
        self._events: deque[Event] = deque(maxlen=capacity)

    def record(
        self,
        kind: EventKind,
        *,
        request: str = "",
        account: str = "",
        object: str = "",
        revision: int = 0,
        **detail: Any,
    ) -> Event:
        """Append an event with the current hybrid timestamp and return it."""
        event = Event(
            self.clock.now(),
            self.daemon,
            kind,
            request=request,
            account=account,
            object=object,
            revision=revision,
            detail=detail,
        )
        self._events.append(event)
        return event

    def select(self, wanted: EventFilter) -> list[Event]:
        """Return the last ``wanted.limit`` matching events, oldest first."""
        matching = [event for event in self._events if wanted.matches(event)]
        return matching[-wanted.limit :]

    def __iter__(self) -> Iterator[Event]:
        return iter(self._events)


__all__ = [
    "Event",
    "EventFilter",
    "EventKind",
    "EventRing",
    "HybridClock",
    "Timestamp",
]
