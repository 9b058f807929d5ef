"""Graceful shutdown of the callers' API."""

from collections.abc import Iterator
from contextlib import contextmanager

from chivesaddle.core.aio import Clock, Signal, sleep_until
from chivesaddle.gateway.errors import Draining

RETRY_AFTER_S = 1.0


class Drain:
    """Counts requests in flight and stops new work at shutdown.

    Callers may use this daemon until the last address answer that named it has
    expired, so new work is refused only after that.

    Parameters
    ----------
    clock : Clock
        Clock of the deadlines.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> drain = Drain(Clock())
    >>> with drain.enter():
    ...     drain.in_flight
    1
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._serve_until: float | None = None
        self._left = Signal()
        self.in_flight = 0

    @property
    def leaving(self) -> bool:
        """Whether shutdown has begun; connections are closed after each response."""
        return self._serve_until is not None

    @property
    def refusing(self) -> bool:
        """Whether new work is refused."""
        until = self._serve_until
        return until is not None and self._clock.seconds() >= until

    def start(self, serve_until: float) -> None:
        """Begin the shutdown; new work is accepted until ``serve_until``."""
        if self._serve_until is None or serve_until < self._serve_until:
            self._serve_until = serve_until

    @contextmanager
    def enter(self) -> Iterator[None]:
        """Count a request while it is served; raises `Draining`."""
        if self.refusing:
            raise Draining(
                "This daemon is shutting down",
                remedy="Ask GET /v1/addresses for another daemon",
                retry_after_s=RETRY_AFTER_S,
            )
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1
            self._left.set()

    async def wait_idle(self) -> None:
        """Wait until new work is refused and nothing is in flight."""
        while self._serve_until is not None and not self.refusing:
            await sleep_until(self._clock, self._serve_until)
        while self.in_flight:
            await self._left.wait()


__all__ = ["Drain"]
