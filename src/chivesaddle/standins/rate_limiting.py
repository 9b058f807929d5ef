"""Token bucket and bandwidth-limited link, on a given clock."""

from chivesaddle.core.aio import Clock


class TokenBucket:
    """Limits events to ``rate_per_s``; a burst can use the tokens of one second.

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
        """Take one token; return False if none is available."""
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


class RateLimitedLink:
    """Link with a limited bandwidth that runs one transfer after the other.

    Attributes
    ----------
    bytes_per_s : float
        Bandwidth; a change applies to transfers queued afterwards.
    total_bytes : int
        Bytes of all transfers so far, including queued ones.
    """

    def __init__(self, clock: Clock, bytes_per_s: float) -> None:
        self._clock = clock
        self._idle_at = clock.seconds()
        self.bytes_per_s = bytes_per_s
        self.total_bytes = 0

    def queue_transfer(self, size: int) -> float:
        """Queue a transfer of ``size`` bytes and return the time at which it ends."""
        start = max(self._clock.seconds(), self._idle_at)
        self._idle_at = start + size / self.bytes_per_s
        self.total_bytes += size
        return self._idle_at

    @property
    def queued_bytes(self) -> int:
        """Bytes that are not yet transferred."""
        remaining_s = max(0.0, self._idle_at - self._clock.seconds())
        return round(remaining_s * self.bytes_per_s)


__all__ = ["RateLimitedLink", "TokenBucket"]
