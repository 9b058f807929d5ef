"""Command line: ``python -m chivesaddle.tools.bench``."""

import json
from pathlib import Path
from typing import Annotated

import typer

from chivesaddle.tools.bench.experiments import run_all
from chivesaddle.tools.bench.report import render
from chivesaddle.tools.bench.workload import SCENARIOS


def main(
    output: Annotated[Path, typer.Option(help="JSON file for the results")] = Path(
        "build/bench.json"
    ),
    seed: Annotated[int, typer.Option(help="Seed of the workload")] = 1,
    duration: Annotated[float, typer.Option(help="Virtual seconds of each run")] = 60,
    workers: Annotated[int, typer.Option(help="Number of worker processes")] = 8,
) -> None:
    """Measure routing and KV reuse under load and print the results."""
    results = run_all(SCENARIOS, seed, duration, workers)
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps(results, indent=1, sort_keys=True) + "\n")
    typer.echo(render(results))


if __name__ == "__main__":
    typer.run(main)
