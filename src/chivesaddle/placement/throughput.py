"""Throughput of an admission queue, in tokens of server memory per second."""

from bisect import bisect_left

# Entries before the window are dropped when there are more than this many.
MAX_OUTDATED = 256
# The number of servers is the highest one seen in this time, since not every request
# can run on each of them.
SERVER_COUNT_WINDOW_S = 0.25


class RateWindow:
    """Sum of recorded amounts over a window, in constant time for each record.

    Parameters
    ----------
    window_s : float
        Longest time for which amounts are remembered.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._times: list[float] = []
        # Sum of all amounts before each entry, and after the last one.
        self._sums: list[float] = [0.0]

    def record(self, now: float, amount: float) -> None:
        """Add an amount."""
        self._times.append(now)
        self._sums.append(self._sums[-1] + amount)
        outdated = bisect_left(self._times, now - self._window_s)
        if outdated > MAX_OUTDATED:
            del self._times[:outdated]
            del self._sums[:outdated]

    def count(self, now: float) -> int:
        """Return the number of amounts in the window."""
        return len(self._times) - bisect_left(self._times, now - self._window_s)

    def per_s(self, since: float, now: float) -> float:
        """Return the rate since a time that is in the window."""
        if now <= since:
            return 0.0
        first = bisect_left(self._times, since)
        return (self._sums[-1] - self._sums[first]) / (now - since)


class Throughput:
    """Throughput for each server times their number, so a lost server counts at once.

    Parameters
    ----------
    window_s : float
        Time over which the throughput is averaged.
    """

    def __init__(self, window_s: float) -> None:
        self._window = RateWindow(window_s)
        self._server_count = 1
        self._recent_server_count = 1
        self._server_count_until = 0.0

    def record_server_count(self, now: float, count: int) -> None:
        """Record the number of servers that can run a request."""
        if now >= self._server_count_until:
            self._server_count = self._recent_server_count
            self._recent_server_count = 1
            self._server_count_until = now + SERVER_COUNT_WINDOW_S
        self._recent_server_count = max(self._recent_server_count, count)
        self._server_count = max(self._server_count, count)

    def record_sent(self, now: float, tokens: int) -> None:
        """Record a request that is sent."""
        self._window.record(now, tokens / self._server_count)

    def sent_count(self, now: float) -> int:
        """Return the number of requests sent in the window."""
        return self._window.count(now)

    def per_s(self, since: float, now: float) -> float:
        """Return the throughput since a time that is in the window."""
        return self._window.per_s(since, now) * self._server_count


__all__ = ["RateWindow", "Throughput"]
