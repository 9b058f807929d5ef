"""Runs all experiments, prints their fits and writes ``build/slopes.json``.

The points run one after the other, each in its own process with a time limit. The
reported processor time depends less than wall time on other work on the machine. The
output includes the load average before and after the run.
"""

import json
import os
import subprocess
import sys
import time
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Any

import typer

from chivesaddle.tools.slopes.fits import Fit
from chivesaddle.tools.slopes.schema import EXPERIMENTS

POINT_TIMEOUT_S = 90.0
TOTAL_TIMEOUT_S = 540.0


def run_point(experiment: str, x: float, deadline: float) -> dict[str, float]:
    """Run one point; raises `subprocess.SubprocessError` if it fails or times out."""
    timeout_s = min(POINT_TIMEOUT_S, deadline - time.monotonic())
    command = [sys.executable, "-m", "chivesaddle.tools.slopes.point", experiment]
    completed = subprocess.run(
        [*command, str(x)],
        stdout=subprocess.PIPE,
        text=True,
        timeout=max(0.1, timeout_s),
        check=True,
    )
    return json.loads(completed.stdout.splitlines()[-1])


def fit_experiment(name: str, points: dict[float, dict[str, float]]) -> dict[str, Any]:
    """Return the series of one experiment, by name, each with a fitted line."""
    experiment = EXPERIMENTS[name]
    series: dict[str, Any] = {}
    for metric, unit in experiment.units.items():
        ys = [points[x][metric] for x in experiment.points]
        fit = Fit.from_points(experiment.points, ys)
        values = {"x": experiment.x, "unit": unit, "xs": experiment.points, "ys": ys}
        series[f"{name}.{metric}"] = values | asdict(fit)
    return series


def print_series(series: dict[str, Any]) -> None:
    """Print one line per series."""
    for name, row in series.items():
        points = " ".join(f"{y:.4g}" for y in row["ys"])
        typer.echo(
            f"{name:<28}{row['intercept']:>11.4g}{row['slope']:>12.4g}"
            f"{row['max_residual']:>11.3g}  {row['unit']:<26}{points}"
        )


def main(
    names: Annotated[
        list[str] | None,
        typer.Argument(help="Experiments to run; all if none is named"),
    ] = None,
    output: Annotated[Path, typer.Option(help="JSON file for the results")] = Path(
        "build/slopes.json"
    ),
) -> None:
    """Run the experiments and fit lines; exits with status 1 if a point fails."""
    started_at, load_averages = time.monotonic(), [os.getloadavg()[0]]
    series: dict[str, Any] = {}
    imports_kb_by_point: list[float] = []
    typer.echo(
        f"{'series':<28}{'intercept':>11}{'slope':>12}{'residual':>11}  "
        f"{'unit':<26}points"
    )
    for name in names or EXPERIMENTS:
        points: dict[float, dict[str, float]] = {}
        for x in EXPERIMENTS[name].points:
            try:
                points[x] = run_point(name, x, started_at + TOTAL_TIMEOUT_S)
            except subprocess.SubprocessError as error:
                typer.echo(f"slopes: {name} at {x}: {error}", err=True)
                raise typer.Exit(1) from None
            imports_kb_by_point.append(points[x]["imports"])
        fitted = fit_experiment(name, points)
        print_series(fitted)
        series |= fitted
    load_averages.append(os.getloadavg()[0])
    elapsed_s = time.monotonic() - started_at
    imports_kb = sorted(imports_kb_by_point)[len(imports_kb_by_point) // 2]
    result = {
        "series": series,
        "imports_kb": imports_kb,
        "load_average": load_averages,
        "processors": os.cpu_count(),
        "seconds": round(elapsed_s),
    }
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps(result, indent=1) + "\n")
    typer.echo(
        f"imports {imports_kb / 1e3:.1f} MB; load average {load_averages[0]:.1f} to "
        f"{load_averages[1]:.1f} on {result['processors']} processors; "
        f"{elapsed_s:.0f} s"
    )


if __name__ == "__main__":
    typer.run(main)
