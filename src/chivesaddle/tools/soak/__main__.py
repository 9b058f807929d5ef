"""Command line of the soak: ``python -m chivesaddle.tools.soak``."""

import secrets
import tempfile
from pathlib import Path
from typing import Annotated

import typer

from chivesaddle.tools.soak.run import run_seed

FAULT_S = 12.0


def main(
    seeds: Annotated[str, typer.Option(help="Seeds, separated by commas")] = "",
    count: Annotated[int, typer.Option(help="Fresh seeds, if none are named")] = 3,
    fault_s: Annotated[float, typer.Option(help="Seconds of faults")] = FAULT_S,
) -> None:
    """Play seeds; exit with status 1 if a promise was broken."""
    chosen = [int(seed) for seed in seeds.split(",") if seed]
    chosen = chosen or [secrets.randbelow(1_000_000) for _ in range(count)]
    failed = 0
    for seed in chosen:
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result, faults = run_seed(seed, fault_s, folder)
        typer.echo(
            f"seed {seed}: {result.requests} requests, {result.served:.2f} served, "
            f"{result.served_after_recovery:.2f} after recovery, "
            f"{len(result.violations)} violations"
        )
        if result.violations:
            failed += 1
            typer.echo(f"  logs: {folder}")
            for line in [*result.violations[:20], *faults]:
                typer.echo(f"  {line}")
    typer.echo(f"{len(chosen) - failed} passed, {failed} failed")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
