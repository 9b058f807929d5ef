"""Body of a streamed answer, with back pressure and an idle timeout."""

from collections import deque

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

from chivesaddle.core.aio import Clock, DelayedCall
from chivesaddle.engines.errors import EngineError, EngineReset, EngineTimeout
from chivesaddle.engines.sse import EventSplitter

# Pausing at 256 buffered events of about 250 bytes limits a stream's buffer to about
# 64 KB. Resuming at 64 leaves events for a fast caller until more data arrives. Longer
# events, as of an engine in trouble, are limited by their bytes.
HIGH_WATER_EVENTS = 256
LOW_WATER_EVENTS = 64
HIGH_WATER_BYTES = 262_144
RELEASE_TIMEOUT_S = 1.0
# Because of rounding, a timer may fire this much before its deadline.
TIMER_TOLERANCE_S = 1e-6


class EngineStream(Protocol):
    """Provides the events of an answer in the order received.

    Parameters
    ----------
    clock : Clock
        Clock for the idle timeout.
    idle_timeout_s : float
        Maximum time in seconds without a complete event while a reader waits, after the
        first event. Single bytes and comments do not extend it. The stream stays open
        after it, since a silent engine may go on; the reader decides when to close it.
    first_deadline : float or None
        Time on the clock by which the first event must arrive; if None, the idle
        timeout applies to it too.
    """

    def __init__(
        self,
        clock: Clock,
        idle_timeout_s: float,
        *,
        first_deadline: float | None = None,
    ) -> None:
        self._clock = clock
        self._idle_timeout_s = idle_timeout_s
        self._first_deadline = first_deadline
        self._splitter = EventSplitter()
        self._events: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._waiter: Deferred[None] | None = None
        self._failure: EngineError | None = None
        self._ended = False
        self._paused = False
        self._connected = True
        self._idle_deadline = 0.0
        self._timer: DelayedCall | None = None

    @property
    def is_open(self) -> bool:
        """Whether more events may arrive."""
        return not self._ended

    @property
    def has_events(self) -> bool:
        """Whether events have arrived that were not read."""
        return bool(self._events)

    def wait_until(self, deadline: float) -> None:
        """Let the next event arrive by ``deadline`` instead of the idle timeout."""
        self._first_deadline = deadline

    def when_ready(self) -> "Deferred[None]":
        """Return a Deferred that fires at the next event or the end, without a timeout.

        It replaces a Deferred that was returned before. Reading replaces it too.
        """
        self._stop_timer()
        ready: Deferred[None] = Deferred(self._clear_waiter)
        if self._events or self._ended:
            ready.callback(None)
        else:
            self._waiter = ready
        return ready

    async def next_event(self) -> bytes | None:
        """Return the next complete event, or None after the last one.

        Raises
        ------
        EngineReset
            If the connection was lost before the end of the body.
        EngineTimeout
            If no event arrived before the timeout. The stream can be read again.
        """
        await self._wait_for_events()
        event = self._events.popleft() if self._events else None
        self._buffered_bytes -= len(event or b"")
        self._resume_if_drained()
        return event

    async def next_events(self) -> list[bytes]:
        """Return all buffered events, waiting for at least one.

        Returns an empty list after the last event. Raises the errors of `next_event`.
        """
        if not self._events:
            await self._wait_for_events()
        events = list(self._events)
        self._clear_events()
        self._resume_if_drained()
        return events

    def close(self) -> None:
        """Close the connection; the run at the engine continues until cancelled."""
        self._ended = True
        self._clear_events()
        self._stop_timer()
        if self._connected and self.transport is not None:
            self.transport.loseConnection()  # type: ignore[misc]

    def release(self) -> None:
        """Return the connection of a finished answer to the pool.

        The end of the body may arrive after the last event. If it does not arrive
        within 1 s, the connection is closed.
        """
        if self._ended:
            return
        self._ended = True
        self._clear_events()
        self._stop_timer()
        self._timer = self._clock.callLater(RELEASE_TIMEOUT_S, self.close)
        if self._paused:
            self._resume_producing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Queue the events that ``data`` completes."""
        if self._ended:
            return
        try:
            events = self._splitter.feed(data)
        except EngineError as error:
            self._finish(error)
            self.close()
            return
        # An engine may send comments to keep the connection in use during a prefill.
        events = [event for event in events if not _is_comment(event)]
        self._events.extend(events)
        self._buffered_bytes += sum(map(len, events))
        if events and self._first_deadline is not None:
            # The timer may still be set to the later deadline of the first event.
            self._first_deadline = None
            self._stop_timer()
        is_full = (
            len(self._events) > HIGH_WATER_EVENTS
            or self._buffered_bytes > HIGH_WATER_BYTES
        )
        if is_full and not self._paused:
            self._paused = True
            self.transport.pauseProducing()  # type: ignore[union-attr]
        if self._events:
            self._wake_waiter()

    def connectionLost(self, reason: Failure = Protocol) -> None:  # type: ignore[assignment] # noqa: N802
        """Handle the end of the body or the loss of the connection."""
        self._connected = False
        if reason.check(ResponseDone, PotentialDataLoss):
            self._finish(None)
        else:
            self._finish(
                EngineReset("Connection to the engine was lost during the answer")
            )

    async def _wait_for_events(self) -> None:
        while not self._events and not self._ended:
            self._waiter = Deferred(self._clear_waiter)
            now = self._clock.seconds()
            self._idle_deadline = self._first_deadline or now + self._idle_timeout_s
            self._start_timer(self._idle_deadline - now)
            await self._waiter
        if not self._events and self._failure is not None:
            raise self._failure

    def _clear_waiter(self, _: "Deferred[None]") -> None:
        self._waiter = None

    def _resume_if_drained(self) -> None:
        is_drained = (
            len(self._events) <= LOW_WATER_EVENTS
            and self._buffered_bytes <= HIGH_WATER_BYTES // 2
        )
        if is_drained and self._paused:
            self._resume_producing()

    def _clear_events(self) -> None:
        self._events.clear()
        self._buffered_bytes = 0

    def _resume_producing(self) -> None:
        self._paused = False
        if self._connected:
            self.transport.resumeProducing()  # type: ignore[union-attr]

    def _finish(self, failure: EngineError | None) -> None:
        if not self._ended:
            self._ended = True
            self._failure = failure
        self._stop_timer()
        self._wake_waiter()

    def _wake_waiter(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            waiter.callback(None)

    # Each stream has one timer, which is rescheduled only when it fires. A timer per
    # token would cost more than the rest of the relay.
    def _start_timer(self, delay_s: float) -> None:
        if self._timer is None:
            self._timer = self._clock.callLater(max(0.0, delay_s), self._check_idle)

    def _stop_timer(self) -> None:
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _check_idle(self) -> None:
        self._timer = None
        if self._waiter is None:
            return
        remaining_s = self._idle_deadline - self._clock.seconds()
        if remaining_s > TIMER_TOLERANCE_S:
            self._start_timer(remaining_s)
            return
        waiter, self._waiter = self._waiter, None
        waiter.errback(EngineTimeout("Engine sent no event before the timeout"))


def _is_comment(event: bytes) -> bool:
    return event.startswith((b":", b"\n")) and all(
        line.startswith(b":") for line in event.split(b"\n") if line
    )


__all__ = ["HIGH_WATER_EVENTS", "LOW_WATER_EVENTS", "EngineStream"]
