"""Decodes documents of the platform's store into the types of the serving packages."""

import math
import re
from ipaddress import AddressValueError, IPv4Address
from typing import Annotated, Any

import msgspec
from msgspec import field

from chivesaddle.core.errors import InvalidValue
from chivesaddle.core.ids import (
    AccountId,
    BackendServerId,
    ModelId,
    ServiceId,
    SoftwareVersion,
    ZoneId,
)
from chivesaddle.core.serving_model import (
    Account,
    CallerKey,
    CallerLimitsConfig,
    ColdStart,
    Configuration,
    EngineSpec,
    Evacuation,
    KvStore,
    Route,
    RouteId,
    RouteKind,
    ServerEntry,
    ServerState,
    Service,
    TargetWeightVersion,
)

CONFIG_KIND = "config"
CONFIG_NAME = "main"
# Objects are named by their zones.
EVACUATIONS_KIND = "evacuations"
SERVERS_KIND = "servers"
VERSIONS_KIND = "versions"

_ROUTE_KINDS_BY_NAME = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAM,
}
_PORT_PATTERN = re.compile(r"[0-9]{1,5}")
# Names that fit into a header, by which each request names its server.
_SERVER_NAME_PATTERN = re.compile(r"[!-~\x80-\xff]([ -~\x80-\xff]*[!-~\x80-\xff])?")
MAX_NAME_CHARACTERS = 1_024

# Larger numbers and longer names are errors of a writer. They would fail where they are
# computed with, or be sent to every daemon.
_Integer = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]


class _TrafficShare(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1_000.0
    priority: _Integer = 5
    service: str | None = None
    traffic_split: list[_TrafficShare] = field(default_factory=list)
    attempts: _Integer = 1
    allow_anonymous: bool = False
    allow_resume: bool = False


class _Engine(msgspec.Struct):
    slots: _Integer = 1
    # Capacity of the KV cache in tokens.
    kv_capacity: _Integer = 0
    # KV cache bytes per token.
    kv_token_bytes: _Integer = 0
    link_mbps: float = 1_000.0
    # Highest number of concurrent calls for cache events.
    max_concurrent: _Integer = 1


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None
    health_path: str | None = None
    # Set only for a KV store, which has no entries in the list of backend servers.
    kv_store_address: str | None = None
    zone: str = ""
    # Capacity of the KV store in tokens.
    kv_capacity: _Integer = 0
    link_mbps: float = 1_000.0
    # Latency before each KV transfer starts.
    first_ms: float = 0.0
    # How long a server is cold after its start, and the requests that it takes then.
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Tenant(msgspec.Struct):
    name: str
    keys: list[str] = field(default_factory=list)
    priority: _Integer | None = None
    # Whether the account shares no cached prompt parts with other accounts.
    isolated: bool = False


class _Limits(msgspec.Struct):
    header_bytes: _Integer = 16_384
    body_bytes: _Integer = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Configuration(msgspec.Struct):
    version: _Integer
    routes: list[_Route] = field(default_factory=list)
    services: list[_Service] = field(default_factory=list)
    limits: _Limits = field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _LoadedModel(msgspec.Struct):
    name: _Name
    version: _Integer


class _Server(msgspec.Struct):
    service: _Name
    address: str
    zone: _Name
    slots: _Integer
    state: str
    models: list[_LoadedModel] = field(default_factory=list)
    # Version of the server's software, unlike those of its models' weights.
    version: _Name = ""
    # Time when the server process started, in Unix milliseconds.
    born: _Integer = 0
    # How long the server was still cold when the entry was written. Of any type, since
    # an invalid value must not make the entry unusable.
    cold_remaining_ms: Any = None


class _WeightVersion(msgspec.Struct):
    model: _Name
    version: _Integer


def decode_configuration(value: Any) -> Configuration:
    """Decode the operator's configuration; raises `InvalidValue`."""
    try:
        decoded = msgspec.convert(value, _Configuration)
    except (ValueError, RecursionError) as error:
        raise InvalidValue(f"Configuration is malformed: {error}") from None
    routes_by_host: dict[str, list[Route]] = {}
    for route in decoded.routes:
        if route.kind in _ROUTE_KINDS_BY_NAME:
            routes_by_host.setdefault(route.host.lower(), []).append(_route(route))
    accounts = {
        CallerKey(key): Account(AccountId(t.name), t.priority, t.isolated)
        for t in decoded.tenants or []
        for key in t.keys
    }
    return Configuration(
        version=decoded.version,
        routes_by_host={
            host: tuple(sorted(routes, key=lambda r: -len(r.path_prefix)))
            for host, routes in routes_by_host.items()
        },
        services_by_id={
            ServiceId(s.name): _service(s)
            for s in decoded.services
            if s.kv_store_address is None
        },
        stores_by_id={
            ServiceId(s.name): _store(s, s.kv_store_address)
            for s in decoded.services
            if s.kv_store_address is not None and _is_address(s.kv_store_address)
        },
        accounts_by_key=accounts,
        has_accounts=decoded.tenants is not None,
        limits=CallerLimitsConfig(
            decoded.limits.header_bytes,
            decoded.limits.body_bytes,
            decoded.limits.header_timeout_ms / 1_000,
            decoded.limits.idle_timeout_ms / 1_000,
        ),
    )


def _route(decoded: _Route) -> Route:
    weights = {ServiceId(s.service): s.weight for s in decoded.traffic_split}
    if decoded.service is not None and not weights:
        weights = {ServiceId(decoded.service): 1.0}
    return Route(
        id=RouteId(decoded.name),
        host=decoded.host.lower(),
        path_prefix=decoded.path_prefix,
        kind=_ROUTE_KINDS_BY_NAME[decoded.kind],
        weight_by_service=weights,
        timeout_s=decoded.timeout_ms / 1_000,
        target_s=decoded.target_latency_ms / 1_000,
        attempts=max(1, decoded.attempts),
        priority=decoded.priority,
        allows_anonymous=decoded.allow_anonymous,
        may_resume=decoded.allow_resume,
    )


def _service(decoded: _Service) -> Service:
    engine = decoded.engine
    engine_figures = None
    if engine is not None:
        engine_figures = EngineSpec(
            engine.slots,
            engine.kv_capacity,
            engine.kv_token_bytes,
            engine.link_mbps,
            engine.max_concurrent,
        )
    cold_start = None
    if decoded.cold_start_s > 0 and decoded.cold_per_s > 0:
        cold_start = ColdStart(decoded.cold_start_s, decoded.cold_per_s)
    health_path = decoded.health_path
    if health_path is not None and not health_path.startswith("/"):
        health_path = None
    return Service(ServiceId(decoded.name), engine_figures, cold_start, health_path)


def _store(decoded: _Service, address: str) -> KvStore:
    return KvStore(
        ServiceId(decoded.name),
        address,
        ZoneId(decoded.zone),
        decoded.kv_capacity,
        decoded.link_mbps,
        decoded.first_ms / 1_000,
    )


def decode_server(name: str, value: Any) -> ServerEntry | None:
    """Decode an entry of the list of backend servers; None if it is unusable.

    Other writers may store entries with missing fields, wrong types or unknown states.
    Such an entry is ignored and the others stay valid.
    """
    if len(name) > MAX_NAME_CHARACTERS or not _SERVER_NAME_PATTERN.fullmatch(name):
        return None
    try:
        decoded = msgspec.convert(value, _Server)
        state = ServerState(decoded.state)
    except (ValueError, RecursionError):
        return None
    if not _is_address(decoded.address) or decoded.slots < 1:
        return None
    return ServerEntry(
        id=BackendServerId(name),
        service=ServiceId(decoded.service),
        address=decoded.address,
        zone=ZoneId(decoded.zone),
        slots=decoded.slots,
        state=state,
        version_by_model={ModelId(m.name): m.version for m in decoded.models},
        started_ms=decoded.born,
        software_version=SoftwareVersion(decoded.version),
        cold_remaining_s=_seconds(decoded.cold_remaining_ms),
    )


def _is_address(text: str) -> bool:
    """Return whether a connection to ``ip:port`` can be attempted."""
    host, _, port = text.rpartition(":")
    if not _PORT_PATTERN.fullmatch(port) or not 0 < int(port) < 65_536:
        return False
    try:
        address = IPv4Address(host)
    except AddressValueError:
        return False
    return not (address.is_unspecified or address.is_multicast)


def _seconds(milliseconds: Any) -> float | None:
    """Return a time of any type in seconds, NaN if it is no number."""
    if milliseconds is None:
        return None
    if type(milliseconds) not in (int, float):
        return math.nan
    try:
        return float(milliseconds) / 1_000
    except OverflowError:
        return math.inf


def decode_weight_version(value: Any) -> TargetWeightVersion | None:
    """Decode the weight version named for a model; None if the entry is malformed."""
    try:
        decoded = msgspec.convert(value, _WeightVersion)
    except (ValueError, RecursionError):
        return None
    return TargetWeightVersion(ModelId(decoded.model), decoded.version)


def decode_evacuation(name: str, value: Any) -> Evacuation:
    """Decode an evacuation, which any entry is, whatever its value."""
    fields = value if isinstance(value, dict) else {}
    return Evacuation(
        zone=ZoneId(name),
        applied_by=_convert_or_none(fields.get("applied_by"), _Name),
        applied_ms=_convert_or_none(fields.get("applied_ms"), _Integer),
        has_valid_value=isinstance(value, dict),
    )


def _convert_or_none(value: Any, expected_type: Any) -> Any:
    try:
        return msgspec.convert(value, expected_type)
    except (ValueError, RecursionError):
        return None


def encode_evacuation(applied_by: str, applied_ms: int) -> dict[str, Any]:
    """Return the value of an entry that evacuates a zone."""
    return {"applied_by": applied_by, "applied_ms": applied_ms}


def configuration_version(value: Any) -> int | None:
    """Return the version of a configuration, None if it is unreadable."""
    try:
        version = decode_configuration(value).version
    except InvalidValue:
        return None
    return version if version >= 0 else None


def weight_version_number(value: Any) -> int | None:
    """Return the version in a weight version, None if it is unreadable."""
    decoded = decode_weight_version(value)
    return None if decoded is None or decoded.version < 0 else decoded.version


__all__ = [
    "CONFIG_KIND",
    "CONFIG_NAME",
    "EVACUATIONS_KIND",
    "SERVERS_KIND",
    "VERSIONS_KIND",
    "configuration_version",
    "decode_configuration",
    "decode_evacuation",
    "decode_server",
    "decode_weight_version",
    "encode_evacuation",
    "weight_version_number",
]
