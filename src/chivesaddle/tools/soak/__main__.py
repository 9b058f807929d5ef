"""Command line of the soak test: ``python -m chivesaddle.tools.soak``."""

import secrets
import tempfile
import traceback
from pathlib import Path
from typing import Annotated

import typer

from chivesaddle.tools.soak import FIRST_SILENCE_SEED, run_seed

FAULT_S = 12.0


def main(
    seeds: Annotated[str, typer.Option(help="Seeds, separated by commas")] = "",
    count: Annotated[int, typer.Option(help="Random seeds, if none are given")] = 3,
    fault_s: Annotated[float, typer.Option(help="Seconds of faults")] = FAULT_S,
) -> None:
    """Run the soak test with each seed; exit with status 1 unless all passed."""
    chosen_seeds = [int(seed) for seed in seeds.split(",") if seed]
    chosen_seeds = chosen_seeds or [
        secrets.randbelow(2 * FIRST_SILENCE_SEED) for _ in range(count)
    ]
    failed = 0
    for seed in chosen_seeds:
        build_dir = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        try:
            result, fault_log = run_seed(seed, fault_s, build_dir)
        except Exception:
            failed += 1
            typer.echo(f"seed {seed}: not played to its end, logs: {build_dir}")
            traceback.print_exc()
            continue
        recovered = result.served_after_recovery
        after_recovery = (
            "" if recovered is None else f"{recovered:.2f} after recovery, "
        )
        typer.echo(
            f"seed {seed}: {result.requests} requests, "
            f"{result.served_share:.2f} served, "
            f"{after_recovery}{len(result.violations)} violations"
        )
        if result.violations:
            failed += 1
            typer.echo(f"  logs: {build_dir}")
            for line in [*result.violations[:20], *fault_log]:
                typer.echo(f"  {line}")
    typer.echo(f"{len(chosen_seeds) - failed} passed, {failed} failed")
    raise typer.Exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)
