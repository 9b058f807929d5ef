"""Graceful shutdown of the HTTP API."""

from collections.abc import Iterator
from contextlib import contextmanager

from chivesaddle.core.aio import Clock, Signal, sleep_until
from chivesaddle.gateway.errors import Draining

RETRY_AFTER_S = 1.0


class Drain:
    """Counts requests in flight and rejects new ones during shutdown.

    Callers may use this daemon until the last address list that includes it has
    expired, so new requests are rejected only after that.

    Parameters
    ----------
    clock : Clock
        Clock that times the shutdown.

    Examples
    --------
    >>> from twisted.internet.task import Clock
    >>> drain = Drain(Clock())
    >>> with drain.track_request():
    ...     drain.in_flight
    1
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._accept_until: float | None = None
        self._request_ended = Signal()
        self.in_flight = 0

    @property
    def leaving(self) -> bool:
        """Whether shutdown has begun; each response then closes its connection."""
        return self._accept_until is not None

    @property
    def rejects_requests(self) -> bool:
        """Whether new requests are rejected."""
        accept_until = self._accept_until
        return accept_until is not None and self._clock.seconds() >= accept_until

    def start(self, accept_until: float) -> None:
        """Begin the shutdown; new requests are accepted until ``accept_until``.

        A later call can only bring ``accept_until`` forward.
        """
        if self._accept_until is None or accept_until < self._accept_until:
            self._accept_until = accept_until

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a request while it is served; raises `Draining` if it is rejected."""
        if self.rejects_requests:
            raise Draining(
                "This daemon is shutting down",
                remedy="Use another daemon from GET /v1/addresses",
                retry_after_s=RETRY_AFTER_S,
            )
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1
            self._request_ended.set()

    async def wait_idle(self) -> None:
        """Wait until new requests are rejected and none is in flight."""
        while self._accept_until is not None and not self.rejects_requests:
            await sleep_until(self._clock, self._accept_until)
        while self.in_flight:
            await self._request_ended.wait()


__all__ = ["Drain"]
