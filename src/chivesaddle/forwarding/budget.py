"""Fleet-wide limit on retries, which daemons apply without exchanging messages.

Each daemon may use an equal share of the fleet's slack plus the given ratio of its own
requests. Together the daemons stay below the limit for the fleet.
"""

import math
from collections import deque
from collections.abc import Callable

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import ServiceId

# Share of its limit that a daemon uses. The remaining quarter is a reserve for requests
# that move between daemons during restarts.
USABLE_SHARE = 0.75
# Share of the slack that a daemon uses in its first window. Before it was restarted, it
# may have used up the other one, and so may all daemons that were killed at once.
FIRST_SHARE_OF_SLACK = 1.0 - USABLE_SHARE


class RetryBudget:
    """Counts requests and retries per service over a sliding window.

    Parameters
    ----------
    clock : Clock
        Clock of the window.
    ratio : float
        Retries allowed per request.
    slack : float
        Additional retries allowed for the whole fleet per window.
    window_s : float
        Length of the window.
    fleet_size : callable
        Number of daemons that share the slack.
    started_at : float
        When this process started, in seconds on the clock; minus infinity if no other
        one used the limit before it.
    """

    def __init__(
        self,
        clock: Clock,
        ratio: float,
        slack: float,
        window_s: float,
        fleet_size: Callable[[], int],
        started_at: float = -math.inf,
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._fleet_size = fleet_size
        self._first_window_until = started_at + window_s
        self._requests: dict[ServiceId, deque[float]] = {}
        self._retries: dict[ServiceId, deque[float]] = {}

    def record_request(self, service: ServiceId) -> None:
        """Record the first send of a request."""
        self._recent(self._requests, service).append(self._clock.seconds())

    def allows_retry(self, service: ServiceId) -> bool:
        """Return whether the budget allows a retry now, without recording one."""
        requests = len(self._recent(self._requests, service))
        retries = len(self._recent(self._retries, service))
        slack = self._slack / max(1, self._fleet_size())
        is_first = self._clock.seconds() < self._first_window_until
        slack *= FIRST_SHARE_OF_SLACK if is_first else USABLE_SHARE
        return retries + 1 <= USABLE_SHARE * self._ratio * requests + slack

    def try_acquire(self, service: ServiceId) -> bool:
        """Record a retry and return True if the budget allows it."""
        if not self.allows_retry(service):
            return False
        self._recent(self._retries, service).append(self._clock.seconds())
        return True

    def _recent(
        self, times_by_service: dict[ServiceId, deque[float]], service: ServiceId
    ) -> deque[float]:
        times = times_by_service.setdefault(service, deque())
        oldest = self._clock.seconds() - self._window_s
        while times and times[0] < oldest:
            times.popleft()
        return times


__all__ = ["RetryBudget"]
