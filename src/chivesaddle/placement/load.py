"""Load of a server: this daemon's requests in flight, and what its peers report.

Totals are kept as requests and reports change, because each choice of a server reads
the load of all servers.
"""

import math
from dataclasses import dataclass

# A request without a byte for this long on a lost path does not load the server: either
# the request or its response is lost.
SILENT_ON_LOST_PATH_S = 0.5


@dataclass(slots=True)
class InFlightRequest:
    """A request that this daemon has sent to a server and that has not ended.

    Attributes
    ----------
    unread_tokens : int
        Prompt tokens that the server has to prefill; 0 after the first event.
    memory_tokens : int
        Tokens of server memory that the request takes at most.
    last_byte_at : float
        When the last byte of the response arrived, or the request was sent.
    """

    sent_at: float
    unread_tokens: int
    memory_tokens: int
    last_byte_at: float


@dataclass(frozen=True, slots=True)
class Load:
    """Totals over the in-flight requests at a server; see `InFlightRequest`."""

    requests: int
    unread_tokens: int
    memory_tokens: int

    def log_fields(self) -> dict[str, int]:
        """Return the totals by name; `dataclasses.asdict` copies each one."""
        return {
            "requests": self.requests,
            "unread_tokens": self.unread_tokens,
            "memory_tokens": self.memory_tokens,
        }


class InFlightRequests:
    """Unfinished requests of this daemon at one server, by serial number."""

    __slots__ = ("_by_serial", "count", "memory_tokens", "unread_tokens")

    def __init__(self) -> None:
        self._by_serial: dict[int, InFlightRequest] = {}
        self.count = 0
        self.unread_tokens = 0
        self.memory_tokens = 0

    def __len__(self) -> int:
        return self.count

    def add(self, serial: int, request: InFlightRequest) -> None:
        """Add a request that is about to be sent."""
        self._by_serial[serial] = request
        self.count += 1
        self.unread_tokens += request.unread_tokens
        self.memory_tokens += request.memory_tokens

    def record_bytes(self, serial: int, now: float) -> None:
        """Record that response bytes have arrived."""
        request = self._by_serial.get(serial)
        if request is not None:
            request.last_byte_at = now

    def record_first_event(self, serial: int) -> None:
        """Record that a request's prompt has been prefilled."""
        request = self._by_serial.get(serial)
        if request is not None:
            self.unread_tokens -= request.unread_tokens
            request.unread_tokens = 0

    def remove(self, serial: int) -> None:
        """Remove a request that has ended."""
        request = self._by_serial.pop(serial, None)
        if request is not None:
            self.count -= 1
            self.unread_tokens -= request.unread_tokens
            self.memory_tokens -= request.memory_tokens

    def total(self) -> Load:
        """Return the load of all requests."""
        return Load(self.count, self.unread_tokens, self.memory_tokens)

    def total_on_lost_path(self, now: float) -> Load:
        """Return the load of the requests that were not silent lately."""
        requests = [
            request
            for request in self._by_serial.values()
            if request.last_byte_at > now - SILENT_ON_LOST_PATH_S
        ]
        return Load(
            len(requests),
            sum(request.unread_tokens for request in requests),
            sum(request.memory_tokens for request in requests),
        )


class PeerLoads:
    """Load that each peer has at one server, and until when that is valid.

    Attributes
    ----------
    latest_total : tuple of int
        Result of `total` as long as no load has expired.
    expire_at : float
        No load expires before this time.
    """

    __slots__ = ("_by_peer", "expire_at", "latest_total")

    def __init__(self) -> None:
        self._by_peer: dict[str, tuple[Load, float]] = {}
        self.latest_total = (0, 0, 0)
        self.expire_at = math.inf

    def __setitem__(self, peer: str, load_until: tuple[Load, float]) -> None:
        load, until = load_until
        requests, unread_tokens, memory_tokens = self.latest_total
        known = self._by_peer.get(peer)
        if known is not None:
            previous = known[0]
            requests -= previous.requests
            unread_tokens -= previous.unread_tokens
            memory_tokens -= previous.memory_tokens
        self._by_peer[peer] = load_until
        self.latest_total = (
            requests + load.requests,
            unread_tokens + load.unread_tokens,
            memory_tokens + load.memory_tokens,
        )
        if until < self.expire_at:
            self.expire_at = until

    def pop(self, peer: str) -> None:
        """Remove the load of a peer, if it has any."""
        known = self._by_peer.pop(peer, None)
        if known is not None:
            requests, unread_tokens, memory_tokens = self.latest_total
            self.latest_total = (
                requests - known[0].requests,
                unread_tokens - known[0].unread_tokens,
                memory_tokens - known[0].memory_tokens,
            )

    def total(self, now: float) -> tuple[int, int, int]:
        """Return requests, unread and memory tokens of all peers; expired ones end."""
        if now >= self.expire_at:
            valid = {p: load for p, load in self._by_peer.items() if load[1] > now}
            self._by_peer = valid
            self.latest_total = (
                sum(load.requests for load, _ in valid.values()),
                sum(load.unread_tokens for load, _ in valid.values()),
                sum(load.memory_tokens for load, _ in valid.values()),
            )
            self.expire_at = min((u for _, u in valid.values()), default=math.inf)
        return self.latest_total


__all__ = [
    "InFlightRequest",
    "InFlightRequests",
    "Load",
    "PeerLoads",
]
