"""Rate of the control traffic between daemons."""

from collections import deque

WINDOW_S = 10.0


class TrafficMeter:
    """Counts message bytes in both directions, excluding transport framing.

    Examples
    --------
    >>> traffic = TrafficMeter()
    >>> traffic.record(500, now=0.0)
    >>> traffic.record(500, now=9.0)
    >>> traffic.bytes_per_s(now=9.5), traffic.bytes_per_s(now=12.0)
    (100.0, 50.0)
    """

    def __init__(self) -> None:
        self._messages: deque[tuple[float, int]] = deque()
        self._window_bytes = 0
        self.total_bytes = 0

    def record(self, size: int, now: float) -> None:
        """Count a message of ``size`` bytes."""
        self._messages.append((now, size))
        self._window_bytes += size
        self.total_bytes += size
        self._drop_old(now)

    def bytes_per_s(self, now: float) -> float:
        """Return the mean rate over the last `WINDOW_S` seconds."""
        self._drop_old(now)
        return self._window_bytes / WINDOW_S

    def _drop_old(self, now: float) -> None:
        while self._messages and self._messages[0][0] <= now - WINDOW_S:
            self._window_bytes -= self._messages.popleft()[1]


__all__ = ["TrafficMeter"]
