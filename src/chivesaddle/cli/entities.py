"""Commands that list and change the entities of the configuration.

Entities are client accounts, models, backend servers, KV cache stores and services.
"""

from collections.abc import Iterable
from typing import Annotated, Any

import typer

from chivesaddle.cli.client import CommandError, OperatorClient
from chivesaddle.cli.output import OutputFormat, print_json, print_rows
from chivesaddle.cli.runner import (
    CommandRunner,
    NoteOption,
    OutputOption,
    YesOption,
    api_path,
    plan_and_confirm,
)
from chivesaddle.core.model import BackendServerState

IdArgument = Annotated[str, typer.Argument(help="Id of the entity")]
OptionalStrings = list[str] | None


def _list_entities(
    runner: CommandRunner, collection: str, columns: Iterable[str], output: OutputFormat
) -> None:
    async def command(client: OperatorClient) -> None:
        state = await client.call("GET", api_path("configuration"))
        rows = list(state[collection].values())
        if output is OutputFormat.JSON:
            print_json(rows)
        else:
            print_rows(columns, rows)

    runner.run(command)


def _plan_put(
    runner: CommandRunner,
    kind: str,
    collection: str,
    entity_id: str,
    fields: dict[str, Any],
    required: tuple[str, ...],
    plan_options: tuple[str, bool, OutputFormat],
) -> None:
    """Plan to create an entity, or to change the provided fields of an existing one."""
    note, yes, output = plan_options

    async def command(client: OperatorClient) -> None:
        state = await client.call("GET", api_path("configuration"))
        existing = state[collection].get(entity_id, {})
        # The API returns the number of keys instead of their digests; an operation
        # without key_sha256 keeps them.
        existing = {k: v for k, v in existing.items() if k != "keys"}
        provided = {k: v for k, v in fields.items() if v is not None}
        entity = existing | provided | {"id": entity_id}
        missing = [name for name in required if name not in entity]
        if missing:
            options = ", ".join(_option_name(name) for name in missing)
            raise CommandError(
                f"{entity_id} does not exist and {options} is missing",
                remedy=f"Pass {options} for a new entity",
            )
        operation = entity | {"kind": f"put_{kind}"}
        intent = {"operations": [operation], "note": note}
        await plan_and_confirm(client, intent, yes, output)

    runner.run(command)


def _option_name(field: str) -> str:
    singular_by_field = {"models": "model", "urls": "url", "operations": "operation"}
    return "--" + singular_by_field.get(field, field).replace("_", "-")


def _plan_operation(
    runner: CommandRunner,
    operation: str,
    entity_id: str,
    note: str,
    yes: bool,
    output: OutputFormat,
) -> None:
    intent = {"operations": [{"kind": operation, "id": entity_id}], "note": note}

    async def command(client: OperatorClient) -> None:
        await plan_and_confirm(client, intent, yes, output)

    runner.run(command)


def _create_entity_app(
    name: str, kind: str, collection: str, columns: tuple[str, ...]
) -> typer.Typer:
    """Return the commands ``list`` and ``delete`` for one kind of entity."""
    app = typer.Typer(no_args_is_help=True, help=f"List, put and delete {name}.")

    @app.command("list")
    def list_entities(
        ctx: typer.Context, output: OutputOption = OutputFormat.TABLE
    ) -> None:
        """List all entities of this kind."""
        _list_entities(ctx.obj, collection, columns, output)

    @app.command("delete")
    def delete_entity(
        ctx: typer.Context,
        id: IdArgument,
        note: NoteOption = "",
        yes: YesOption = False,
        output: OutputOption = OutputFormat.TABLE,
    ) -> None:
        """Plan the deletion of an entity."""
        _plan_operation(ctx.obj, f"delete_{kind}", id, note, yes, output)

    return app


account_app = _create_entity_app(
    "client accounts",
    "account",
    "accounts_by_id",
    ("id", "keys", "requests_per_s", "tokens_per_s", "weight"),
)
model_app = _create_entity_app(
    "models",
    "model",
    "models_by_id",
    ("id", "weight_version", "preload", "adapters", "max_context_tokens"),
)
backend_server_app = _create_entity_app(
    "backend servers",
    "backend_server",
    "backend_servers_by_id",
    (
        "id",
        "state",
        "url",
        "zone",
        "region",
        "models",
        "max_running",
        "checks_fencing",
    ),
)
store_app = _create_entity_app(
    "KV cache stores", "store", "stores_by_id", ("id", "url", "zone", "region")
)
service_app = _create_entity_app(
    "services", "service", "services_by_id", ("id", "urls", "operations")
)


@account_app.command("put")
def put_account(
    ctx: typer.Context,
    id: IdArgument,
    requests_per_s: Annotated[float | None, typer.Option()] = None,
    tokens_per_s: Annotated[float | None, typer.Option()] = None,
    weight: Annotated[
        float | None, typer.Option(help="Relative share of capacity under load")
    ] = None,
    new_key: Annotated[
        bool, typer.Option("--new-key", help="Replace all keys with a generated one")
    ] = False,
    note: NoteOption = "",
    yes: YesOption = False,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Plan a new or changed client account; a key is generated for a new one."""
    fields: dict[str, Any] = {
        "requests_per_s": requests_per_s,
        "tokens_per_s": tokens_per_s,
        "weight": weight,
        "key_sha256": [] if new_key else None,
    }
    plan_options = (note, yes, output)
    _plan_put(ctx.obj, "account", "accounts_by_id", id, fields, (), plan_options)


@model_app.command("put")
def put_model(
    ctx: typer.Context,
    id: IdArgument,
    weight_version: Annotated[str | None, typer.Option()] = None,
    preload: Annotated[
        OptionalStrings,
        typer.Option(help="Weight version to load before a swap; repeatable"),
    ] = None,
    adapter: Annotated[OptionalStrings, typer.Option(help="Repeatable")] = None,
    max_context_tokens: Annotated[int | None, typer.Option()] = None,
    note: NoteOption = "",
    yes: YesOption = False,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Plan a new or changed model; another weight version swaps the weights."""
    fields = {
        "weight_version": weight_version,
        "preload": preload or None,
        "adapters": adapter or None,
        "max_context_tokens": max_context_tokens,
    }
    required = ("weight_version",)
    plan_options = (note, yes, output)
    _plan_put(ctx.obj, "model", "models_by_id", id, fields, required, plan_options)


@backend_server_app.command("put")
def put_backend_server(
    ctx: typer.Context,
    id: IdArgument,
    url: Annotated[str | None, typer.Option()] = None,
    zone: Annotated[str | None, typer.Option()] = None,
    region: Annotated[str | None, typer.Option()] = None,
    model: Annotated[OptionalStrings, typer.Option(help="Repeatable")] = None,
    checks_fencing: Annotated[bool | None, typer.Option()] = None,
    max_running: Annotated[int | None, typer.Option()] = None,
    state: Annotated[BackendServerState | None, typer.Option()] = None,
    note: NoteOption = "",
    yes: YesOption = False,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Plan a new or changed backend server; --state serving ends draining."""
    fields = {
        "url": url,
        "zone": zone,
        "region": region,
        "models": model or None,
        "checks_fencing": checks_fencing,
        "max_running": max_running,
        "state": state.value if state else None,
    }
    required = ("url", "zone", "models")
    plan_options = (note, yes, output)
    _plan_put(
        ctx.obj,
        "backend_server",
        "backend_servers_by_id",
        id,
        fields,
        required,
        plan_options,
    )


@backend_server_app.command("drain")
def drain_backend_server(
    ctx: typer.Context,
    id: IdArgument,
    note: NoteOption = "",
    yes: YesOption = False,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Plan to drain a backend server, so that it gets no new requests."""
    _plan_operation(ctx.obj, "drain_backend_server", id, note, yes, output)


@store_app.command("put")
def put_store(
    ctx: typer.Context,
    id: IdArgument,
    url: Annotated[str | None, typer.Option()] = None,
    zone: Annotated[str | None, typer.Option()] = None,
    region: Annotated[str | None, typer.Option()] = None,
    note: NoteOption = "",
    yes: YesOption = False,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Plan a new or changed KV cache store."""
    fields: dict[str, Any] = {"url": url, "zone": zone, "region": region}
    plan_options = (note, yes, output)
    _plan_put(
        ctx.obj, "store", "stores_by_id", id, fields, ("url", "zone"), plan_options
    )


@service_app.command("put")
def put_service(
    ctx: typer.Context,
    id: IdArgument,
    url: Annotated[OptionalStrings, typer.Option(help="Repeatable")] = None,
    operation: Annotated[
        OptionalStrings,
        typer.Option(help="NAME (runs at most once) or NAME:repeatable"),
    ] = None,
    note: NoteOption = "",
    yes: YesOption = False,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Plan a new or changed service."""
    fields: dict[str, Any] = {
        "urls": url or None,
        "operations": [_parse_operation(text) for text in operation or []] or None,
    }
    required = ("urls", "operations")
    plan_options = (note, yes, output)
    _plan_put(ctx.obj, "service", "services_by_id", id, fields, required, plan_options)


def _parse_operation(text: str) -> dict[str, Any]:
    name, _, kind = text.partition(":")
    if kind not in ("", "repeatable"):
        raise typer.BadParameter(f"{text!r} is neither NAME nor NAME:repeatable")
    return {"name": name, "repeatable": kind == "repeatable"}


__all__ = ["account_app", "backend_server_app", "model_app", "service_app", "store_app"]
