"""Operations of an intent and their effect on the configuration."""

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
# Ids are parts of URLs, object names and tables; model names often contain a slash.
_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@+-]{0,127}")
_MODEL_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@+/-]{0,127}")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_URL = re.compile(r"https?://[^/\s?#]+[^\s?#]*")


class PutAccount(Account):
    """Create or replace an account."""

    kind: Literal["put_account"]


class DeleteAccount(Entity):
    """Delete an account."""

    kind: Literal["delete_account"]
    id: AccountId


class PutModel(Model):
    """Create or replace a model; another ``weight_version`` is a version swap."""

    kind: Literal["put_model"]


class DeleteModel(Entity):
    """Delete a model that no backend server names."""

    kind: Literal["delete_model"]
    id: ModelId


class PutBackendServer(BackendServer):
    """Create or replace a backend server."""

    kind: Literal["put_backend_server"]


class DrainBackendServer(Entity):
    """Give a backend server no new work."""

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
    """What an operator wants; the plan is computed from it."""

    operations: tuple[ConfigOperation, ...] = Field(
        min_length=1, max_length=MAX_OPERATIONS
    )
    note: str = Field(default="", max_length=2_000)


_OPERATIONS: TypeAdapter[tuple[ConfigOperation, ...]] = TypeAdapter(
    tuple[ConfigOperation, ...]
)


def parse_intent(data: Any) -> Intent:
    """Check an intent.

    Raises
    ------
    InvalidValue
        Names the first offending field. The value is not repeated: it could be a key.
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
        _check_texts(operation, f"operations.{index}")
    return intent


def _check_texts(operation: ConfigOperation, where: str) -> None:
    """Check ids, addresses and digests that an operation introduces."""
    match operation:
        case PutModel():
            _check(_MODEL_ID, operation.id, f"{where}.id", "an id")
        case PutAccount():
            _check(_ID, operation.id, f"{where}.id", "an id")
            for digest in operation.key_sha256:
                # A key that was given in place of its digest must not be stored.
                _check(_DIGEST, digest, f"{where}.key_sha256", "a SHA-256 digest")
        case PutBackendServer() | PutStore():
            _check(_ID, operation.id, f"{where}.id", "an id")
            _check(_ID, operation.zone, f"{where}.zone", "an id")
            _check(_ID, operation.region, f"{where}.region", "an id")
            _check(_URL, operation.url, f"{where}.url", "an http or https URL")
        case PutService():
            _check(_ID, operation.id, f"{where}.id", "an id")
            for url in operation.urls:
                _check(_URL, url, f"{where}.urls", "an http or https URL")
            for item in operation.operations:
                _check(_ID, item.name, f"{where}.operations", "a name")


def _check(pattern: re.Pattern[str], text: str, field: str, what: str) -> None:
    if not pattern.fullmatch(text):
        raise InvalidValue(
            f"Field {field} of the intent is not {what}",
            field=field,
            remedy="Correct the field and plan again",
        )


def parse_operations(data: Any) -> tuple[ConfigOperation, ...]:
    """Read the operations of a stored change."""
    return _OPERATIONS.validate_python(data)


def apply_operations(
    state: ConfigState, operations: Iterable[ConfigOperation], revision: Revision
) -> ConfigState:
    """Return the state after ``operations``; the same on every daemon.

    Raises
    ------
    InvalidValue
        An operation names an object that does not exist.
    """
    accounts = dict(state.accounts_by_id)
    models = dict(state.models_by_id)
    servers = dict(state.backend_servers_by_id)
    stores = dict(state.stores_by_id)
    services = dict(state.services_by_id)
    for operation in operations:
        match operation:
            case PutAccount():
                accounts[operation.id] = _entity(Account, operation)
            case DeleteAccount():
                _remove(accounts, operation.id, "account")
            case PutModel():
                models[operation.id] = _entity(Model, operation)
            case DeleteModel():
                _remove(models, operation.id, "model")
            case PutBackendServer():
                servers[operation.id] = _entity(BackendServer, operation)
            case DrainBackendServer():
                drained = _existing(servers, operation.id, "backend server")
                servers[operation.id] = drained.model_copy(
                    update={"state": BackendServerState.DRAINING}
                )
            case DeleteBackendServer():
                _remove(servers, operation.id, "backend server")
            case PutStore():
                stores[operation.id] = _entity(Store, operation)
            case DeleteStore():
                _remove(stores, operation.id, "store")
            case PutService():
                services[operation.id] = _entity(Service, operation)
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
    """Refuse a state that no daemon could serve correctly.

    Raises
    ------
    InvalidValue
        A backend server names an unknown model, or two accounts share a key, which
        would give one account's prompts to the other.
    """
    for server in state.backend_servers_by_id.values():
        for model in server.models:
            if model not in state.models_by_id:
                raise InvalidValue(
                    f"Backend server {server.id} names model {model}, which does not "
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


def _entity(kind: type[Entity], operation: Entity) -> Any:
    return kind.model_validate(operation.model_dump(exclude={"kind"}))


def _existing(items: Mapping[Any, Any], key: Any, what: str) -> Any:
    if key not in items:
        raise InvalidValue(
            f"There is no {what} {key}",
            field="id",
            remedy=f"List the existing ones; known: {', '.join(sorted(items)[:20])}",
        )
    return items[key]


def _remove(items: dict[Any, Any], key: Any, what: str) -> None:
    _existing(items, key, what)
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
