"""Processor time that this daemon uses, as one measure of its load."""

import time
from collections.abc import Callable

from chivesaddle.core.aio import Clock

# Shorter intervals would mostly measure single requests.
MIN_INTERVAL_S = 1.0
# Weight of the newest interval in the average.
LATEST_WEIGHT = 0.5


class ProcessorDemand:
    """Average processor use of this process.

    Parameters
    ----------
    clock : Clock
        Clock of the intervals.
    speed : float
        Speed of the instance's processor, relative to one core.
    processor_time : callable
        Returns the processor time of this process in seconds.
    """

    def __init__(
        self,
        clock: Clock,
        speed: float,
        processor_time: Callable[[], float] = time.process_time,
    ) -> None:
        self._clock = clock
        self._speed = speed
        self._processor_time = processor_time
        self._since = clock.seconds()
        self._used_before = processor_time()
        self._cores = 0.0

    def cores(self) -> float:
        """Return the recent use in cores of standard speed."""
        now = self._clock.seconds()
        if now - self._since >= MIN_INTERVAL_S:
            used = self._processor_time()
            latest = self._speed * (used - self._used_before) / (now - self._since)
            self._cores += LATEST_WEIGHT * (latest - self._cores)
            self._since, self._used_before = now, used
        return self._cores


__all__ = ["ProcessorDemand"]
