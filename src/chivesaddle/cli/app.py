"""The operators' command-line tool."""

import json
import sys
import uuid
from enum import Enum
from typing import Annotated, Any

import typer

from chivesaddle.cli import entities
from chivesaddle.cli.client import CommandError, OperatorClient
from chivesaddle.cli.output import (
    Output,
    print_confirmation,
    print_events,
    print_json,
    print_plan,
    print_rows,
)
from chivesaddle.cli.session import (
    OutputOption,
    Session,
    YesOption,
    confirm_plan,
    path,
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
app.add_typer(entities.account, name="account")
app.add_typer(entities.model, name="model")
app.add_typer(entities.backend_server, name="backend-server")
app.add_typer(entities.store, name="store")
app.add_typer(entities.service, name="service")
prompt = typer.Typer(no_args_is_help=True, help="Stored prompts of an account.")
app.add_typer(prompt, name="prompt")
action = typer.Typer(no_args_is_help=True, help="Actions in doubt, suspect requests.")
app.add_typer(action, name="action")

AccountArgument = Annotated[str, typer.Argument(help="Id of the account")]


class Outcome(Enum):
    """What happened to an action in doubt."""

    DONE = "done"
    NOT_RUN = "not_run"


@app.callback()
def connect(
    ctx: typer.Context,
    url: Annotated[
        str,
        typer.Option(
            envvar="CHIVESADDLE_URL",
            help="Base URLs of operators' listeners, tried in order; comma-separated",
        ),
    ] = "",
    key: Annotated[
        str,
        typer.Option(envvar="CHIVESADDLE_KEY", help="Operator key", show_default=False),
    ] = "",
) -> None:
    """Plan, confirm and observe the configuration of chivesaddle."""
    urls = url.replace(",", " ").split()
    ctx.obj = Session(driver=ctx.obj, urls=urls, key=key)


@app.command()
def plan(
    ctx: typer.Context,
    file: Annotated[str, typer.Argument(help="JSON file with an intent; - for input")],
    yes: YesOption = False,
    output: OutputOption = Output.TABLE,
) -> None:
    """Make a plan from an intent and print it; nothing changes without --yes."""

    async def command(client: OperatorClient) -> None:
        await plan_and_confirm(client, _read_json(file), yes, output)

    ctx.obj.run(command)


@app.command()
def show(
    ctx: typer.Context,
    id: Annotated[
        str, typer.Argument(help="Id of a plan; the configuration if absent")
    ] = "",
    output: OutputOption = Output.TABLE,
) -> None:
    """Show a plan, or the configuration in force."""

    async def command(client: OperatorClient) -> None:
        where = path("plans", id) if id else path("configuration")
        data = await client.call("GET", where)
        if output is Output.JSON:
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
    output: OutputOption = Output.TABLE,
) -> None:
    """Put a plan in force; repeating it is safe."""

    async def command(client: OperatorClient) -> None:
        done = await confirm_plan(client, id)
        print_json(done) if output is Output.JSON else print_confirmation(done)

    ctx.obj.run(command)


@app.command()
def status(ctx: typer.Context, output: OutputOption = Output.TABLE) -> None:
    """Show all daemons and the configuration of the one that answers."""

    async def command(client: OperatorClient) -> None:
        data = await client.call("GET", path("status"))
        if output is Output.JSON:
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
    request: Annotated[str, typer.Option(help="Only this request")] = "",
    account: Annotated[str, typer.Option(help="Only this account")] = "",
    object: Annotated[str, typer.Option(help="Only this object")] = "",
    follow: Annotated[bool, typer.Option("--follow", help="Keep printing")] = False,
    output: OutputOption = Output.TABLE,
) -> None:
    """Print the events of all daemons in order; with JSON one event a line."""
    given = {"request": request, "account": account, "object": object}
    params = {name: value for name, value in given.items() if value}

    async def command(client: OperatorClient) -> None:
        missing: list[str] = []
        async for answer in follow_timeline(client, params, once=not follow):
            if output is Output.JSON:
                for event in answer["events"]:
                    print(json.dumps(event, ensure_ascii=False))
            else:
                print_events(answer["events"])
            sys.stdout.flush()
            if answer["missing_daemons"] != missing:
                missing = answer["missing_daemons"]
                names = ", ".join(missing) or "none"
                print(f"No answer from: {names}", file=sys.stderr)

    ctx.obj.run(command)


@prompt.command("list")
def list_prompts(
    ctx: typer.Context, account: AccountArgument, output: OutputOption = Output.TABLE
) -> None:
    """List the stored prompts of an account."""

    async def command(client: OperatorClient) -> None:
        data = await client.call("GET", path("accounts", account, "prompts"))
        if output is Output.JSON:
            print_json(data["prompts"])
        else:
            print_rows(("id", "bytes"), data["prompts"])

    ctx.obj.run(command)


@prompt.command("put")
def put_prompt(
    ctx: typer.Context,
    account: AccountArgument,
    file: Annotated[str, typer.Argument(help="JSON file with the body; - for input")],
    id: Annotated[str, typer.Option(help="Id of the prompt; random if absent")] = "",
    output: OutputOption = Output.TABLE,
) -> None:
    """Store a prompt; takes effect at once."""
    # Chosen here, so that a repetition on another daemon is the same prompt.
    body_id = id or uuid.uuid4().hex

    async def command(client: OperatorClient) -> None:
        body = {"id": body_id, "body": _read_json(file)}
        made = await client.call("POST", path("accounts", account, "prompts"), body)
        print_json(made) if output is Output.JSON else print(made["id"])

    ctx.obj.run(command)


@prompt.command("delete")
def delete_prompt(
    ctx: typer.Context,
    account: AccountArgument,
    id: Annotated[str, typer.Argument(help="Id of the prompt")],
    output: OutputOption = Output.TABLE,
) -> None:
    """Delete a stored prompt; takes effect everywhere within 9 s."""

    async def command(client: OperatorClient) -> None:
        where = path("accounts", account, "prompts", id)
        gone = await client.call("DELETE", where)
        print_json(gone) if output is Output.JSON else print(f"deleted {gone['id']}")

    ctx.obj.run(command)


@action.command("resolve")
def resolve_action(
    ctx: typer.Context,
    account: AccountArgument,
    key: Annotated[str, typer.Argument(help="Idempotency key of the action")],
    outcome: Annotated[Outcome, typer.Option(help="What really happened")],
    output: OutputOption = Output.TABLE,
) -> None:
    """Decide an action in doubt after looking it up at its service."""

    async def command(client: OperatorClient) -> None:
        where = path("actions", account, key, "resolve")
        done = await client.call("POST", where, {"outcome": outcome.value})
        print_json(done) if output is Output.JSON else print(done["state"])

    ctx.obj.run(command)


@action.command("clear-suspect")
def clear_suspect(
    ctx: typer.Context,
    fingerprint: Annotated[str, typer.Argument(help="Fingerprint of the request")],
    output: OutputOption = Output.TABLE,
) -> None:
    """Let a request run again that was rejected because it crashed servers."""

    async def command(client: OperatorClient) -> None:
        done = await client.call("POST", path("suspects", fingerprint, "clear"))
        print_json(done) if output is Output.JSON else print(f"cleared {fingerprint}")

    ctx.obj.run(command)


def _print_configuration(state: Any) -> None:
    print(f"Revision {state['revision']}")
    for name, items in state.items():
        if isinstance(items, dict) and items:
            print(f"\n{name.removesuffix('_by_id').replace('_', ' ')}")
            rows = list(items.values())
            print_rows(rows[0], rows)


def _read_json(file: str) -> Any:
    try:
        with sys.stdin if file == "-" else open(file, encoding="utf-8") as stream:
            return json.load(stream)
    except OSError as error:
        raise CommandError(
            f"File {file} cannot be read: {error.strerror}",
            remedy="Give an existing file, or - for standard input",
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
