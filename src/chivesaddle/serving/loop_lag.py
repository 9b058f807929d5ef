"""How late the event loop runs its timers, and with them everything else."""

import math
from collections.abc import Callable

from chivesaddle.core.aio import Clock
from chivesaddle.core.logs import ComponentLogger

# A caller that sees no progress within a second gives up an idempotent request.
LATE_S = 0.25
# What a peer sent while this process was suspended is retransmitted until then.
LATE_EFFECTS_S = 5.0

log = ComponentLogger("event loop")


class LoopLag:
    """Measures the delay of timers and reports it while it is large.

    Parameters
    ----------
    clock : Clock
        Clock of the timers.
    observe : callable
        Called with the delay of each timer in seconds.
    in_flight : callable
        Returns the number of callers' requests without a complete response.
    """

    def __init__(
        self,
        clock: Clock,
        observe: Callable[[float], None],
        in_flight: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._observe = observe
        self._in_flight = in_flight
        self._is_late = False
        self._late_at = -math.inf

    @property
    def was_late(self) -> bool:
        """Whether a timer was late within `LATE_EFFECTS_S`."""
        return self._clock.seconds() - self._late_at < LATE_EFFECTS_S

    def record_timer(self, due: float) -> None:
        """Record that a timer that was due at a time fires now."""
        lag_s = max(0.0, self._clock.seconds() - due)
        self._observe(lag_s)
        was_late, self._is_late = self._is_late, lag_s >= LATE_S
        if self._is_late:
            self._late_at = self._clock.seconds()
        if self._is_late or was_late:
            log.warning(
                "late" if self._is_late else "in time",
                extra={"lag_ms": round(lag_s * 1e3), "in_flight": self._in_flight()},
            )


__all__ = ["LATE_S", "LoopLag"]
