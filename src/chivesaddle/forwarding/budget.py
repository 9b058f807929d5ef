"""Limit on sends beyond the first of each request, shared by all daemons.

Every daemon takes a fixed part of the fleet's slack and the ratio of its own requests.
The parts add up to less than the whole without any message between daemons.
"""

from collections import deque
from collections.abc import Callable

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import ServiceId

# Requests move between daemons while some restart, and a restarted daemon starts with
# a full share; a quarter is kept back for both.
USED_SHARE = 0.75


class RetryBudget:
    """Counts requests and repeated sends by service over a sliding window.

    Parameters
    ----------
    clock : Clock
        Clock of the window.
    ratio : float
        Repeats allowed per request.
    slack : float
        Repeats allowed besides, for the whole fleet and window.
    window_s : float
        Length of the window.
    fleet_size : callable
        Number of daemons that share the slack.
    """

    def __init__(
        self,
        clock: Clock,
        ratio: float,
        slack: float,
        window_s: float,
        fleet_size: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._fleet_size = fleet_size
        self._requests: dict[ServiceId, deque[float]] = {}
        self._repeats: dict[ServiceId, deque[float]] = {}

    def record_request(self, service: ServiceId) -> None:
        """Count the first send of a request."""
        self._recent(self._requests, service).append(self._clock.seconds())

    def take(self, service: ServiceId) -> bool:
        """Count a repeated send if the budget has room for it."""
        requests = len(self._recent(self._requests, service))
        repeats = self._recent(self._repeats, service)
        share = self._slack / max(1, self._fleet_size())
        if len(repeats) + 1 > USED_SHARE * (self._ratio * requests + share):
            return False
        repeats.append(self._clock.seconds())
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
