"""Configuration of routes, services and backend servers on the platform.

These types are shared by the packages that serve requests; `platform.documents` decodes
them from the platform's documents.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from chivesaddle.core.ids import (
    AccountId,
    BackendServerId,
    ModelId,
    ServiceId,
    SoftwareVersion,
    ZoneId,
)

RouteId = NewType("RouteId", str)
CallerKey = NewType("CallerKey", str)
PromptPartId = NewType("PromptPartId", str)

# Software version of servers whose entry names none.
UNKNOWN_SOFTWARE = SoftwareVersion("")


class RouteKind(Enum):
    """Whether the requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


class ServerState(Enum):
    """State that a backend server reports in the list of servers."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Route:
    """Services and limits for the requests of one host and path prefix.

    Attributes
    ----------
    weight_by_service : mapping
        Relative share of the requests of each service; the sum is arbitrary.
    timeout_s : float
        Longest time for which a caller waits for the response.
    target_s : float
        Target time for a response or, for a stream, for its first event.
    attempts : int
        Largest number of backend servers to which one request is sent.
    may_resume : bool
        Whether an interrupted stream may be continued by another run.
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
    allows_anonymous: bool
    may_resume: bool

    @property
    def is_repeatable(self) -> bool:
        """Whether a request that may have run already may run again."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.may_resume
        )


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Configured capacity of the model engines of a service.

    Attributes
    ----------
    slots : int
        Requests that one engine runs concurrently.
    memory_tokens : int
        Tokens of KV cache that fit into the memory of an engine.
    token_bytes : int
        Bytes of KV cache per token.
    link_mbit_s : float
        Rate at which an engine transfers KV cache, in Mbit/s.
    max_event_readers : int
        Concurrent long polls for cache events that an engine accepts.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    link_mbit_s: float
    max_event_readers: int


@dataclass(frozen=True, slots=True)
class KvStore:
    """A store to which backend servers save KV cache and from which they fetch it.

    Attributes
    ----------
    memory_tokens : int
        Capacity of the store in tokens.
    link_mbit_s : float
        Rate at which the store transfers KV cache, in Mbit/s.
    initial_latency_s : float
        Latency in seconds before each KV transfer starts.
    """

    id: ServiceId
    address: str
    zone: ZoneId
    memory_tokens: int
    link_mbit_s: float
    initial_latency_s: float


@dataclass(frozen=True, slots=True)
class ColdStart:
    """How the servers of a service behave after their start.

    Attributes
    ----------
    duration_s : float
        Seconds for which a server is cold.
    per_s : float
        Requests per second that it takes meanwhile, from all daemons together.
    """

    duration_s: float
    per_s: float


@dataclass(frozen=True, slots=True)
class Service:
    """A group of backend servers that serve the same requests.

    ``cold_start`` is None if the servers take any number of requests at once.
    ``health_path`` is the target of health requests, None if the servers answer none.
    """

    id: ServiceId
    engine: EngineSpec | None
    cold_start: ColdStart | None = None
    health_path: str | None = None


@dataclass(frozen=True, slots=True)
class Account:
    """A client account; its priority, if set, overrides that of the route."""

    id: AccountId
    priority: int | None
    is_isolated: bool


@dataclass(frozen=True, slots=True)
class CallerLimitsConfig:
    """Limits on the size and duration of callers' requests."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One complete version of the configuration."""

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services_by_id: Mapping[ServiceId, Service]
    stores_by_id: Mapping[ServiceId, KvStore]
    accounts_by_key: Mapping[CallerKey, Account]
    has_accounts: bool
    limits: CallerLimitsConfig = field(default_factory=CallerLimitsConfig)

    def find_route(self, host: str, target: str) -> Route | None:
        """Return the route of the host with the longest matching path prefix."""
        path = target.partition("?")[0]
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """A backend server in the platform's list of servers.

    Attributes
    ----------
    version_by_model : mapping
        Weight version of each loaded model; empty for servers without models.
    started_ms : int
        Start time of this run of the server, in Unix milliseconds; 0 if unknown.
    software_version : SoftwareVersion
        Version of the server's software, not of weights.
    cold_remaining_s : float or None
        Seconds for which the server said that it is cold when it wrote the entry, not
        checked, and NaN if it is no number; None if the entry does not say.
    """

    id: BackendServerId
    service: ServiceId
    address: str
    zone: ZoneId
    slots: int
    state: ServerState
    version_by_model: Mapping[ModelId, int]
    started_ms: int = 0
    software_version: SoftwareVersion = UNKNOWN_SOFTWARE
    cold_remaining_s: float | None = None


@dataclass(frozen=True, slots=True)
class TargetWeightVersion:
    """The weight version of a model that servers should run."""

    model: ModelId
    version: int


@dataclass(frozen=True, slots=True)
class Evacuation:
    """An operator's wish that a zone's servers get no new requests.

    Attributes
    ----------
    applied_by : str or None
        Who applied it, if the entry says so.
    applied_ms : int or None
        When, in Unix milliseconds, if the entry says so.
    has_valid_value : bool
        Whether the entry's value is an object.
    """

    zone: ZoneId
    applied_by: str | None
    applied_ms: int | None
    has_valid_value: bool


__all__ = [
    "UNKNOWN_SOFTWARE",
    "Account",
    "CallerKey",
    "CallerLimitsConfig",
    "ColdStart",
    "Configuration",
    "EngineSpec",
    "Evacuation",
    "KvStore",
    "PromptPartId",
    "Route",
    "RouteId",
    "RouteKind",
    "ServerEntry",
    "ServerState",
    "Service",
    "TargetWeightVersion",
]
