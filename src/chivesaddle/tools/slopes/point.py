"""One point of one experiment, in a process of its own; prints its figures as JSON."""

import importlib
import json

import typer

from chivesaddle.core.aio import install_reactor
from chivesaddle.tools.slopes.memory import resident_kb


def main(experiment: str, x: float) -> None:
    """Measure ``experiment`` at ``x``."""
    install_reactor()
    # Everything that a daemon imports, without this tool's own modules.
    importlib.import_module("chivesaddle.daemon.app")
    imports_kb = resident_kb()
    from chivesaddle.tools.slopes import control, platform_use, serving

    measures = {
        "configured": control.configured,
        "accounts": control.accounts,
        "prompts": control.prompts,
        "daemons": control.daemons,
        "large_fleet": control.daemons,
        "zones": control.zones,
        "changes": control.changes,
        "polled": serving.polled,
        "polled_many": serving.polled,
        "grpc": serving.grpc,
        "tokens": serving.tokens,
        "actions": platform_use.actions,
        "stored_prompts": platform_use.stored_prompts,
        "relay": serving.relay,
        "relay_batched": serving.relay_batched,
    }
    figures = measures[experiment](x)
    typer.echo(json.dumps(figures | {"imports": imports_kb}))


if __name__ == "__main__":
    typer.run(main)
