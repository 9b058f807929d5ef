"""Command line: ``python -m chivesaddle.tools.bench``."""

import json
from pathlib import Path
from typing import Annotated

import typer

from chivesaddle.tools.bench.experiments import run_all
from chivesaddle.tools.bench.report import render
from chivesaddle.tools.bench.workload import SHAPES


def main(
    output: Annotated[Path, typer.Option(help="File of the figures")] = Path(
        "build/bench.json"
    ),
    seed: Annotated[int, typer.Option(help="Seed of the workload")] = 1,
    duration: Annotated[float, typer.Option(help="Virtual seconds of each run")] = 60,
    workers: Annotated[int, typer.Option(help="Parallel processes")] = 8,
) -> None:
    """Measure the decisions under load and print the figures."""
    figures = run_all(SHAPES, seed, duration, workers)
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps(figures, indent=1, sort_keys=True) + "\n")
    typer.echo(render(figures))


if __name__ == "__main__":
    typer.run(main)
