"""Command line of the loss report: ``python -m chivesaddle.tools.worth LOG``."""

from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from chivesaddle.core.errors import InvalidValue
from chivesaddle.tools.worth.records import Day, read_log, read_report
from chivesaddle.tools.worth.summary import Loss, losses_by_cause

# Smaller penalties are left out; the worth of a day varies by 0.03 between runs.
MIN_PENALTY_SHOWN = 0.002


app = typer.Typer(add_completion=False)


@app.command()
def main(
    log: Annotated[
        Path, typer.Argument(help="Output of a benchmark run with --log all")
    ],
    report: Annotated[
        Path | None, typer.Option(help="Report of the same day, from --report")
    ] = None,
    plot: Annotated[Path | None, typer.Option(help="PNG file to draw")] = None,
) -> None:
    """Show the causes of lost requests and the penalties of a day."""
    console = Console()
    try:
        with log.open(errors="replace") as lines:
            losses = losses_by_cause(read_log(lines))
        day = None if report is None else read_report(report)
    except (OSError, InvalidValue) as error:
        console.print(f"worth: {error}", style="red", markup=False)
        raise typer.Exit(2) from error
    console.print(_losses_table(losses))
    if day is not None:
        console.print(_penalties_table(day))
    if plot is not None:
        # Imported here, since matplotlib takes half a second to import.
        from chivesaddle.tools.worth.plot import draw

        draw(losses, day, plot)
        console.print(f"plot: {plot}", markup=False)


def _losses_table(losses: list[Loss]) -> Table:
    table = Table("cause", "requests", "share", "beyond target, ms", "first id")
    for loss in losses:
        excess = f"{loss.excess_ms:.0f}" if loss.excess_ms else ""
        table.add_row(
            loss.cause.value,
            str(loss.count),
            f"{loss.share:.3f}",
            excess,
            loss.example,
        )
    return table


def _penalties_table(day: Day) -> Table:
    table = Table("part or penalty", "value", "effect on worth")
    for name, weight, value in day.parts:
        table.add_row(name, f"{value:.3f}", f"{weight * value:+.3f}")
    for name, amount, loss in sorted(day.penalties, key=lambda penalty: -penalty[2]):
        if loss >= MIN_PENALTY_SHOWN:
            table.add_row(name, f"{amount:.1f}", f"{-loss:+.3f}")
    table.add_section()
    table.add_row("worth", "", f"{day.worth:.3f}")
    return table


if __name__ == "__main__":
    app()
