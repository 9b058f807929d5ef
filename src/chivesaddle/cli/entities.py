"""Commands for accounts, models, backend servers, stores and services."""

from collections.abc import Iterable
from typing import Annotated, Any

import typer

from chivesaddle.cli.client import CommandError, OperatorClient
from chivesaddle.cli.output import Output, print_json, print_rows
from chivesaddle.cli.session import (
    NoteOption,
    OutputOption,
    Session,
    YesOption,
    path,
    plan_and_confirm,
)
from chivesaddle.core.model import BackendServerState

IdArgument = Annotated[str, typer.Argument(help="Id of the object")]
Many = list[str] | None


def _list(
    session: Session, collection: str, columns: Iterable[str], output: Output
) -> None:
    async def command(client: OperatorClient) -> None:
        state = await client.call("GET", path("configuration"))
        items = list(state[collection].values())
        if output is Output.JSON:
            print_json(items)
        else:
            print_rows(columns, items)

    session.run(command)


def _put(
    session: Session,
    kind: str,
    collection: str,
    item_id: str,
    fields: dict[str, Any],
    required: tuple[str, ...],
    plan: tuple[str, bool, Output],
) -> None:
    """Plan an object with its existing fields, overridden by those that are given."""
    note, yes, output = plan

    async def command(client: OperatorClient) -> None:
        state = await client.call("GET", path("configuration"))
        existing = state[collection].get(item_id, {})
        # The API shows the number of keys in place of their digests.
        existing = {k: v for k, v in existing.items() if k != "keys"}
        given = {k: v for k, v in fields.items() if v is not None}
        item = existing | given | {"id": item_id}
        missing = [name for name in required if name not in item]
        if missing:
            options = ", ".join(_option(name) for name in missing)
            raise CommandError(
                f"{item_id} does not exist and {options} is missing",
                remedy=f"Give {options} for a new object",
            )
        operation = item | {"kind": f"put_{kind}"}
        intent = {"operations": [operation], "note": note}
        await plan_and_confirm(client, intent, yes, output)

    session.run(command)


def _option(name: str) -> str:
    singular = {"models": "model", "urls": "url", "operations": "operation"}
    return "--" + singular.get(name, name).replace("_", "-")


def _by_id(
    session: Session,
    operation: str,
    item_id: str,
    note: str,
    yes: bool,
    output: Output,
) -> None:
    intent = {"operations": [{"kind": operation, "id": item_id}], "note": note}

    async def command(client: OperatorClient) -> None:
        await plan_and_confirm(client, intent, yes, output)

    session.run(command)


def _entity_app(
    name: str, kind: str, collection: str, columns: tuple[str, ...]
) -> typer.Typer:
    """Return commands ``list`` and ``delete`` of one kind of object."""
    app = typer.Typer(no_args_is_help=True, help=f"List, put and delete {name}.")

    @app.command("list")
    def list_items(ctx: typer.Context, output: OutputOption = Output.TABLE) -> None:
        """List all objects of this kind."""
        _list(ctx.obj, collection, columns, output)

    @app.command("delete")
    def delete_item(
        ctx: typer.Context,
        id: IdArgument,
        note: NoteOption = "",
        yes: YesOption = False,
        output: OutputOption = Output.TABLE,
    ) -> None:
        """Plan the deletion of an object."""
        _by_id(ctx.obj, f"delete_{kind}", id, note, yes, output)

    return app


account = _entity_app(
    "client accounts",
    "account",
    "accounts_by_id",
    ("id", "keys", "requests_per_s", "tokens_per_s", "weight"),
)
model = _entity_app(
    "models",
    "model",
    "models_by_id",
    ("id", "weight_version", "preload", "adapters", "max_context_tokens"),
)
backend_server = _entity_app(
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
store = _entity_app(
    "KV cache stores", "store", "stores_by_id", ("id", "url", "zone", "region")
)
service = _entity_app(
    "services", "service", "services_by_id", ("id", "urls", "operations")
)


@account.command("put")
def put_account(
    ctx: typer.Context,
    id: IdArgument,
    requests_per_s: Annotated[float | None, typer.Option()] = None,
    tokens_per_s: Annotated[float | None, typer.Option()] = None,
    weight: Annotated[float | None, typer.Option(help="Share under load")] = None,
    new_key: Annotated[
        bool, typer.Option("--new-key", help="Replace all keys by a generated one")
    ] = False,
    note: NoteOption = "",
    yes: YesOption = False,
    output: OutputOption = Output.TABLE,
) -> None:
    """Plan a new or changed account; a new one gets a generated key."""
    fields: dict[str, Any] = {
        "requests_per_s": requests_per_s,
        "tokens_per_s": tokens_per_s,
        "weight": weight,
        "key_sha256": [] if new_key else None,
    }
    plan = (note, yes, output)
    _put(ctx.obj, "account", "accounts_by_id", id, fields, (), plan)


@model.command("put")
def put_model(
    ctx: typer.Context,
    id: IdArgument,
    weight_version: Annotated[str | None, typer.Option()] = None,
    preload: Annotated[
        Many, typer.Option(help="Version to load for a later swap; repeatable")
    ] = None,
    adapter: Annotated[Many, typer.Option(help="Repeatable")] = None,
    max_context_tokens: Annotated[int | None, typer.Option()] = None,
    note: NoteOption = "",
    yes: YesOption = False,
    output: OutputOption = Output.TABLE,
) -> None:
    """Plan a new or changed model; another weight version is a swap."""
    fields = {
        "weight_version": weight_version,
        "preload": preload or None,
        "adapters": adapter or None,
        "max_context_tokens": max_context_tokens,
    }
    required = ("weight_version",)
    plan = (note, yes, output)
    _put(ctx.obj, "model", "models_by_id", id, fields, required, plan)


@backend_server.command("put")
def put_backend_server(
    ctx: typer.Context,
    id: IdArgument,
    url: Annotated[str | None, typer.Option()] = None,
    zone: Annotated[str | None, typer.Option()] = None,
    region: Annotated[str | None, typer.Option()] = None,
    model: Annotated[Many, typer.Option(help="Repeatable")] = None,
    checks_fencing: Annotated[bool | None, typer.Option()] = None,
    max_running: Annotated[int | None, typer.Option()] = None,
    state: Annotated[BackendServerState | None, typer.Option()] = None,
    note: NoteOption = "",
    yes: YesOption = False,
    output: OutputOption = Output.TABLE,
) -> None:
    """Plan a new or changed backend server; --state serving ends a drain."""
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
    plan = (note, yes, output)
    _put(ctx.obj, "backend_server", "backend_servers_by_id", id, fields, required, plan)


@backend_server.command("drain")
def drain_backend_server(
    ctx: typer.Context,
    id: IdArgument,
    note: NoteOption = "",
    yes: YesOption = False,
    output: OutputOption = Output.TABLE,
) -> None:
    """Plan that a backend server gets no new work."""
    _by_id(ctx.obj, "drain_backend_server", id, note, yes, output)


@store.command("put")
def put_store(
    ctx: typer.Context,
    id: IdArgument,
    url: Annotated[str | None, typer.Option()] = None,
    zone: Annotated[str | None, typer.Option()] = None,
    region: Annotated[str | None, typer.Option()] = None,
    note: NoteOption = "",
    yes: YesOption = False,
    output: OutputOption = Output.TABLE,
) -> None:
    """Plan a new or changed store."""
    fields: dict[str, Any] = {"url": url, "zone": zone, "region": region}
    plan = (note, yes, output)
    _put(ctx.obj, "store", "stores_by_id", id, fields, ("url", "zone"), plan)


@service.command("put")
def put_service(
    ctx: typer.Context,
    id: IdArgument,
    url: Annotated[Many, typer.Option(help="Repeatable")] = None,
    operation: Annotated[
        Many, typer.Option(help="NAME (at most once) or NAME:repeatable")
    ] = None,
    note: NoteOption = "",
    yes: YesOption = False,
    output: OutputOption = Output.TABLE,
) -> None:
    """Plan a new or changed service."""
    fields: dict[str, Any] = {
        "urls": url or None,
        "operations": [_operation(text) for text in operation or []] or None,
    }
    required = ("urls", "operations")
    plan = (note, yes, output)
    _put(ctx.obj, "service", "services_by_id", id, fields, required, plan)


def _operation(text: str) -> dict[str, Any]:
    name, _, kind = text.partition(":")
    if kind not in ("", "repeatable"):
        raise typer.BadParameter(f"{text!r} is neither NAME nor NAME:repeatable")
    return {"name": name, "repeatable": kind == "repeatable"}


__all__ = ["account", "backend_server", "model", "service", "store"]
