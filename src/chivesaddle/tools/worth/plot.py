"""Plots the lost requests of a day over time."""

from collections import Counter
from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from chivesaddle.tools.worth.records import Day
from chivesaddle.tools.worth.summary import Loss

# The benchmark reports worth in windows of two seconds.
BIN_S = 2.0


def draw(losses: Sequence[Loss], day: Day | None, path: Path) -> None:
    """Write a PNG of lost requests by cause and of the worth earned, over the day."""
    figure, axis = pyplot.subplots(figsize=(9, 4.5), layout="constrained")
    times = [time_s for loss in losses for time_s in loss.times_s]
    bins = sorted({time_s // BIN_S * BIN_S for time_s in times})
    bottoms = dict.fromkeys(bins, 0)
    for loss in losses:
        counts = Counter(time_s // BIN_S * BIN_S for time_s in loss.times_s)
        heights = [counts[bin_start] for bin_start in bins]
        axis.bar(
            bins,
            heights,
            width=0.9 * BIN_S,
            align="edge",
            bottom=[bottoms[bin_start] for bin_start in bins],
            label=loss.cause.value,
        )
        for bin_start in bins:
            bottoms[bin_start] += counts[bin_start]
    axis.set_xlabel("second of the day")
    axis.set_ylabel("lost requests")
    if day is not None:
        worth_axis = axis.twinx()
        worth_axis.step(
            [time_s for time_s, _ in day.windows],
            [worth for _, worth in day.windows],
            where="post",
            color="black",
            linewidth=1.0,
        )
        worth_axis.set_ylim(0.0, 1.05)
        worth_axis.set_ylabel("share of the possible worth that was earned")
    if losses:
        figure.legend(fontsize="small", loc="outside lower center", ncols=3)
    figure.savefig(path, dpi=110)
    pyplot.close(figure)


__all__ = ["draw"]
