"""Deadlines for Twisted coroutines, and conversion from and to asyncio for grpclib.

Internal coroutines await Deferreds only. grpclib needs an asyncio loop, which the
asyncio reactor shares with Twisted; `from_asyncio` and `to_asyncio` convert between
them.
"""

import asyncio
import math
import time
from collections.abc import Awaitable, Callable, Coroutine, Generator
from typing import Any, Generic, Protocol, TypeVar

from twisted.internet.defer import (
    CancelledError,
    Deferred,
    ensureDeferred,
    succeed,
)
from twisted.python.failure import Failure

from chivesaddle.core.errors import DeadlineExceeded

T = TypeVar("T")


class DelayedCall(Protocol):
    """A scheduled call, as `twisted.internet.interfaces.IDelayedCall`."""

    def active(self) -> bool:
        """Return whether the call is still pending."""

    def cancel(self) -> None:
        """Cancel the call."""


class Clock(Protocol):
    """Source of time and timers, as `twisted.internet.interfaces.Clock`."""

    def seconds(self) -> float:
        """Return the current monotonic time in seconds."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., Any], *args: Any, **kw: Any
    ) -> DelayedCall:
        """Schedule a call after ``delay`` seconds."""


def install_reactor() -> None:
    """Install the asyncio reactor with a clock that includes suspended time.

    Must be called before anything imports ``twisted.internet.reactor``, as klein and
    treq do. Twisted's own ``seconds`` is the wall clock, so a clock adjustment would
    shift lease expiry and send deadlines. The monotonic clock stops while the instance
    is suspended, so a lease holder would act on a lease that has expired meanwhile.

    Raises
    ------
    twisted.internet.error.ReactorAlreadyInstalledError
        If another reactor was installed first.
    """
    from twisted.internet import asyncioreactor

    loop = asyncio.new_event_loop()
    # Makes this the current loop, so that coroutines started before it runs are not
    # scheduled on another one.
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)

    from twisted.internet import reactor

    setattr(reactor, "seconds", seconds_since_boot)  # noqa: B010


def seconds_since_boot() -> float:
    """Return the seconds since the instance booted, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def start(coroutine: Coroutine[Any, Any, T]) -> "Deferred[T]":
    """Start a Twisted coroutine and return the Deferred of its result."""
    return Deferred.fromCoroutine(coroutine)


def sleep_until(clock: Clock, deadline: float) -> "Deferred[None]":
    """Return a Deferred that fires at ``deadline`` (seconds on ``clock``).

    Cancelling the Deferred cancels the underlying timer.
    """
    done: Deferred[None] = Deferred(lambda _: call.cancel() if call.active() else None)
    call = clock.callLater(max(0.0, deadline - clock.seconds()), done.callback, None)
    return done


async def run_in_turns(
    clock: Clock, steps: Generator[int, None, T], turn_work: int
) -> T:
    """Run a generator to its end and return its result.

    Other events are handled in between, so that much work does not hold up the loop.

    Parameters
    ----------
    clock : Clock
        Clock whose event loop handles the other events.
    steps : generator
        Yields the work done since it yielded last, in a unit of its own.
    turn_work : int
        Work after which other events are handled before the next step.
    """
    work = 0
    while True:
        try:
            work += next(steps)
        except StopIteration as end:
            return end.value
        if work >= turn_work:
            work = 0
            await sleep_until(clock, clock.seconds())


async def with_deadline(
    clock: Clock, deadline: float, awaitable: Awaitable[T], operation: str
) -> T:
    """Await ``awaitable``; cancel it and fail at ``deadline``.

    Parameters
    ----------
    clock : Clock
        Clock on which ``deadline`` is expressed.
    deadline : float
        Seconds on ``clock``.
    awaitable : Awaitable
        A Deferred or a Twisted coroutine.
    operation : str
        Name of the operation in the error message.

    Raises
    ------
    DeadlineExceeded
        If the awaitable did not finish before the deadline.
    """
    # A Deferred is used as it is; ensureDeferred converts a coroutine.
    deferred: Deferred[T] = (
        awaitable if isinstance(awaitable, Deferred) else ensureDeferred(awaitable)  # type: ignore[arg-type]
    )
    expired = False

    def expire() -> None:
        nonlocal expired
        expired = True
        deferred.cancel()

    call = clock.callLater(max(0.0, deadline - clock.seconds()), expire)
    try:
        return await deferred
    except (CancelledError, Exception) as error:
        # A cancelled operation may fail with its own error: an HTTP request that is
        # cancelled while it waits for headers reports that no response was received.
        if expired:
            raise DeadlineExceeded(f"{operation} missed its deadline") from error
        raise
    finally:
        if call.active():
            call.cancel()


async def wait_for_any(clock: Clock, until: float, *signals: "Deferred[None]") -> None:
    """Wait until one of several Deferreds fires, or until a time.

    Parameters
    ----------
    clock : Clock
        Clock on which ``until`` is expressed.
    until : float
        Seconds on ``clock``; infinite to wait for a signal only.
    signals : Deferred
        Not cancelled by the end of the wait or by its cancellation.
    """
    done: Deferred[None] = Deferred()

    def finish(_: object = None) -> None:
        if not done.called:
            done.callback(None)

    for signal in signals:
        signal.addCallback(finish)
    call = None
    if math.isfinite(until):
        call = clock.callLater(max(0.0, until - clock.seconds()), finish)
    try:
        await done
    finally:
        if call is not None and call.active():
            call.cancel()


class Task(Generic[T]):
    """A coroutine that runs, and whose outcome can be looked at before it is used.

    Parameters
    ----------
    coroutine : Coroutine
        Twisted coroutine; started at once.
    dispose : callable or None
        Called with the result if the task is cancelled after it has ended.

    Examples
    --------
    >>> async def add():
    ...     return 1 + 1
    >>> task = Task(add())
    >>> task.has_succeeded, task.result()
    (True, 2)
    """

    def __init__(
        self,
        coroutine: Coroutine[Any, Any, T],
        dispose: Callable[[T], object] | None = None,
    ) -> None:
        self._dispose = dispose
        self._outcome: tuple[T] | Failure | None = None
        self._ended = Signal()
        self._running = start(coroutine)
        self._running.addCallbacks(lambda result: self._end((result,)), self._end)

    @property
    def is_done(self) -> bool:
        """Whether the coroutine has ended."""
        return self._outcome is not None

    @property
    def has_succeeded(self) -> bool:
        """Whether the coroutine has ended without an error."""
        return isinstance(self._outcome, tuple)

    def result(self) -> T:
        """Return the result of the coroutine, which has ended, or raise its error."""
        match self._outcome:
            case Failure() as failure:
                failure.raiseException()
            case (result,):
                return result
        raise RuntimeError("The coroutine has not ended")

    def ended(self) -> "Deferred[None]":
        """Return a Deferred that fires when the coroutine has ended."""
        return self._ended.wait() if self._outcome is None else succeed(None)

    async def outcome(self) -> T:
        """Wait for the end and return the result; cancelling this cancels the task."""
        try:
            await self.ended()
        except CancelledError:
            self.cancel()
            raise
        return self.result()

    def cancel(self) -> None:
        """Cancel the coroutine, or dispose of its result."""
        match self._outcome:
            case None:
                self._running.cancel()
            case (result,) if self._dispose is not None:
                self._dispose(result)

    def _end(self, outcome: "tuple[T] | Failure") -> None:
        self._outcome = outcome
        self._ended.set()


def from_asyncio(coroutine: Coroutine[Any, Any, T]) -> "Deferred[T]":
    """Run an asyncio coroutine on the shared loop; cancelling the Deferred fails it.

    The Deferred fails at once. `Deferred.fromFuture` would wait for the cancelled task
    and then fail with asyncio's own error, which would not be recognized as a missed
    deadline.
    """
    task = asyncio.ensure_future(coroutine)

    def cancel(_: "Deferred[T]") -> None:
        task.cancel()

    result: Deferred[T] = Deferred(cancel)

    def finish(done: "asyncio.Future[T]") -> None:
        error = CancelledError() if done.cancelled() else done.exception()
        if result.called:
            return
        if error is None:
            result.callback(done.result())
        else:
            result.errback(Failure(error))

    task.add_done_callback(finish)
    return result


def to_asyncio(coroutine: Coroutine[Any, Any, T]) -> "asyncio.Future[T]":
    """Run a Twisted coroutine and return an asyncio future of its result."""
    return Deferred.fromCoroutine(coroutine).asFuture(asyncio.get_running_loop())


class Signal:
    """Notifies all current waiters each time it is set.

    Examples
    --------
    >>> signal = Signal()
    >>> waiting = signal.wait()
    >>> signal.set()
    >>> waiting.called
    True
    """

    def __init__(self) -> None:
        self._waiters: list[Deferred[None]] = []

    def wait(self) -> "Deferred[None]":
        """Return a Deferred that fires at the next ``set``."""
        waiter: Deferred[None] = Deferred(self._remove)
        self._waiters.append(waiter)
        return waiter

    def set(self) -> None:
        """Fire all current waiters."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(None)

    def _remove(self, waiter: "Deferred[None]") -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)


def log_failure(log: Any, message: str) -> Any:
    """Return an errback that logs a failure with ``message`` and suppresses it."""

    def errback(failure: Failure) -> None:
        if not failure.check(CancelledError):
            log.error("%s: %s", message, failure.getErrorMessage())

    return errback


__all__ = [
    "Clock",
    "DelayedCall",
    "Signal",
    "Task",
    "from_asyncio",
    "install_reactor",
    "log_failure",
    "run_in_turns",
    "seconds_since_boot",
    "sleep_until",
    "start",
    "to_asyncio",
    "wait_for_any",
    "with_deadline",
]
