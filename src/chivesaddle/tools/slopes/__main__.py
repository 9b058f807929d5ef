"""Measure all slopes, print them and write ``build/slopes.json``.

Each point runs in a process of its own, one after the other, with a time limit. Other
work on the machine affects wall time more than the processor time reported here; the
load average before and after the run is part of the output.
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

POINT_S = 90.0
TOTAL_S = 540.0


def measure(experiment: str, x: float, deadline: float) -> dict[str, float]:
    """Run one point; raises `subprocess.SubprocessError` if it fails or is late."""
    left = min(POINT_S, deadline - time.monotonic())
    command = [sys.executable, "-m", "chivesaddle.tools.slopes.point", experiment]
    done = subprocess.run(
        [*command, str(x)],
        stdout=subprocess.PIPE,
        text=True,
        timeout=max(0.1, left),
        check=True,
    )
    return json.loads(done.stdout.splitlines()[-1])


def summary(name: str, points: dict[float, dict[str, float]]) -> dict[str, Any]:
    """Return the series of one experiment with their fits."""
    experiment = EXPERIMENTS[name]
    series: dict[str, Any] = {}
    for figure, unit in experiment.units.items():
        ys = [points[x][figure] for x in experiment.points]
        fit = Fit.from_points(experiment.points, ys)
        values = {"x": experiment.x, "unit": unit, "xs": experiment.points, "ys": ys}
        series[f"{name}.{figure}"] = values | asdict(fit)
    return series


def print_series(series: dict[str, Any]) -> None:
    """Print one line a series."""
    for name, row in series.items():
        points = " ".join(f"{y:.4g}" for y in row["ys"])
        typer.echo(
            f"{name:<28}{row['intercept']:>11.4g}{row['slope']:>12.4g}"
            f"{row['max_residual']:>11.3g}  {row['unit']:<26}{points}"
        )


def main(
    only: Annotated[list[str] | None, typer.Argument(help="Experiments")] = None,
    output: Annotated[Path, typer.Option(help="File of the results")] = Path(
        "build/slopes.json"
    ),
) -> None:
    """Measure and fit; ends with status 1 if a point fails."""
    began, loads = time.monotonic(), [os.getloadavg()[0]]
    series: dict[str, Any] = {}
    imports: list[float] = []
    typer.echo(
        f"{'series':<28}{'intercept':>11}{'slope':>12}{'residual':>11}  "
        f"{'unit':<26}points"
    )
    for name in only or EXPERIMENTS:
        points: dict[float, dict[str, float]] = {}
        for x in EXPERIMENTS[name].points:
            try:
                points[x] = measure(name, x, began + TOTAL_S)
            except subprocess.SubprocessError as error:
                typer.echo(f"slopes: {name} at {x}: {error}", err=True)
                raise typer.Exit(1) from None
            imports.append(points[x]["imports"])
        found = summary(name, points)
        print_series(found)
        series |= found
    loads.append(os.getloadavg()[0])
    took = time.monotonic() - began
    imports_kb = sorted(imports)[len(imports) // 2]
    result = {
        "series": series,
        "imports_kb": imports_kb,
        "load_average": loads,
        "processors": os.cpu_count(),
        "seconds": round(took),
    }
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps(result, indent=1) + "\n")
    typer.echo(
        f"imports {imports_kb / 1e3:.1f} MB; load average {loads[0]:.1f} to "
        f"{loads[1]:.1f} on {result['processors']} processors; {took:.0f} s"
    )


if __name__ == "__main__":
    typer.run(main)
