"""Lets another server go on with a request whose server is silent.

A silent server may go on at any time, and no other one has promised anything before it
has the request. So the silent server keeps the request until another one has taken it:
the other one's response has begun, or it has had the request for `OVERLAP_S` without
refusing it and has sent something meanwhile. If it refuses, fails, or the silent server
goes on first, nothing is lost.
"""

import math
from collections.abc import Awaitable, Callable
from typing import Generic, Protocol, TypeVar

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from chivesaddle.core.aio import Clock, DelayedCall, start
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.forwarding.exchange import NoUsableResponse
from chivesaddle.forwarding.request_context import RequestContext

# Because of rounding, a timer may fire this much before its deadline.
TIMER_TOLERANCE_S = 1e-6
# Interval at which a request that no other server takes is looked at again.
RECHECK_INTERVAL_S = 0.25
# Two servers must not work on one request for 0.4 s; the rest is for the network.
OVERLAP_S = 0.3

log = ComponentLogger("forward")


class Turn(Protocol):
    """Whether an attempt may write to the caller."""

    @property
    def is_taken(self) -> bool:
        """Whether the request is the attempt's."""

    @property
    def has_successor(self) -> bool:
        """Whether another attempt has the request too, if this one has taken it."""

    def take(self) -> None:
        """Take the request over; the attempt so far ends."""

    def record_sent(self) -> None:
        """Record that the server has got the request."""

    def record_progress(self) -> None:
        """Record that something is about to go to the caller."""


class Attempt(Protocol):
    """One send of a request.

    Attributes
    ----------
    was_given_up : bool
        Set before the attempt is cancelled because another one has the request.
    """

    was_given_up: bool

    async def run(self, turn: Turn) -> None:
        """Send, take the turn once the response can be passed on, and pass it on."""

    def record_taken(self) -> None:
        """Record that the request is the attempt's."""

    def silent_at(self) -> float:
        """Return when the attempt counts as silent, infinite if never or not sent."""

    def shows_life(self) -> bool:
        """Return whether the server has sent anything since it got the request."""


A = TypeVar("A", bound=Attempt)


class Handover(Generic[A]):
    """Runs one attempt of a request, and its successors if it is silent.

    Parameters
    ----------
    clock : Clock
        Clock of all times.
    context : RequestContext
        The request.
    open_successor : callable
        Returns the attempt that may go on with the request of a silent one, after
        waiting for it if necessary. Raises `ChivesaddleError` if there is none now.
    record_failure : callable
        Called with each attempt that failed or was given up.
    """

    def __init__(
        self,
        clock: Clock,
        context: RequestContext,
        open_successor: Callable[[A], Awaitable[A]],
        record_failure: Callable[[A, ChivesaddleError], None],
    ) -> None:
        self._clock = clock
        self._context = context
        self._open_successor = open_successor
        self._record_failure = record_failure
        self._current: _RunningAttempt[A] | None = None
        self._successor: _RunningAttempt[A] | None = None
        self._opening: Deferred[A] | None = None
        self._timer: DelayedCall | None = None
        self._overlap_timer: DelayedCall | None = None
        self._result: Deferred[None] = Deferred()
        self._last_code: str | None = None

    async def run(self, attempt: A) -> None:
        """Run the attempt, or a successor, until the response is complete.

        Raises
        ------
        ChivesaddleError
            The error of the last attempt that had the request.
        """
        self._current = _RunningAttempt(self, attempt)
        attempt.record_taken()
        self._current.start()
        try:
            await self._result
        finally:
            self._stop()

    @property
    def has_successor(self) -> bool:
        """Whether a successor runs beside the attempt that has the request."""
        return self._successor is not None

    def is_current(self, running: "_RunningAttempt[A]") -> bool:
        """Return whether the request is the attempt's."""
        return running is self._current

    def _stop(self) -> None:
        self._drop_successor()
        self._cancel_timers()
        current, self._current = self._current, None
        if current is not None:
            current.cancel()

    def _cancel_timers(self) -> None:
        self._cancel_overlap()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _cancel_overlap(self) -> None:
        if self._overlap_timer is not None and self._overlap_timer.active():
            self._overlap_timer.cancel()
        self._overlap_timer = None

    def _check_silence(self) -> None:
        """Look for a successor if the current attempt is silent; set the next timer."""
        self._timer = None
        if self._current is None or self._result.called:
            return
        if self._opening is not None or self._successor is not None:
            wait_s = RECHECK_INTERVAL_S
        else:
            wait_s = self._current.attempt.silent_at() - self._clock.seconds()
            if wait_s <= TIMER_TOLERANCE_S:
                wait_s = RECHECK_INTERVAL_S
                self._open(self._current.attempt)
        if math.isfinite(wait_s) and self._timer is None and not self._result.called:
            self._timer = self._clock.callLater(wait_s, self._check_silence)

    def _restart_timer(self) -> None:
        self._cancel_timers()
        self._check_silence()

    def _open(self, silent: A) -> None:
        self._opening = opening = start(self._await_successor(silent))
        opening.addCallbacks(self._start_successor, self._record_no_successor)

    async def _await_successor(self, silent: A) -> A:
        return await self._open_successor(silent)

    def _start_successor(self, attempt: A) -> None:
        self._opening = None
        self._successor = _RunningAttempt(self, attempt)
        self._successor.start()

    def _record_no_successor(self, failure: Failure) -> None:
        self._opening = None
        match failure.value:
            case CancelledError():
                pass
            case ChivesaddleError() as error:
                self._log_stay(error.code, error.message)
            case error:
                log.error("no successor", extra=self._fields(repr(error)))

    def _log_stay(self, code: str, cause: str) -> None:
        """Log why a request stays at its silent server, once for each code in a row."""
        if code != self._last_code:
            self._last_code = code
            log.info("request stays", extra=self._fields(cause))

    def _fields(self, cause: str) -> dict[str, object]:
        return {
            "request": self._context.request.id,
            "silent_ms": self._context.silent_ms(self._clock.seconds()),
            "cause": cause,
        }

    def record_sent(self, running: "_RunningAttempt[A]") -> None:
        """Record that the server of an attempt has got the request."""
        if running is self._current:
            if self._timer is None:
                self._check_silence()
        else:
            self._overlap_timer = self._clock.callLater(
                OVERLAP_S, self._end_overlap, running
            )

    def _end_overlap(self, running: "_RunningAttempt[A]") -> None:
        """Leave the request to a successor that works on it.

        One that is silent as well is closed, so that two never have it for longer.
        """
        self._overlap_timer = None
        if running is not self._successor:
            return
        if running.attempt.shows_life():
            self.take_over(running)
        else:
            self._drop_successor()
            self._log_stay("silent_successor", "The other server was silent as well")

    def take_over(self, running: "_RunningAttempt[A]") -> None:
        """Give the request to the successor, and end the attempt that had it."""
        if running is self._current:
            return
        given_up, self._current, self._successor = self._current, running, None
        assert given_up is not None
        given_up.attempt.was_given_up = True
        given_up.cancel()
        self._record_failure(
            given_up.attempt,
            NoUsableResponse("Server was silent for too long", was_given_up=True),
        )
        running.attempt.record_taken()
        self._restart_timer()

    def record_progress(self) -> None:
        """Record that the attempt that has the request goes on."""
        if self._opening is not None or self._successor is not None:
            self._drop_successor()
            self._log_stay("went_on", "Its server went on")

    def _drop_successor(self) -> None:
        opening, self._opening = self._opening, None
        if opening is not None:
            opening.cancel()
        successor, self._successor = self._successor, None
        self._cancel_overlap()
        if successor is not None:
            successor.cancel()

    def record_end(self, running: "_RunningAttempt[A]") -> None:
        """Record that an attempt has passed on the whole response."""
        assert running is self._current
        self._finish(None)

    def record_failure(self, running: "_RunningAttempt[A]", failure: Failure) -> None:
        """Record that an attempt failed; the other one has the request, if any."""
        is_successor = running is self._successor
        if is_successor:
            self._successor = None
            self._cancel_overlap()
        match failure.value:
            case ChivesaddleError() as error:
                self._record_failure(running.attempt, error)
                code, cause = error.code, error.message
            case unexpected:
                code, cause = "unexpected", repr(unexpected)
                log.error("attempt failed", extra=self._fields(cause))
        if is_successor:
            self._log_stay(code, cause)
        elif self._successor is not None:
            self._current, self._successor = self._successor, None
            self._current.attempt.record_taken()
            self._restart_timer()
        else:
            self._finish(failure)

    def _finish(self, failure: Failure | None) -> None:
        self._current = None
        if not self._result.called:
            if failure is None:
                self._result.callback(None)
            else:
                self._result.errback(failure)


class _RunningAttempt(Generic[A]):
    """An attempt whose coroutine runs; its `Turn`."""

    def __init__(self, handover: Handover[A], attempt: A) -> None:
        self._handover = handover
        self.attempt = attempt
        self._task: Deferred[None] | None = None
        self._is_cancelled = False

    def start(self) -> None:
        """Start the attempt."""
        self._task = start(self.attempt.run(self))
        self._task.addCallbacks(self._record_end, self._record_failure)

    def cancel(self) -> None:
        """End the attempt; it reports nothing more."""
        self._is_cancelled = True
        if self._task is not None:
            self._task.cancel()

    def _record_end(self, _: None) -> None:
        if not self._is_cancelled:
            self._handover.record_end(self)

    def _record_failure(self, failure: Failure) -> None:
        if not self._is_cancelled:
            self._handover.record_failure(self, failure)
        elif failure.check(CancelledError, ChivesaddleError) is None:
            log.error("cancelled attempt failed: %r", failure.value)

    @property
    def is_taken(self) -> bool:
        """Whether the request is the attempt's."""
        return self._handover.is_current(self)

    @property
    def has_successor(self) -> bool:
        """Whether another attempt has the request too, if this one has taken it."""
        return self._handover.has_successor

    def take(self) -> None:
        """Take the request over; the attempt so far ends."""
        self._handover.take_over(self)

    def record_sent(self) -> None:
        """Record that the server has got the request."""
        self._handover.record_sent(self)

    def record_progress(self) -> None:
        """Record that something is about to go to the caller."""
        self._handover.record_progress()


__all__ = ["OVERLAP_S", "TIMER_TOLERANCE_S", "Attempt", "Handover", "Turn"]
