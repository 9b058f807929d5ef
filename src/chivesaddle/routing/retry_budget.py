"""Bound on retries, so that a failing pool is not loaded further by them."""

from collections import deque

WINDOW_S = 10
RETRY_SHARE = 0.1
# Lets a daemon with little traffic retry at all.
MIN_RETRIES = 3


class RetryBudget:
    """Retries are at most 10 % of the requests of the last 10 s, or three.

    Holds one entry per second of the window.
    """

    def __init__(self) -> None:
        # Entries are [second, requests, retries].
        self._seconds: deque[list[int]] = deque(maxlen=WINDOW_S + 1)

    def record_request(self, now: float) -> None:
        """Count a request that is not a retry."""
        self._second(now)[1] += 1

    def try_spend(self, now: float) -> bool:
        """Count a retry and return True, or return False if the budget is spent."""
        current = self._second(now)
        requests = sum(entry[1] for entry in self._seconds)
        retries = sum(entry[2] for entry in self._seconds)
        if retries >= max(MIN_RETRIES, int(RETRY_SHARE * requests)):
            return False
        current[2] += 1
        return True

    def _second(self, now: float) -> list[int]:
        while self._seconds and self._seconds[0][0] <= int(now) - WINDOW_S:
            self._seconds.popleft()
        if not self._seconds or self._seconds[-1][0] != int(now):
            self._seconds.append([int(now), 0, 0])
        return self._seconds[-1]


__all__ = ["RetryBudget"]
