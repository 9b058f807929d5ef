"""Rate limits and links with a bounded bandwidth, on a given clock."""

from chivesaddle.core.aio import Clock


class TokenBucket:
    """Allows ``rate_per_s`` events a second with a burst of one second's worth.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> bucket = TokenBucket(Clock(), 1)
    >>> bucket.take(), bucket.take()
    (True, False)
    """

    def __init__(self, clock: Clock, rate_per_s: float) -> None:
        self._clock = clock
        self._rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._updated_at = clock.seconds()

    def take(self) -> bool:
        """Take one token; False if there is none."""
        now = self._clock.seconds()
        self._tokens = min(
            self._rate_per_s,
            self._tokens + (now - self._updated_at) * self._rate_per_s,
        )
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Link:
    """Transfers one after the other at a bounded bandwidth.

    Attributes
    ----------
    bytes_per_s : float
        Bandwidth; may change between transfers.
    bytes_total : int
        Bytes of all transfers so far, queued ones included.
    """

    def __init__(self, clock: Clock, bytes_per_s: float) -> None:
        self._clock = clock
        self._free_at = clock.seconds()
        self.bytes_per_s = bytes_per_s
        self.bytes_total = 0

    def add(self, size: int) -> float:
        """Queue a transfer and return the time at which it ends."""
        start = max(self._clock.seconds(), self._free_at)
        self._free_at = start + size / self.bytes_per_s
        self.bytes_total += size
        return self._free_at

    @property
    def queued_bytes(self) -> int:
        """Bytes that are not transferred yet."""
        left_s = max(0.0, self._free_at - self._clock.seconds())
        return round(left_s * self.bytes_per_s)


__all__ = ["Link", "TokenBucket"]
