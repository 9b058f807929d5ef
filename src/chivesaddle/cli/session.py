"""What every command shares: the client, errors, and plan-then-confirm."""

import sys
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Annotated, Any
from urllib.parse import quote

import typer

from chivesaddle.cli.client import (
    CommandError,
    Driver,
    OperatorClient,
    ReactorDriver,
)
from chivesaddle.cli.output import (
    Output,
    print_confirmation,
    print_json,
    print_plan,
)
from chivesaddle.core.errors import ChivesaddleError

OutputOption = Annotated[Output, typer.Option(help="table or json")]
YesOption = Annotated[bool, typer.Option("--yes", help="Confirm the plan at once")]
NoteOption = Annotated[str, typer.Option(help="Reason, shown in the plan")]


@dataclass
class Session:
    """Connection settings of one command."""

    driver: Driver | None
    urls: list[str]
    key: str

    def run(
        self, command: Callable[[OperatorClient], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a command; print a failure with its remedy and exit with status 1."""
        try:
            driver = self.driver or ReactorDriver()
            driver.run(command(OperatorClient(driver, self.urls, self.key)))
        except ChivesaddleError as error:
            print(f"error: {error.message}", file=sys.stderr)
            if error.remedy:
                print(f"remedy: {error.remedy}", file=sys.stderr)
            raise typer.Exit(1) from None
        except KeyboardInterrupt:
            raise typer.Exit(130) from None


def path(*parts: str) -> str:
    """Return a path of the operators' API with quoted parts."""
    return "/operator/v1/" + "/".join(quote(part, safe="") for part in parts)


async def plan_and_confirm(
    client: OperatorClient, intent: Any, yes: bool, output: Output
) -> None:
    """Make a plan, print it, and confirm it only with ``yes``."""
    plan = await client.call("POST", path("plans"), intent)
    if output is Output.TABLE:
        print_plan(plan)
    if not yes:
        if output is Output.JSON:
            print_json({"plan": plan})
        else:
            print(f"Nothing has changed yet. Run: chivesaddle confirm {plan['id']}")
        return
    try:
        done = await confirm_plan(client, plan["id"])
    except CommandError:
        # A generated key is shown only once, also when the confirm fails.
        if output is Output.JSON:
            print_json({"plan": plan})
        raise
    if output is Output.JSON:
        print_json({"plan": plan, "confirmation": done})
    else:
        print_confirmation(done)


def confirm_plan(client: OperatorClient, plan_id: str) -> Awaitable[Any]:
    """Confirm a plan; safe to repeat."""
    return client.call("POST", path("plans", plan_id, "confirm"))


__all__ = [
    "NoteOption",
    "OutputOption",
    "Session",
    "YesOption",
    "confirm_plan",
    "path",
    "plan_and_confirm",
]
