"""Commands of the command-line tool for operators."""

import json
import sys
import uuid
from enum import Enum
from typing import Annotated, Any

import typer

from chivesaddle.cli import entities
from chivesaddle.cli.client import CommandError, OperatorClient
from chivesaddle.cli.evacuations import evacuate, list_evacuations
from chivesaddle.cli.output import (
    OutputFormat,
    print_confirmation,
    print_events,
    print_json,
    print_plan,
    print_rows,
)
from chivesaddle.cli.runner import (
    CommandRunner,
    OutputOption,
    YesOption,
    api_path,
    confirm_plan,
    plan_and_confirm,
)
from chivesaddle.cli.timeline import follow as follow_timeline

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    # Local variables in tracebacks can contain keys.
    pretty_exceptions_show_locals=False,
    help="Plan, confirm and observe the configuration of chivesaddle.",
)
app.add_typer(entities.account_app, name="account")
app.add_typer(entities.model_app, name="model")
app.add_typer(entities.backend_server_app, name="backend-server")
app.add_typer(entities.store_app, name="store")
app.add_typer(entities.service_app, name="service")
app.command("evacuations")(list_evacuations)
app.command("evacuate")(evacuate)
prompt_app = typer.Typer(
    no_args_is_help=True, help="List, store and delete the prompts of a client account."
)
app.add_typer(prompt_app, name="prompt")
action_app = typer.Typer(
    no_args_is_help=True, help="Resolve actions in doubt and clear suspect requests."
)
app.add_typer(action_app, name="action")

AccountArgument = Annotated[str, typer.Argument(help="Id of the client account")]


class ActionOutcome(Enum):
    """Whether a service carried out an action in doubt."""

    DONE = "done"
    NOT_RUN = "not_run"


@app.callback()
def configure_connection(
    ctx: typer.Context,
    url: Annotated[
        str,
        typer.Option(
            envvar="CHIVESADDLE_URL",
            help="Base URLs of the operator API, tried in order; comma-separated",
        ),
    ] = "",
    key: Annotated[
        str,
        typer.Option(envvar="CHIVESADDLE_KEY", help="Operator key", show_default=False),
    ] = "",
) -> None:
    """Plan, confirm and observe the configuration of chivesaddle."""
    urls = url.replace(",", " ").split()
    ctx.obj = CommandRunner(runtime=ctx.obj, urls=urls, key=key)


@app.command()
def plan(
    ctx: typer.Context,
    file: Annotated[str, typer.Argument(help="JSON file with an intent; - for stdin")],
    yes: YesOption = False,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Create a plan from an intent and print it; nothing changes without --yes."""

    async def command(client: OperatorClient) -> None:
        await plan_and_confirm(client, _read_json(file), yes, output)

    ctx.obj.run(command)


@app.command()
def show(
    ctx: typer.Context,
    id: Annotated[
        str, typer.Argument(help="Id of a plan; the configuration if absent")
    ] = "",
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show a plan, or the configuration in force."""

    async def command(client: OperatorClient) -> None:
        request_path = api_path("plans", id) if id else api_path("configuration")
        data = await client.call("GET", request_path)
        if output is OutputFormat.JSON:
            print_json(data)
        elif id:
            print_plan(data)
        else:
            _print_configuration(data)

    ctx.obj.run(command)


@app.command()
def confirm(
    ctx: typer.Context,
    id: Annotated[str, typer.Argument(help="Id of the plan")],
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Confirm a plan, which puts it in force; safe to repeat."""

    async def command(client: OperatorClient) -> None:
        confirmation = await confirm_plan(client, id)
        (
            print_json(confirmation)
            if output is OutputFormat.JSON
            else print_confirmation(confirmation)
        )

    ctx.obj.run(command)


@app.command()
def status(ctx: typer.Context, output: OutputOption = OutputFormat.TABLE) -> None:
    """Show the status of all daemons and the configuration revision of one."""

    async def command(client: OperatorClient) -> None:
        data = await client.call("GET", api_path("status"))
        if output is OutputFormat.JSON:
            print_json(data)
            return
        print_rows(data["configuration"], [data["configuration"]])
        columns = list(dict.fromkeys(name for d in data["daemons"] for name in d))
        print_rows(columns, data["daemons"])
        if data["missing_daemons"]:
            print(f"No answer from: {', '.join(data['missing_daemons'])}")

    ctx.obj.run(command)


@app.command()
def timeline(
    ctx: typer.Context,
    request: Annotated[str, typer.Option(help="Show only events of this request")] = "",
    account: Annotated[str, typer.Option(help="Show only events of this account")] = "",
    object: Annotated[str, typer.Option(help="Show only events of this object")] = "",
    follow: Annotated[
        bool, typer.Option("--follow", help="Keep polling for new events")
    ] = False,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Print the events of all daemons in order; JSON output has one event per line."""
    filters = {"request": request, "account": account, "object": object}
    params = {name: value for name, value in filters.items() if value}

    async def command(client: OperatorClient) -> None:
        missing_daemons: list[str] = []
        async for response in follow_timeline(client, params, once=not follow):
            if output is OutputFormat.JSON:
                for event in response["events"]:
                    print(json.dumps(event, ensure_ascii=False))
            else:
                print_events(response["events"])
            sys.stdout.flush()
            if response["missing_daemons"] != missing_daemons:
                missing_daemons = response["missing_daemons"]
                names = ", ".join(missing_daemons) or "none"
                print(f"No answer from: {names}", file=sys.stderr)

    ctx.obj.run(command)


@prompt_app.command("list")
def list_prompts(
    ctx: typer.Context,
    account: AccountArgument,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """List the stored prompts of a client account."""

    async def command(client: OperatorClient) -> None:
        data = await client.call("GET", api_path("accounts", account, "prompts"))
        if output is OutputFormat.JSON:
            print_json(data["prompts"])
        else:
            print_rows(("id", "bytes"), data["prompts"])

    ctx.obj.run(command)


@prompt_app.command("put")
def put_prompt(
    ctx: typer.Context,
    account: AccountArgument,
    file: Annotated[str, typer.Argument(help="JSON file with the body; - for stdin")],
    id: Annotated[str, typer.Option(help="Id of the prompt; random if absent")] = "",
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Store a prompt; takes effect immediately."""
    # Generated here, so that a retry on another daemon does not store a second prompt.
    prompt_id = id or uuid.uuid4().hex

    async def command(client: OperatorClient) -> None:
        body = {"id": prompt_id, "body": _read_json(file)}
        created = await client.call(
            "POST", api_path("accounts", account, "prompts"), body
        )
        print_json(created) if output is OutputFormat.JSON else print(created["id"])

    ctx.obj.run(command)


@prompt_app.command("delete")
def delete_prompt(
    ctx: typer.Context,
    account: AccountArgument,
    id: Annotated[str, typer.Argument(help="Id of the prompt")],
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Delete a stored prompt; takes effect everywhere within 9 s."""

    async def command(client: OperatorClient) -> None:
        request_path = api_path("accounts", account, "prompts", id)
        deleted = await client.call("DELETE", request_path)
        (
            print_json(deleted)
            if output is OutputFormat.JSON
            else print(f"deleted {deleted['id']}")
        )

    ctx.obj.run(command)


@action_app.command("resolve")
def resolve_action(
    ctx: typer.Context,
    account: AccountArgument,
    key: Annotated[str, typer.Argument(help="Idempotency key of the action")],
    outcome: Annotated[
        ActionOutcome, typer.Option(help="Whether the service carried it out")
    ],
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Resolve an action in doubt with the outcome found at its service."""

    async def command(client: OperatorClient) -> None:
        request_path = api_path("actions", account, key, "resolve")
        result = await client.call("POST", request_path, {"outcome": outcome.value})
        print_json(result) if output is OutputFormat.JSON else print(result["state"])

    ctx.obj.run(command)


@action_app.command("clear-suspect")
def clear_suspect(
    ctx: typer.Context,
    fingerprint: Annotated[str, typer.Argument(help="Fingerprint of the request")],
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Accept a request again that was rejected because it crashed backend servers."""

    async def command(client: OperatorClient) -> None:
        result = await client.call("POST", api_path("suspects", fingerprint, "clear"))
        (
            print_json(result)
            if output is OutputFormat.JSON
            else print(f"cleared {fingerprint}")
        )

    ctx.obj.run(command)


def _print_configuration(state: Any) -> None:
    print(f"Revision {state['revision']}")
    for name, entities_by_id in state.items():
        if isinstance(entities_by_id, dict) and entities_by_id:
            print(f"\n{name.removesuffix('_by_id').replace('_', ' ')}")
            rows = list(entities_by_id.values())
            print_rows(rows[0], rows)


def _read_json(file: str) -> Any:
    try:
        with sys.stdin if file == "-" else open(file, encoding="utf-8") as stream:
            return json.load(stream)
    except OSError as error:
        raise CommandError(
            f"File {file} cannot be read: {error.strerror}",
            remedy="Pass an existing file, or - for standard input",
        ) from None
    except ValueError as error:
        raise CommandError(
            f"File {file} is not valid JSON: {error}",
            remedy="Correct the file at that position",
        ) from None


def main() -> None:
    """Run the command line."""
    app()


__all__ = ["app", "main"]
