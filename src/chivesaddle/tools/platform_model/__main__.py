"""Command line of the simulation: ``python -m chivesaddle.tools.platform_model``."""

from concurrent.futures import ProcessPoolExecutor
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from chivesaddle.tools.platform_model.fleet import (
    Policy,
    Result,
    ServerSelection,
    SimulatedFleet,
)
from chivesaddle.tools.platform_model.traffic import TrafficGenerator

POLICIES = (
    Policy("chivesaddle"),
    Policy("no queue", queue=False),
    Policy("no beacons", beacons=False),
    Policy("no KV stores", kv_stores=False),
    Policy("no cache events", cache_events=False),
    Policy("daemons alone", cache_events=False, kv_stores=False, beacons=False),
    Policy("least loaded", queue=False, selection=ServerSelection.LEAST_LOADED),
    Policy("random", queue=False, selection=ServerSelection.RANDOM),
)
app = typer.Typer(add_completion=False)


def _simulate(
    policy: Policy, load: float, seed: int, seconds: float, daemons: int, engines: int
) -> Result:
    fleet = SimulatedFleet(policy, seed, daemons=daemons, engines=engines)
    return fleet.simulate(TrafficGenerator(load, seed), seconds)


@app.command()
def main(
    loads: Annotated[
        str, typer.Option(help="Arrival rates, as multiples of the normal rate")
    ] = "0.5,1,2,4",
    seeds: Annotated[str, typer.Option(help="Seeds of the traffic")] = "1,2,3",
    seconds: Annotated[float, typer.Option(help="Simulated seconds of traffic")] = 34.0,
    daemons: Annotated[int, typer.Option(help="Daemons that take callers")] = 6,
    engines: Annotated[int, typer.Option(help="Model engines")] = 5,
    jobs: Annotated[int, typer.Option(help="Simulations to run in parallel")] = 2,
) -> None:
    """Simulate each policy at each load; print means over the seeds."""
    chosen_loads = [float(load) for load in loads.split(",")]
    chosen_seeds = [int(seed) for seed in seeds.split(",")]
    table = Table("load", "policy", "worth", "on time", "late", "refused", "abandoned")
    table.add_column("recomputed, k tokens")
    with ProcessPoolExecutor(jobs) as pool:
        futures_by_case = {
            (load, policy.name): [
                pool.submit(_simulate, policy, load, seed, seconds, daemons, engines)
                for seed in chosen_seeds
            ]
            for load in chosen_loads
            for policy in POLICIES
        }
        for (load, name), futures in futures_by_case.items():
            results = [future.result() for future in futures]
            arrived = sum(result.arrived for result in results)
            shares = [
                sum(getattr(result, field) for result in results) / arrived
                for field in ("on_time", "late", "refused", "abandoned")
            ]
            worth = sum(result.worth for result in results) / len(results)
            recomputed_tokens = sum(
                result.recomputed_tokens for result in results
            ) / len(results)
            table.add_row(
                f"{load:g}",
                name,
                f"{worth:.3f}",
                *(f"{share:.3f}" for share in shares),
                f"{recomputed_tokens / 1_000:.0f}",
            )
    Console(width=100).print(table)


if __name__ == "__main__":
    app()
