"""Documents of the platform's store, decoded into the types of the serving slices."""

import re
from typing import Any

import msgspec
from msgspec import field

from chivesaddle.core.errors import InvalidValue
from chivesaddle.core.ids import AccountId, BackendServerId, ModelId, ServiceId, ZoneId
from chivesaddle.core.serving_model import (
    Account,
    CallerKey,
    CallerLimitFigures,
    Configuration,
    EngineFigures,
    KvStore,
    Route,
    RouteId,
    RouteKind,
    ServerEntry,
    ServerState,
    Service,
    WeightVersionNamed,
)

CONFIG_KIND = "config"
CONFIG_NAME = "main"
SERVERS_KIND = "servers"
VERSIONS_KIND = "versions"

_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAM,
}
_ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1_000.0
    priority: int = 5
    service: str | None = None
    traffic_split: list[_Split] = field(default_factory=list)
    attempts: int = 1
    allow_anonymous: bool = False
    allow_resume: bool = False


class _Engine(msgspec.Struct):
    slots: int = 1
    # Tokens, although the same name says nothing of the unit.
    kv_capacity: int = 0
    # Bytes of KV cache per token.
    kv_token_bytes: int = 0
    link_mbps: float = 1_000.0
    # Concurrent calls for cache events.
    max_concurrent: int = 1


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None
    # Set for a store of KV cache, which has no servers in the list.
    kv_store_address: str | None = None
    zone: str = ""
    # Tokens that a store holds.
    kv_capacity: int = 0
    link_mbps: float = 1_000.0
    # Wait before each transfer.
    first_ms: float = 0.0


class _Tenant(msgspec.Struct):
    name: str
    keys: list[str] = field(default_factory=list)
    priority: int | None = None
    # Shares no cached part of a prompt with other accounts.
    isolated: bool = False


class _Limits(msgspec.Struct):
    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route] = field(default_factory=list)
    services: list[_Service] = field(default_factory=list)
    limits: _Limits = field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _LoadedModel(msgspec.Struct):
    name: str
    version: int


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    models: list[_LoadedModel] = field(default_factory=list)
    # Start of this run of the server, in Unix milliseconds.
    born: int = 0


class _WeightVersion(msgspec.Struct):
    model: str
    version: int


def decode_configuration(value: Any) -> Configuration:
    """Decode the operator's configuration; raises `InvalidValue`."""
    try:
        found = msgspec.convert(value, _Configuration)
    except msgspec.ValidationError as error:
        raise InvalidValue(f"Configuration is malformed: {error}") from None
    routes_by_host: dict[str, list[Route]] = {}
    for route in found.routes:
        if route.kind in _KINDS:
            routes_by_host.setdefault(route.host.lower(), []).append(_route(route))
    accounts = {
        CallerKey(key): Account(AccountId(t.name), t.priority, t.isolated)
        for t in found.tenants or []
        for key in t.keys
    }
    return Configuration(
        version=found.version,
        routes_by_host={
            host: tuple(sorted(routes, key=lambda r: -len(r.path_prefix)))
            for host, routes in routes_by_host.items()
        },
        services_by_id={
            ServiceId(s.name): _service(s)
            for s in found.services
            if s.kv_store_address is None
        },
        stores_by_id={
            ServiceId(s.name): _store(s, s.kv_store_address)
            for s in found.services
            if s.kv_store_address is not None
        },
        accounts_by_key=accounts,
        has_accounts=found.tenants is not None,
        limits=CallerLimitFigures(
            found.limits.header_bytes,
            found.limits.body_bytes,
            found.limits.header_timeout_ms / 1_000,
            found.limits.idle_timeout_ms / 1_000,
        ),
    )


def _route(found: _Route) -> Route:
    split = {ServiceId(s.service): s.weight for s in found.traffic_split}
    if found.service is not None and not split:
        split = {ServiceId(found.service): 1.0}
    return Route(
        id=RouteId(found.name),
        host=found.host.lower(),
        path_prefix=found.path_prefix,
        kind=_KINDS[found.kind],
        weight_by_service=split,
        timeout_s=found.timeout_ms / 1_000,
        target_s=found.target_latency_ms / 1_000,
        attempts=max(1, found.attempts),
        priority=found.priority,
        is_anonymous=found.allow_anonymous,
        may_resume=found.allow_resume,
    )


def _service(found: _Service) -> Service:
    engine = found.engine
    figures = None
    if engine is not None:
        figures = EngineFigures(
            engine.slots,
            engine.kv_capacity,
            engine.kv_token_bytes,
            engine.link_mbps,
            engine.max_concurrent,
        )
    return Service(ServiceId(found.name), figures)


def _store(found: _Service, address: str) -> KvStore:
    return KvStore(
        ServiceId(found.name),
        address,
        ZoneId(found.zone),
        found.kv_capacity,
        found.link_mbps,
        found.first_ms / 1_000,
    )


def decode_server(name: str, value: Any) -> ServerEntry | None:
    """Decode an entry of the list of servers; None if it names no server to use.

    Other writers may put anything into the list: missing fields, other types, unknown
    states. Such an entry is passed over and the others hold.
    """
    try:
        found = msgspec.convert(value, _Server)
        state = ServerState(found.state)
    except (msgspec.ValidationError, ValueError):
        return None
    if not _ADDRESS.fullmatch(found.address) or found.slots < 1:
        return None
    return ServerEntry(
        id=BackendServerId(name),
        service=ServiceId(found.service),
        address=found.address,
        zone=ZoneId(found.zone),
        slots=found.slots,
        state=state,
        version_by_model={ModelId(m.name): m.version for m in found.models},
        started_ms=found.born,
    )


def decode_weight_version(value: Any) -> WeightVersionNamed | None:
    """Decode a named weight version; None if the entry is malformed."""
    try:
        found = msgspec.convert(value, _WeightVersion)
    except msgspec.ValidationError:
        return None
    return WeightVersionNamed(ModelId(found.model), found.version)


__all__ = [
    "CONFIG_KIND",
    "CONFIG_NAME",
    "SERVERS_KIND",
    "VERSIONS_KIND",
    "decode_configuration",
    "decode_server",
    "decode_weight_version",
]
