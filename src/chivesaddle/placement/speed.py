"""How much longer work takes on a server whose machine has other workloads.

The load: 15 % of the servers run 2.5 times slower, for 600 ms at a time, and say so
only in their responses, of which one daemon gets about one per second and server.
"""

import math
from dataclasses import dataclass

# The weight of the newest figure falls to 0 over this time, the duration of a slow
# period: a server found slow at a random moment is on average halfway through.
FIGURE_LIFETIME_S = 0.6
# A figure of at least this counts as slow; servers of one service differ by up to 130.
SLOW_PERCENT = 150
USUAL_PERCENT = 100
# Half-life of a report in the share of slow ones: about ten slow periods and pauses.
SHARE_HALF_LIFE_S = 10.0
# Fast reports that are assumed before the first one, so that a single slow report does
# not count as a share of 1.
PRIOR_REPORTS = 3.0
# The share loses its weight over this time after the newest report. A server that is
# avoided sends no reports, and would otherwise be avoided for several half-lives.
SHARE_LIFETIME_S = 5.0
# Bound of the factor, so that no figure can keep a server from all requests.
MAX_FACTOR = 4.0


@dataclass(slots=True)
class ServerSpeed:
    """Speed of one server, from the work times that it reports.

    Excess times are relative to the usual time: 1.5 for work that takes 2.5 times as
    long. Times are of the local clock, in seconds.

    Attributes
    ----------
    newest_excess : float
        Excess time of the newest report, as of ``reported_at``.
    report_weight : float
        Number of reports, each weighted by its age.
    slow_excess : float
        Sum of the excess times of slow reports, weighted alike.
    usual_excess : float
        Share of slow reports times their mean excess time.
    """

    newest_excess: float = 0.0
    reported_at: float = -math.inf
    report_weight: float = 0.0
    slow_excess: float = 0.0
    usual_excess: float = 0.0

    def record(self, work_time_percent: int, at: float) -> None:
        """Record a report; one that is older than the newest is ignored."""
        if at < self.reported_at:
            return
        excess = (work_time_percent - USUAL_PERCENT) / USUAL_PERCENT
        excess = min(MAX_FACTOR - 1.0, max(0.0, excess))
        decay = 0.5 ** ((at - self.reported_at) / SHARE_HALF_LIFE_S)
        is_slow = work_time_percent >= SLOW_PERCENT
        self.report_weight = self.report_weight * decay + 1.0
        self.slow_excess = self.slow_excess * decay + (excess if is_slow else 0.0)
        # The share of slow reports times their mean: the number of slow ones cancels.
        self.usual_excess = self.slow_excess / (self.report_weight + PRIOR_REPORTS)
        self.newest_excess, self.reported_at = excess, at

    def expected_factor(self, now: float) -> float:
        """Return how much longer than usual work is expected to take, 1 to 4."""
        age_s = now - self.reported_at
        if age_s >= SHARE_LIFETIME_S:
            return 1.0
        factor = 1.0 + self.usual_excess * (1.0 - age_s / SHARE_LIFETIME_S)
        if age_s < FIGURE_LIFETIME_S:
            weight = 1.0 - age_s / FIGURE_LIFETIME_S
            factor += weight * (1.0 + self.newest_excess - factor)
        return factor


def with_report(
    speed: ServerSpeed | None, work_time_percent: int | None, at: float
) -> ServerSpeed | None:
    """Return the speed after a load report; None while no report had a work time."""
    if work_time_percent is None:
        return speed
    speed = speed or ServerSpeed()
    speed.record(work_time_percent, at)
    return speed


__all__ = ["ServerSpeed", "with_report"]
