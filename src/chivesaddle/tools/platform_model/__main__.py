"""Command line of the model: ``python -m chivesaddle.tools.platform_model``."""

from concurrent.futures import ProcessPoolExecutor
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from chivesaddle.tools.platform_model.fleet import Fleet, Placing, Policy, Result
from chivesaddle.tools.platform_model.traffic import Traffic

POLICIES = (
    Policy("chivesaddle"),
    Policy("no waiting line", line=False),
    Policy("no beacons", beacons=False),
    Policy("no KV stores", stores=False),
    Policy("no cache events", events=False),
    Policy("least loaded", line=False, placing=Placing.LEAST_LOADED),
    Policy("random", line=False, placing=Placing.RANDOM),
)
app = typer.Typer(add_completion=False)


def _play(policy: Policy, load: float, seed: int, seconds: float) -> Result:
    return Fleet(policy, seed).play(Traffic(load, seed), seconds)


@app.command()
def main(
    loads: Annotated[str, typer.Option(help="Multiples of the load")] = "0.5,1,2,4",
    seeds: Annotated[str, typer.Option(help="Seeds of the traffic")] = "1,2,3",
    seconds: Annotated[float, typer.Option(help="Virtual seconds of traffic")] = 34.0,
    jobs: Annotated[int, typer.Option(help="Processes at once")] = 2,
) -> None:
    """Play each policy at each load; print means over the seeds."""
    chosen_loads = [float(load) for load in loads.split(",")]
    chosen_seeds = [int(seed) for seed in seeds.split(",")]
    table = Table("load", "policy", "worth", "on time", "late", "refused", "left")
    table.add_column("read again, k tokens")
    with ProcessPoolExecutor(jobs) as pool:
        runs = {
            (load, policy.name): [
                pool.submit(_play, policy, load, seed, seconds) for seed in chosen_seeds
            ]
            for load in chosen_loads
            for policy in POLICIES
        }
        for (load, name), found in runs.items():
            results = [run.result() for run in found]
            asked = sum(result.asked for result in results)
            shares = [
                sum(getattr(result, field) for result in results) / asked
                for field in ("on_time", "late", "refused", "left")
            ]
            worth = sum(result.worth for result in results) / len(results)
            again = sum(result.read_again_tokens for result in results) / len(results)
            table.add_row(
                f"{load:g}",
                name,
                f"{worth:.3f}",
                *(f"{share:.3f}" for share in shares),
                f"{again / 1_000:.0f}",
            )
    Console(width=100).print(table)


if __name__ == "__main__":
    app()
