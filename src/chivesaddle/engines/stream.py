"""The body of a streamed answer, with back pressure and an idle timeout."""

from collections import deque

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

from chivesaddle.core.aio import Clock, DelayedCall
from chivesaddle.engines.errors import EngineError, EngineReset, EngineSilent
from chivesaddle.engines.sse import EventSplitter

# Pausing at 256 events bounds a stream to about 64 KB at 250 bytes an event; resuming
# at 64 keeps a fast caller supplied while the engine's next bytes travel.
HIGH_WATER_EVENTS = 256
LOW_WATER_EVENTS = 64
RELEASE_S = 1.0
# A timer may fire this much before a deadline computed by addition.
CLOCK_ROUNDING_S = 1e-6


class EngineStream(Protocol):
    """Events of one answer in the order received.

    Parameters
    ----------
    clock : Clock
        Clock of the idle timeout.
    idle_s : float
        Longest silence in seconds while a reader waits, after the first event.
    first_deadline : float or None
        When the first event is due, on the clock; ``idle_s`` from now if None.
    """

    def __init__(
        self, clock: Clock, idle_s: float, *, first_deadline: float | None = None
    ) -> None:
        self._clock = clock
        self._idle_s = idle_s
        self._first_deadline = first_deadline
        self._splitter = EventSplitter()
        self._events: deque[bytes] = deque()
        self._waiter: Deferred[None] | None = None
        self._failure: EngineError | None = None
        self._ended = False
        self._paused = False
        self._connected = True
        self._silent_at = 0.0
        self._timer: DelayedCall | None = None

    async def next_event(self) -> bytes | None:
        """Return the next whole event, or None after the last one.

        Raises
        ------
        EngineReset
            If the connection broke before the end of the body.
        EngineSilent
            If nothing arrived for the idle timeout.
        """
        await self._available()
        event = self._events.popleft() if self._events else None
        self._flow()
        return event

    async def next_events(self) -> list[bytes]:
        """Return all buffered events, waiting for one; empty after the last one.

        Raises as `next_event` does.
        """
        if not self._events:
            await self._available()
        events = list(self._events)
        self._events.clear()
        self._flow()
        return events

    def close(self) -> None:
        """Close the connection; the run at the engine goes on until cancelled."""
        self._ended = True
        self._events.clear()
        self._stop_timer()
        if self._connected and self.transport is not None:
            self.transport.loseConnection()  # type: ignore[misc]

    def release(self) -> None:
        """Let a finished answer's connection return to the pool.

        The end of the body may arrive after the last event; it is awaited for 1 s.
        """
        if self._ended:
            return
        self._ended = True
        self._events.clear()
        self._stop_timer()
        self._timer = self._clock.callLater(RELEASE_S, self.close)
        if self._paused:
            self._resume()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Queue the events that ``data`` completes."""
        if self._ended:
            return
        self._silent_at = self._clock.seconds() + self._idle_s
        if self._first_deadline is not None:
            # The timer may stand at the later deadline of the first event.
            self._first_deadline = None
            self._stop_timer()
        try:
            self._events.extend(self._splitter.feed(data))
        except EngineError as error:
            self._end(error)
            self.close()
            return
        if not self._paused and len(self._events) > HIGH_WATER_EVENTS:
            self._paused = True
            self.transport.pauseProducing()  # type: ignore[union-attr]
        if self._events:
            self._wake()

    def connectionLost(self, reason: Failure = Protocol) -> None:  # type: ignore[assignment] # noqa: N802
        """Note the end of the body or its interruption."""
        self._connected = False
        if reason.check(ResponseDone, PotentialDataLoss):
            self._end(None)
        else:
            self._end(EngineReset("The engine's connection broke during the answer"))

    async def _available(self) -> None:
        while not self._events and not self._ended:
            self._waiter = Deferred(self._forget_waiter)
            now = self._clock.seconds()
            self._silent_at = self._first_deadline or now + self._idle_s
            self._start_timer(self._silent_at - now)
            await self._waiter
        if not self._events and self._failure is not None:
            raise self._failure

    def _forget_waiter(self, _: "Deferred[None]") -> None:
        self._waiter = None

    def _flow(self) -> None:
        if self._paused and len(self._events) <= LOW_WATER_EVENTS:
            self._resume()

    def _resume(self) -> None:
        self._paused = False
        if self._connected:
            self.transport.resumeProducing()  # type: ignore[union-attr]

    def _end(self, failure: EngineError | None) -> None:
        if not self._ended:
            self._ended = True
            self._failure = failure
        self._stop_timer()
        self._wake()

    def _wake(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            waiter.callback(None)

    # One timer per stream is moved on lazily; a timer per token costs more than the
    # rest of the relay.
    def _start_timer(self, delay: float) -> None:
        if self._timer is None:
            self._timer = self._clock.callLater(max(0.0, delay), self._check_idle)

    def _stop_timer(self) -> None:
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _check_idle(self) -> None:
        self._timer = None
        if self._waiter is None:
            return
        left = self._silent_at - self._clock.seconds()
        if left > CLOCK_ROUNDING_S:
            self._start_timer(left)
            return
        self._end(EngineSilent("The engine sent nothing before the idle timeout"))
        self.close()


__all__ = ["HIGH_WATER_EVENTS", "LOW_WATER_EVENTS", "EngineStream"]
