"""Draws a day's losses over time."""

from collections import Counter
from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from chivesaddle.tools.worth.records import Day
from chivesaddle.tools.worth.summary import Loss

# The bench reports windows of two seconds.
BIN_S = 2.0


def draw(found: Sequence[Loss], day: Day | None, path: Path) -> None:
    """Write a PNG: lost requests by cause, and the worth earned, over the day."""
    figure, axis = pyplot.subplots(figsize=(9, 4.5), layout="constrained")
    times = [at for loss in found for at in loss.times_s]
    bins = sorted({at // BIN_S * BIN_S for at in times})
    below = dict.fromkeys(bins, 0)
    for loss in found:
        counts = Counter(at // BIN_S * BIN_S for at in loss.times_s)
        heights = [counts[start] for start in bins]
        axis.bar(
            bins,
            heights,
            width=0.9 * BIN_S,
            align="edge",
            bottom=[below[start] for start in bins],
            label=loss.cause.value,
        )
        for start in bins:
            below[start] += counts[start]
    axis.set_xlabel("second of the day")
    axis.set_ylabel("lost requests")
    if day is not None:
        earned = axis.twinx()
        earned.step(
            [at for at, _ in day.windows],
            [worth for _, worth in day.windows],
            where="post",
            color="black",
            linewidth=1.0,
        )
        earned.set_ylim(0.0, 1.05)
        earned.set_ylabel("share of the worth owed that was earned")
    if found:
        figure.legend(fontsize="small", loc="outside lower center", ncols=3)
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


__all__ = ["draw"]
