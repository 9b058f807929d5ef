"""Operations of a configuration intent: validation and application."""

import re
from collections.abc import Iterable, Mapping
from typing import Annotated, Any, Literal

from pydantic import Field, TypeAdapter, ValidationError

from chivesaddle.core.errors import InvalidValue
from chivesaddle.core.ids import (
    AccountId,
    BackendServerId,
    ModelId,
    Revision,
    ServiceId,
    StoreId,
)
from chivesaddle.core.model import (
    Account,
    BackendServer,
    BackendServerState,
    ConfigState,
    Entity,
    Model,
    Service,
    Store,
)

MAX_OPERATIONS = 10_000
# Ids appear in URLs, object names and table output. A slash is allowed only in model
# ids, because model names often contain one.
_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@+-]{0,127}")
_MODEL_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@+/-]{0,127}")
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
_URL_PATTERN = re.compile(r"https?://[^/\s?#]+[^\s?#]*")


class PutAccount(Account):
    """Create or replace an account."""

    kind: Literal["put_account"]


class DeleteAccount(Entity):
    """Delete an account."""

    kind: Literal["delete_account"]
    id: AccountId


class PutModel(Model):
    """Create or replace a model; a new ``weight_version`` swaps the weights."""

    kind: Literal["put_model"]


class DeleteModel(Entity):
    """Delete a model that no backend server uses."""

    kind: Literal["delete_model"]
    id: ModelId


class PutBackendServer(BackendServer):
    """Create or replace a backend server."""

    kind: Literal["put_backend_server"]


class DrainBackendServer(Entity):
    """Stop assigning new requests to a backend server."""

    kind: Literal["drain_backend_server"]
    id: BackendServerId


class DeleteBackendServer(Entity):
    """Delete a backend server."""

    kind: Literal["delete_backend_server"]
    id: BackendServerId


class PutStore(Store):
    """Create or replace a store."""

    kind: Literal["put_store"]


class DeleteStore(Entity):
    """Delete a store."""

    kind: Literal["delete_store"]
    id: StoreId


class PutService(Service):
    """Create or replace a service."""

    kind: Literal["put_service"]


class DeleteService(Entity):
    """Delete a service."""

    kind: Literal["delete_service"]
    id: ServiceId


ConfigOperation = Annotated[
    PutAccount
    | DeleteAccount
    | PutModel
    | DeleteModel
    | PutBackendServer
    | DrainBackendServer
    | DeleteBackendServer
    | PutStore
    | DeleteStore
    | PutService
    | DeleteService,
    Field(discriminator="kind"),
]


class Intent(Entity):
    """Configuration operations requested by an operator; input of a plan."""

    operations: tuple[ConfigOperation, ...] = Field(
        min_length=1, max_length=MAX_OPERATIONS
    )
    note: str = Field(default="", max_length=2_000)


_OPERATIONS_ADAPTER: TypeAdapter[tuple[ConfigOperation, ...]] = TypeAdapter(
    tuple[ConfigOperation, ...]
)


def parse_intent(data: Any) -> Intent:
    """Validate an intent.

    Raises
    ------
    InvalidValue
        Identifies the first invalid field. The message omits the value, which may be a
        secret key.
    """
    try:
        intent = Intent.model_validate(data)
    except ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"]) or "(top level)"
        raise InvalidValue(
            f"Field {field} of the intent: {first['msg']}",
            field=field,
            remedy="Correct the field and plan again",
        ) from None
    for index, operation in enumerate(intent.operations):
        _check_formats(operation, f"operations.{index}")
    return intent


def _check_formats(operation: ConfigOperation, location: str) -> None:
    """Check the format of ids, URLs and digests in an operation."""
    match operation:
        case PutModel():
            _check_format(_MODEL_ID_PATTERN, operation.id, f"{location}.id", "an id")
        case PutAccount():
            _check_format(_ID_PATTERN, operation.id, f"{location}.id", "an id")
            for digest in operation.key_sha256:
                # A plain-text key given instead of its digest must not be stored.
                _check_format(
                    _DIGEST_PATTERN,
                    digest,
                    f"{location}.key_sha256",
                    "a SHA-256 digest",
                )
        case PutBackendServer() | PutStore():
            _check_format(_ID_PATTERN, operation.id, f"{location}.id", "an id")
            _check_format(_ID_PATTERN, operation.zone, f"{location}.zone", "an id")
            _check_format(_ID_PATTERN, operation.region, f"{location}.region", "an id")
            _check_format(
                _URL_PATTERN, operation.url, f"{location}.url", "an http or https URL"
            )
        case PutService():
            _check_format(_ID_PATTERN, operation.id, f"{location}.id", "an id")
            for url in operation.urls:
                _check_format(
                    _URL_PATTERN, url, f"{location}.urls", "an http or https URL"
                )
            for item in operation.operations:
                _check_format(
                    _ID_PATTERN, item.name, f"{location}.operations", "a name"
                )


def _check_format(
    pattern: re.Pattern[str], text: str, field: str, expected: str
) -> None:
    if not pattern.fullmatch(text):
        raise InvalidValue(
            f"Field {field} of the intent is not {expected}",
            field=field,
            remedy="Correct the field and plan again",
        )


def parse_operations(data: Any) -> tuple[ConfigOperation, ...]:
    """Parse the operations of a stored change."""
    return _OPERATIONS_ADAPTER.validate_python(data)


def apply_operations(
    state: ConfigState, operations: Iterable[ConfigOperation], revision: Revision
) -> ConfigState:
    """Return the state after ``operations``; deterministic on every daemon.

    Raises
    ------
    InvalidValue
        An operation refers to an object that does not exist.
    """
    accounts = dict(state.accounts_by_id)
    models = dict(state.models_by_id)
    servers = dict(state.backend_servers_by_id)
    stores = dict(state.stores_by_id)
    services = dict(state.services_by_id)
    for operation in operations:
        match operation:
            case PutAccount():
                accounts[operation.id] = _to_entity(Account, operation)
            case DeleteAccount():
                _remove(accounts, operation.id, "account")
            case PutModel():
                models[operation.id] = _to_entity(Model, operation)
            case DeleteModel():
                _remove(models, operation.id, "model")
            case PutBackendServer():
                servers[operation.id] = _to_entity(BackendServer, operation)
            case DrainBackendServer():
                drained = _require_existing(servers, operation.id, "backend server")
                servers[operation.id] = drained.model_copy(
                    update={"state": BackendServerState.DRAINING}
                )
            case DeleteBackendServer():
                _remove(servers, operation.id, "backend server")
            case PutStore():
                stores[operation.id] = _to_entity(Store, operation)
            case DeleteStore():
                _remove(stores, operation.id, "store")
            case PutService():
                services[operation.id] = _to_entity(Service, operation)
            case DeleteService():
                _remove(services, operation.id, "service")
    return ConfigState(
        revision=revision,
        accounts_by_id=accounts,
        models_by_id=models,
        backend_servers_by_id=servers,
        stores_by_id=stores,
        services_by_id=services,
    )


def check_consistency(state: ConfigState) -> None:
    """Reject a state that no daemon could serve correctly.

    Raises
    ------
    InvalidValue
        A backend server refers to an unknown model, or two accounts share a key, which
        would expose one account's prompts to the other.
    """
    for server in state.backend_servers_by_id.values():
        for model in server.models:
            if model not in state.models_by_id:
                raise InvalidValue(
                    f"Backend server {server.id} uses model {model}, which does not "
                    "exist",
                    field="models",
                    remedy="Put the model in the same intent, or change the server",
                )
    owner_by_digest: dict[str, AccountId] = {}
    for account in state.accounts_by_id.values():
        for digest in account.key_sha256:
            other = owner_by_digest.setdefault(digest, account.id)
            if other != account.id:
                raise InvalidValue(
                    f"Accounts {other} and {account.id} share a key",
                    field="key_sha256",
                    remedy="Use a different key for each account",
                )


def _to_entity(entity_type: type[Entity], operation: Entity) -> Any:
    return entity_type.model_validate(operation.model_dump(exclude={"kind"}))


def _require_existing(items: Mapping[Any, Any], key: Any, entity_kind: str) -> Any:
    if key not in items:
        raise InvalidValue(
            f"There is no {entity_kind} {key}",
            field="id",
            remedy=f"List the existing ones; known: {', '.join(sorted(items)[:20])}",
        )
    return items[key]


def _remove(items: dict[Any, Any], key: Any, entity_kind: str) -> None:
    _require_existing(items, key, entity_kind)
    del items[key]


__all__ = [
    "ConfigOperation",
    "DeleteAccount",
    "DeleteBackendServer",
    "DeleteModel",
    "DeleteService",
    "DeleteStore",
    "DrainBackendServer",
    "Intent",
    "PutAccount",
    "PutBackendServer",
    "PutModel",
    "PutService",
    "PutStore",
    "apply_operations",
    "check_consistency",
    "parse_intent",
    "parse_operations",
]
