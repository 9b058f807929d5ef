"""Work that callers' requests cause at this daemon, as one measure of its load."""

from collections import deque

from chivesaddle.core.aio import Clock

# Processor time of a standard core for one request, its events included.
CORE_S_PER_REQUEST = 0.006
WINDOW_S = 2.0


class RequestDemand:
    """Rate of this daemon's requests over the last `WINDOW_S`.

    Parameters
    ----------
    clock : Clock
        Clock of the window.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ended_at: deque[float] = deque()

    def record_request(self) -> None:
        """Record the end of a request."""
        self._ended_at.append(self._clock.seconds())
        self._drop_old()

    def cores(self) -> float:
        """Return the processor demand of the requests, in cores of standard speed."""
        self._drop_old()
        return CORE_S_PER_REQUEST * len(self._ended_at) / WINDOW_S

    def _drop_old(self) -> None:
        oldest = self._clock.seconds() - WINDOW_S
        while self._ended_at and self._ended_at[0] < oldest:
            self._ended_at.popleft()


__all__ = ["RequestDemand"]
