"""Retry budget, which keeps retries from adding much load to a failing pool."""

from collections import deque

WINDOW_S = 10
RETRY_SHARE = 0.1
# Allows some retries on a daemon with little traffic.
MIN_RETRIES = 3


class RetryBudget:
    """Allows retries up to 10 % of the requests of the last 10 s, and at least three.

    Holds one entry per second of the window.
    """

    def __init__(self) -> None:
        # Entries are [second, requests, retries].
        self._entries: deque[list[int]] = deque(maxlen=WINDOW_S + 1)

    def record_request(self, now: float) -> None:
        """Count a request that is not a retry."""
        self._current_entry(now)[1] += 1

    def try_spend(self, now: float) -> bool:
        """Count a retry and return True, or return False if the budget is exhausted."""
        current = self._current_entry(now)
        requests = sum(entry[1] for entry in self._entries)
        retries = sum(entry[2] for entry in self._entries)
        if retries >= max(MIN_RETRIES, int(RETRY_SHARE * requests)):
            return False
        current[2] += 1
        return True

    def _current_entry(self, now: float) -> list[int]:
        while self._entries and self._entries[0][0] <= int(now) - WINDOW_S:
            self._entries.popleft()
        if not self._entries or self._entries[-1][0] != int(now):
            self._entries.append([int(now), 0, 0])
        return self._entries[-1]


__all__ = ["RetryBudget"]
