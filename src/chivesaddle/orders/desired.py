"""Desired state of a backend server and the orders that lead to it."""

from dataclasses import dataclass

from chivesaddle.core.ids import AdapterId, ModelId, WeightVersion
from chivesaddle.core.model import BackendServer, ConfigState
from chivesaddle.engines import EngineState


@dataclass(frozen=True)
class ServerProvisioning:
    """State of a backend server, either desired or read from its engine.

    Attributes
    ----------
    versions_by_model_id : dict
        Loaded weight versions by model.
    adapters : frozenset
        Loaded adapters as pairs of model and adapter.
    role : str
        Role name as in `chivesaddle.core.model.BackendServerRole`.
    """

    versions_by_model_id: dict[ModelId, frozenset[WeightVersion]]
    adapters: frozenset[tuple[ModelId, AdapterId]]
    role: str

    @classmethod
    def from_engine(cls, state: EngineState) -> "ServerProvisioning":
        """Build the state from an engine's response to ``GET /state``."""
        return cls(
            {
                ModelId(model): frozenset(map(WeightVersion, versions))
                for model, versions in state.models.items()
            },
            frozenset(
                (ModelId(model), AdapterId(adapter))
                for model, adapters in state.adapters.items()
                for adapter in adapters
            ),
            state.role,
        )


@dataclass(frozen=True)
class LoadVersion:
    """Load a weight version of a model."""

    model: ModelId
    version: WeightVersion


@dataclass(frozen=True)
class UnloadVersion:
    """Unload a weight version that the configuration no longer requires."""

    model: ModelId
    version: WeightVersion


@dataclass(frozen=True)
class LoadAdapter:
    """Load an adapter of a model."""

    model: ModelId
    adapter: AdapterId


@dataclass(frozen=True)
class SetRole:
    """Change the role of the server."""

    role: str


Order = LoadVersion | UnloadVersion | LoadAdapter | SetRole


def order_to_json(order: Order) -> tuple[str, dict[str, str]]:
    """Return the name of an order and its arguments for ``POST /orders``.

    Examples
    --------
    >>> order_to_json(SetRole("standby"))
    ('set_role', {'role': 'standby'})
    """
    match order:
        case LoadVersion(model, version):
            return "load_version", {"model": model, "version": version}
        case UnloadVersion(model, version):
            return "unload_version", {"model": model, "version": version}
        case LoadAdapter(model, adapter):
            return "load_adapter", {"model": model, "adapter": adapter}
        case SetRole(role):
            return "set_role", {"role": role}


def desired_state(server: BackendServer, config: ConfigState) -> ServerProvisioning:
    """Return the desired state of ``server`` under ``config``.

    Models that the configuration does not define are left out.
    """
    models = [
        config.models_by_id[model_id]
        for model_id in server.models
        if model_id in config.models_by_id
    ]
    return ServerProvisioning(
        {
            model.id: frozenset({model.weight_version, *model.preload})
            for model in models
        },
        frozenset((model.id, AdapterId(a)) for model in models for a in model.adapters),
        server.role.value,
    )


def missing_orders(
    desired: ServerProvisioning, actual: ServerProvisioning
) -> list[Order]:
    """Return the orders for what ``actual`` lacks, in a deterministic sequence."""
    orders: list[Order] = [
        LoadVersion(model, version)
        for model, versions in sorted(desired.versions_by_model_id.items())
        for version in sorted(
            versions - actual.versions_by_model_id.get(model, frozenset())
        )
    ]
    orders += [
        LoadAdapter(model, adapter)
        for model, adapter in sorted(desired.adapters - actual.adapters)
    ]
    if actual.role != desired.role:
        orders.append(SetRole(desired.role))
    return orders


def unload_orders(
    desired: ServerProvisioning, actual: ServerProvisioning
) -> list[Order]:
    """Return the orders that unload weight versions that are not desired."""
    return [
        UnloadVersion(model, version)
        for model, versions in sorted(actual.versions_by_model_id.items())
        for version in sorted(
            versions - desired.versions_by_model_id.get(model, frozenset())
        )
    ]


__all__ = [
    "LoadAdapter",
    "LoadVersion",
    "Order",
    "ServerProvisioning",
    "SetRole",
    "UnloadVersion",
    "desired_state",
    "missing_orders",
    "order_to_json",
    "unload_orders",
]
