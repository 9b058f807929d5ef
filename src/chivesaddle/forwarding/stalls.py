"""Gives up servers that stop sending events of a stream."""

from collections.abc import Callable

from twisted.internet.defer import CancelledError, Deferred

from chivesaddle.core.aio import Clock, DelayedCall
from chivesaddle.forwarding.exchange import NoUsableResponse
from chivesaddle.forwarding.relay import Relay

# By the platform's protocol, callers wait at least this long for events of a stream.
MIN_CALLER_TIMEOUT_S = 2.0
# Because of rounding, a timer may fire this much before its deadline.
TIMER_TOLERANCE_S = 1e-6
# Interval at which a stream that has stalled, but cannot move, is looked at again.
RECHECK_INTERVAL_S = 0.25


class StallWatch:
    """Cancels the forwarding of a stream whose server sends no event in time.

    Only complete events count: bytes now and then, or comments, do not keep a stream
    alive. Time in which the caller reads too slowly is not counted.

    Parameters
    ----------
    clock : Clock
        Clock of all times.
    relay : Relay
        Tells since when it waits for the next event.
    first_deadline : float
        When the first event must have arrived.
    max_gap_s : float
        Longest time between two events.
    may_move : callable
        Returns whether the stream can go on at another server now. Otherwise waiting
        for this one is better than to break off.
    """

    def __init__(
        self,
        clock: Clock,
        relay: Relay,
        first_deadline: float,
        max_gap_s: float,
        may_move: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._relay = relay
        self._first_deadline = first_deadline
        self._max_gap_s = max_gap_s
        self._may_move = may_move
        self._is_stalled = False

    async def watch(self, forwarding: "Deferred[None]") -> None:
        """Wait for the end of the forwarding; raises `NoUsableResponse` at a stall."""
        # A timer per event would cost more than the forwarding itself, so the timer is
        # set again only when it fires.
        timer: DelayedCall

        def check() -> None:
            nonlocal timer
            remaining_s = self._remaining_s()
            if remaining_s > TIMER_TOLERANCE_S:
                timer = self._clock.callLater(remaining_s, check)
            elif self._may_move():
                self._is_stalled = True
                forwarding.cancel()
            else:
                timer = self._clock.callLater(RECHECK_INTERVAL_S, check)

        timer = self._clock.callLater(max(0.0, self._remaining_s()), check)
        try:
            await forwarding
        except CancelledError:
            if not self._is_stalled:
                raise
            raise NoUsableResponse(
                "Server sent no event in time", was_given_up=True
            ) from None
        finally:
            if timer.active():
                timer.cancel()

    def _remaining_s(self) -> float:
        now = self._clock.seconds()
        waiting_since = self._relay.waiting_since
        if waiting_since is None:
            return self._max_gap_s
        if not self._relay.has_event:
            return self._first_deadline - now
        return waiting_since + self._max_gap_s - now


__all__ = ["MIN_CALLER_TIMEOUT_S", "StallWatch"]
