"""Configuration changes and the plans that operators review before confirming."""

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from chivesaddle.configuration.operations import ConfigOperation, parse_operations
from chivesaddle.core.errors import InvalidValue
from chivesaddle.core.ids import ChangeId, Revision
from chivesaddle.core.model import (
    BackendServerState,
    ConfigState,
    Entity,
)

_ENTITY_COLLECTIONS = (
    ("account", "accounts_by_id"),
    ("model", "models_by_id"),
    ("backend server", "backend_servers_by_id"),
    ("store", "stores_by_id"),
    ("service", "services_by_id"),
)


@dataclass(frozen=True)
class Change:
    """Operations that lead from revision ``parent`` to ``revision``."""

    id: ChangeId
    parent: Revision
    revision: Revision
    operations: tuple[ConfigOperation, ...]
    note: str
    operator: str

    def to_json(self) -> dict[str, Any]:
        """Return JSON values, including key digests."""
        return {
            "id": self.id,
            "parent": self.parent,
            "revision": self.revision,
            "operations": [o.model_dump(mode="json") for o in self.operations],
            "note": self.note,
            "operator": self.operator,
        }

    @classmethod
    def from_json(cls, data: Mapping[str, Any]) -> "Change":
        """Build a change from the result of `to_json`; unknown keys are ignored."""
        return cls(
            ChangeId(data["id"]),
            Revision(data["parent"]),
            Revision(data["revision"]),
            parse_operations(data["operations"]),
            data["note"],
            data["operator"],
        )


@dataclass(frozen=True)
class Plan:
    """A change with human-readable differences and warnings."""

    change: Change
    differences: tuple[str, ...]
    warnings: tuple[str, ...]

    def to_json(self) -> dict[str, Any]:
        """Return the stored form."""
        return self.change.to_json() | {
            "differences": list(self.differences),
            "warnings": list(self.warnings),
        }

    @classmethod
    def from_json(cls, data: Mapping[str, Any]) -> "Plan":
        """Build a plan from the result of `to_json`."""
        return cls(
            Change.from_json(data), tuple(data["differences"]), tuple(data["warnings"])
        )

    def to_public_json(self) -> dict[str, Any]:
        """Return the form shown to operators, without key digests."""
        return redact_key_digests(self.to_json())


def redact_key_digests(data: Any) -> Any:
    """Replace lists of key digests in JSON values by the number of keys.

    Examples
    --------
    >>> redact_key_digests({"id": "a", "key_sha256": ["00ff", "11ee"]})
    {'id': 'a', 'keys': 2}
    """
    match data:
        case dict():
            rest = {
                k: redact_key_digests(v) for k, v in data.items() if k != "key_sha256"
            }
            digests = data.get("key_sha256")
            return rest if digests is None else rest | {"keys": len(digests)}
        case list() | tuple():
            return [redact_key_digests(item) for item in data]
    return data


def check_storable(plan: Plan, after: ConfigState) -> None:
    """Check that a plan and its resulting state survive JSON serialization unchanged.

    Infinite numbers and lone surrogates pass type validation but cannot be stored as
    JSON. A committed change that cannot be read would block all later changes.

    Raises
    ------
    InvalidValue
        JSON serialization fails or changes a value.
    """
    try:
        stored = json.dumps(plan.to_json(), allow_nan=False)
        round_trips = Plan.from_json(json.loads(stored.encode())) == plan
        state = json.dumps(after.to_json(), allow_nan=False)
        round_trips = round_trips and ConfigState.model_validate_json(state) == after
    except ValueError:
        round_trips = False
    if not round_trips:
        raise InvalidValue(
            "The intent contains a number or text that cannot be stored",
            field="operations",
            remedy="Use finite numbers and valid Unicode text",
        )


def differences(before: ConfigState, after: ConfigState) -> tuple[str, ...]:
    """Describe each added, changed and removed entity in one line."""
    lines: list[str] = []
    for kind, attribute in _ENTITY_COLLECTIONS:
        old, new = getattr(before, attribute), getattr(after, attribute)
        for key in sorted(old.keys() | new.keys()):
            if key not in old:
                lines.append(f"add {kind} {key}: {_format_fields(new[key])}")
            elif key not in new:
                lines.append(f"remove {kind} {key}")
            elif old[key] != new[key]:
                lines.append(
                    f"change {kind} {key}: {_format_changed_fields(old[key], new[key])}"
                )
    return tuple(lines) or ("no difference",)


def warnings(before: ConfigState, after: ConfigState) -> tuple[str, ...]:
    """Describe consequences of a change that an operator may not expect."""
    return tuple(
        [
            *_server_warnings(before, after),
            *_model_warnings(before, after),
            *_account_warnings(before, after),
            *_removal_warnings(before, after),
        ]
    )


def _count_serving_servers(state: ConfigState, model: str) -> int:
    return sum(
        model in server.models and server.state is BackendServerState.SERVING
        for server in state.backend_servers_by_id.values()
    )


def _server_warnings(before: ConfigState, after: ConfigState) -> Iterator[str]:
    for model in sorted(after.models_by_id):
        servers_before, servers_after = (
            _count_serving_servers(before, model),
            _count_serving_servers(after, model),
        )
        if servers_after:
            continue
        if servers_before:
            yield (
                f"model {model} loses its last serving backend server; "
                "its requests will be rejected"
            )
        else:
            yield f"model {model} has no serving backend server"


def _model_warnings(before: ConfigState, after: ConfigState) -> Iterator[str]:
    for key, model in sorted(after.models_by_id.items()):
        old = before.models_by_id.get(key)
        if old is not None and old.weight_version != model.weight_version:
            yield (
                f"model {key} swaps weight version {old.weight_version} for "
                f"{model.weight_version}; cached blocks of the old version are not "
                "used for new requests"
            )
            if model.weight_version not in old.preload:
                yield (
                    f"weight version {model.weight_version} of model {key} is not "
                    "preloaded; requests wait until backend servers have loaded it. "
                    "Confirm a change of preload first to avoid that"
                )
        for adapter in sorted(set(old.adapters if old else ()) - set(model.adapters)):
            yield f"model {key} loses adapter {adapter}"


def _account_warnings(before: ConfigState, after: ConfigState) -> Iterator[str]:
    for key, account in sorted(after.accounts_by_id.items()):
        old = before.accounts_by_id.get(key)
        if not account.key_sha256:
            yield f"account {key} has no key and cannot send requests"
        elif old is not None and set(old.key_sha256) - set(account.key_sha256):
            yield f"account {key} loses a key; callers that use it will be rejected"


def _removal_warnings(before: ConfigState, after: ConfigState) -> Iterator[str]:
    for key in sorted(before.accounts_by_id.keys() - after.accounts_by_id.keys()):
        yield f"account {key} is removed; its requests will be rejected"
    if before.stores_by_id and not after.stores_by_id:
        yield (
            "no KV cache store is left; prompts cached only in a store will be "
            "recomputed"
        )
    for service in sorted(before.services_by_id.keys() - after.services_by_id.keys()):
        yield f"service {service} is removed; its operations will be rejected"


def _fields_without_id(entity: Entity) -> dict[str, Any]:
    data = entity.model_dump(mode="json")
    del data["id"]
    return data


def _format_fields(entity: Entity) -> str:
    return ", ".join(
        f"{k}={_format_value(k, v)}" for k, v in _fields_without_id(entity).items()
    )


def _format_changed_fields(old: Entity, new: Entity) -> str:
    before, after = _fields_without_id(old), _fields_without_id(new)
    return ", ".join(
        "keys replaced"
        if name == "key_sha256"
        else f"{name} {_format_value(name, before[name])}"
        f" -> {_format_value(name, value)}"
        for name, value in after.items()
        if before[name] != value
    )


def _format_value(name: str, value: Any) -> str:
    if name == "key_sha256":
        return f"{len(value)} key(s)"
    return str(value)


__all__ = [
    "Change",
    "Plan",
    "check_storable",
    "differences",
    "redact_key_digests",
    "warnings",
]
