"""Configuration entities, and the configuration state at one revision."""

from enum import Enum
from typing import Any

from pydantic import BaseModel, ConfigDict, Field

from chivesaddle.core.ids import (
    AccountId,
    BackendServerId,
    ModelId,
    RegionId,
    Revision,
    ServiceId,
    StoreId,
    WeightVersion,
    ZoneId,
)


class Entity(BaseModel):
    """Base of all configuration entities: immutable, unknown fields are rejected."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class Account(Entity):
    """A client account.

    ``key_sha256`` has the hex SHA-256 digests of its bearer keys; the keys themselves
    are never stored. The limits apply to all daemons together.
    """

    id: AccountId
    key_sha256: tuple[str, ...] = ()
    requests_per_s: float = Field(default=100.0, gt=0)
    tokens_per_s: float = Field(default=100_000.0, gt=0)
    weight: float = Field(default=1.0, gt=0)


class Model(Entity):
    """A model, the weight version that new requests use, and its adapters.

    ``preload`` lists further versions that backend servers load in advance, so that a
    later change of the weight version needs no loading.
    """

    id: ModelId
    weight_version: WeightVersion
    preload: tuple[WeightVersion, ...] = ()
    adapters: tuple[str, ...] = ()
    max_context_tokens: int = Field(default=131_072, gt=0)


class BackendServerState(Enum):
    """Whether a backend server accepts new requests."""

    SERVING = "serving"
    DRAINING = "draining"


class BackendServerRole(Enum):
    """What a backend server is used for."""

    SERVING = "serving"
    STANDBY = "standby"


class BackendServer(Entity):
    """A model engine instance."""

    id: BackendServerId
    url: str
    zone: ZoneId
    region: RegionId = RegionId("region-1")
    models: tuple[ModelId, ...]
    checks_fencing: bool = False
    max_running: int = Field(default=8, gt=0)
    role: BackendServerRole = BackendServerRole.SERVING
    state: BackendServerState = BackendServerState.SERVING


class Store(Entity):
    """A KV cache store instance."""

    id: StoreId
    url: str
    zone: ZoneId
    region: RegionId = RegionId("region-1")


class Operation(Entity):
    """An operation of a service; a non-repeatable one runs at most once."""

    name: str
    repeatable: bool = False


class Service(Entity):
    """A service other than a model engine."""

    id: ServiceId
    urls: tuple[str, ...]
    operations: tuple[Operation, ...]

    def operation(self, name: str) -> Operation | None:
        """Return the operation called ``name``, or None."""
        return next((o for o in self.operations if o.name == name), None)


class ConfigState(Entity):
    """The complete configuration at one revision.

    Examples
    --------
    >>> ConfigState.empty().revision
    0
    """

    revision: Revision
    accounts_by_id: dict[AccountId, Account] = {}
    models_by_id: dict[ModelId, Model] = {}
    backend_servers_by_id: dict[BackendServerId, BackendServer] = {}
    stores_by_id: dict[StoreId, Store] = {}
    services_by_id: dict[ServiceId, Service] = {}

    @classmethod
    def empty(cls) -> "ConfigState":
        """Return the state before the first change."""
        return cls(revision=Revision(0))

    def to_json(self) -> dict[str, Any]:
        """Return the state as plain JSON values."""
        return self.model_dump(mode="json")


__all__ = [
    "Account",
    "BackendServer",
    "BackendServerRole",
    "BackendServerState",
    "ConfigState",
    "Entity",
    "Model",
    "Operation",
    "Service",
    "Store",
]
