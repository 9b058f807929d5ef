"""Runs one point of one experiment and prints its measurements as JSON."""

import importlib
import json

import typer

from chivesaddle.core.aio import install_reactor
from chivesaddle.tools.slopes.memory import resident_kb


def main(experiment: str, x: float) -> None:
    """Run ``experiment`` with ``x``, in a process that runs nothing else."""
    install_reactor()
    # Imports all modules of a daemon. Their memory is measured before this tool's own
    # modules are imported.
    importlib.import_module("chivesaddle.daemon.app")
    imports_kb = resident_kb()
    from chivesaddle.tools.slopes import control, platform_use, serving

    measure_by_experiment = {
        "configured": control.measure_configured_servers,
        "accounts": control.measure_accounts,
        "prompts": control.measure_reported_prompts,
        "daemons": control.measure_daemons,
        "large_fleet": control.measure_daemons,
        "zones": control.measure_zones,
        "changes": control.measure_changes,
        "polled": serving.measure_polling,
        "polled_many": serving.measure_polling,
        "grpc": serving.measure_exchanges,
        "tokens": serving.measure_streaming,
        "actions": platform_use.measure_actions,
        "stored_prompts": platform_use.measure_stored_prompts,
        "relay": serving.measure_relay,
        "relay_batched": serving.measure_batched_relay,
    }
    measurements = measure_by_experiment[experiment](x)
    typer.echo(json.dumps(measurements | {"imports": imports_kb}))


if __name__ == "__main__":
    typer.run(main)
