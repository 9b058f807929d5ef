"""What the daemons know of routes, services and backend servers on the platform.

These types are shared by the slices that serve requests; the adapter builds them.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from chivesaddle.core.ids import AccountId, BackendServerId, ModelId, ServiceId, ZoneId

RouteId = NewType("RouteId", str)
CallerKey = NewType("CallerKey", str)
PartId = NewType("PartId", str)


class RouteKind(Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


class ServerState(Enum):
    """What a backend server says of itself in the list of servers."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and path go, and within which limits.

    Attributes
    ----------
    weight_by_service : mapping
        Share of requests by service; weights need not add up to anything.
    timeout_s : float
        Longest time a caller may be kept waiting.
    target_s : float
        Time within which an answer (a stream's first event) is on time.
    attempts : int
        Backend servers to which one request may be sent.
    may_resume : bool
        Whether a broken stream may be continued by another run.
    """

    id: RouteId
    host: str
    path_prefix: str
    kind: RouteKind
    weight_by_service: Mapping[ServiceId, float]
    timeout_s: float
    target_s: float
    attempts: int
    priority: int
    is_anonymous: bool
    may_resume: bool

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.may_resume
        )


@dataclass(frozen=True, slots=True)
class EngineFigures:
    """What the configuration says of a service's model engines.

    Attributes
    ----------
    slots : int
        Requests that one engine runs at once.
    memory_tokens : int
        Tokens that an engine's memory holds.
    token_bytes : int
        Bytes of KV cache per token.
    link_mbit_s : float
        Rate at which an engine moves KV cache.
    event_readers : int
        Waiting calls for cache events that an engine accepts at once.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    link_mbit_s: float
    event_readers: int


@dataclass(frozen=True, slots=True)
class KvStore:
    """A store of KV cache that backend servers save to and fetch from."""

    id: ServiceId
    address: str
    zone: ZoneId
    memory_tokens: int
    link_mbit_s: float
    first_s: float


@dataclass(frozen=True, slots=True)
class Service:
    """A group of backend servers that serve the same requests."""

    id: ServiceId
    engine: EngineFigures | None


@dataclass(frozen=True, slots=True)
class Account:
    """A client account; a priority of its own goes before the route's."""

    id: AccountId
    priority: int | None
    is_isolated: bool


@dataclass(frozen=True, slots=True)
class CallerLimitFigures:
    """What callers may send; sizes in bytes, times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration in full."""

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services_by_id: Mapping[ServiceId, Service]
    stores_by_id: Mapping[ServiceId, KvStore]
    accounts_by_key: Mapping[CallerKey, Account]
    has_accounts: bool
    limits: CallerLimitFigures = field(default_factory=CallerLimitFigures)

    def find_route(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of the target's path."""
        path = target.partition("?")[0]
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A backend server as the platform lists it.

    Attributes
    ----------
    version_by_model : mapping
        Weight version of each loaded model; empty for servers without models.
    started_ms : int
        When this run of the server started, in Unix milliseconds; 0 if it is not told.
    """

    id: BackendServerId
    service: ServiceId
    address: str
    zone: ZoneId
    slots: int
    state: ServerState
    version_by_model: Mapping[ModelId, int]
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class WeightVersionNamed:
    """The version of a model's weights that servers are to run."""

    model: ModelId
    version: int


__all__ = [
    "Account",
    "CallerKey",
    "CallerLimitFigures",
    "Configuration",
    "EngineFigures",
    "KvStore",
    "PartId",
    "Route",
    "RouteId",
    "RouteKind",
    "ServerEntry",
    "ServerState",
    "Service",
    "WeightVersionNamed",
]
