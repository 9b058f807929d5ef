"""Common parts of all commands: options, running, errors, and planning."""

import sys
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Annotated, Any
from urllib.parse import quote

import typer

from chivesaddle.cli.client import (
    CommandError,
    OperatorClient,
    ReactorRuntime,
    Runtime,
)
from chivesaddle.cli.output import (
    OutputFormat,
    print_confirmation,
    print_json,
    print_plan,
)
from chivesaddle.core.errors import ChivesaddleError

OutputOption = Annotated[OutputFormat, typer.Option(help="table or json")]
YesOption = Annotated[bool, typer.Option("--yes", help="Confirm the plan immediately")]
NoteOption = Annotated[
    str, typer.Option(help="Reason for the change, shown in the plan")
]


@dataclass
class CommandRunner:
    """Runs a command with the connection settings from the command line."""

    runtime: Runtime | None
    urls: list[str]
    key: str

    def run(
        self, command: Callable[[OperatorClient], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a command; if it fails, print the error and remedy and exit with 1."""
        self.run_with_runtime(
            lambda runtime: command(OperatorClient(runtime, self.urls, self.key))
        )

    def run_with_runtime(
        self, command: Callable[[Runtime], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a command that does not use the operator API, like `run`."""
        try:
            runtime = self.runtime or ReactorRuntime()
            runtime.run(command(runtime))
        except ChivesaddleError as error:
            print(f"error: {error.message}", file=sys.stderr)
            if error.remedy:
                print(f"remedy: {error.remedy}", file=sys.stderr)
            raise typer.Exit(1) from None
        except KeyboardInterrupt:
            raise typer.Exit(130) from None


def api_path(*segments: str) -> str:
    """Return a URL path of the operator API; quote each segment."""
    return "/operator/v1/" + "/".join(quote(segment, safe="") for segment in segments)


async def plan_and_confirm(
    client: OperatorClient, intent: Any, yes: bool, output: OutputFormat
) -> None:
    """Create a plan and print it; confirm it if ``yes`` is set."""
    plan = await client.call("POST", api_path("plans"), intent)
    if output is OutputFormat.TABLE:
        print_plan(plan)
    if not yes:
        if output is OutputFormat.JSON:
            print_json({"plan": plan})
        else:
            print(f"Nothing has changed yet. Run: chivesaddle confirm {plan['id']}")
        return
    try:
        confirmation = await confirm_plan(client, plan["id"])
    except CommandError:
        # The plan may hold a generated key, which no later call returns: print it also
        # if confirming fails.
        if output is OutputFormat.JSON:
            print_json({"plan": plan})
        raise
    if output is OutputFormat.JSON:
        print_json({"plan": plan, "confirmation": confirmation})
    else:
        print_confirmation(confirmation)


def confirm_plan(client: OperatorClient, plan_id: str) -> Awaitable[Any]:
    """Confirm a plan; idempotent."""
    return client.call("POST", api_path("plans", plan_id, "confirm"))


__all__ = [
    "CommandRunner",
    "NoteOption",
    "OutputOption",
    "YesOption",
    "api_path",
    "confirm_plan",
    "plan_and_confirm",
]
