"""Common times at which the periodic tasks of an idle daemon run.

A task that finds nothing to do costs less than waking the process for it, so tasks
whose times do not matter to a fraction of a second share wake-ups.
"""

import math

from chivesaddle.core.aio import Clock

# A timer that fires this much early counts as on time.
EARLY_S = 0.001


class TickGrid:
    """Times that are multiples of an interval after the start of the daemon.

    The times of daemons on one machine differ, since their starts do.

    Parameters
    ----------
    clock : Clock
        Clock of the times.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> clock = Clock()
    >>> grid = TickGrid(clock)
    >>> clock.advance(0.625)
    >>> grid.delay_s(0.25), grid.delay_s(0.5), grid.delay_s(1.0)
    (0.125, 0.375, 0.375)
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._origin = clock.seconds()

    def delay_s(self, interval_s: float) -> float:
        """Return the seconds until the next tick, ``interval_s`` at most."""
        elapsed_s = self._clock.seconds() - self._origin + EARLY_S
        ticks = math.floor(elapsed_s / interval_s) + 1
        return min(interval_s, ticks * interval_s - elapsed_s + EARLY_S)


__all__ = ["TickGrid"]
