"""Whether a request is sent once more, for how long, and which error ends it."""

import random

from chivesaddle.core.aio import Clock
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.serving_model import Route
from chivesaddle.forwarding.errors import MayHaveRun, NotRun, TimedOut
from chivesaddle.forwarding.relay import Relay
from chivesaddle.forwarding.request_context import RequestContext

# Maximum number of servers that get one request, including those that refuse it.
MAX_ARRIVALS = 4
# Maximum number of sends per request, including those without a connection.
MAX_SENDS = 8
# Share of the remaining time after which an unresponsive server is given up while
# another attempt is allowed.
FIRST_ATTEMPT_TIME_SHARE = 0.5
# Multiple of the route's target latency within which a loaded server responds to a
# repeatable request, and for which a caller waits.
TARGET_TIMEOUT_FACTOR = 4.0
# By the platform's protocol, callers wait at least this long for events of a stream.
MIN_CALLER_TIMEOUT_S = 2.0
# Range of the random retry-after delay, so that callers that are rejected together do
# not retry together.
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 0.6
# A daemon that has passed a request on looks for another one this long before the other
# daemon looks for another server; both at once would have it run by a third server. One
# that is found has the request after 0.3 s.
PASSING_DAEMON_LEAD_S = 0.4
# With less time than this, no response can reach the caller before the deadline.
MIN_REMAINING_TIME_S = 0.02


def max_gap_s(route: Route) -> float:
    """Return how long a stream's server may send no event, in seconds."""
    return max(MIN_CALLER_TIMEOUT_S, TARGET_TIMEOUT_FACTOR * route.target_s)


class Attempts:
    """Rules for the attempts of one request, at servers and through other daemons.

    Parameters
    ----------
    clock : Clock
        Clock of all deadlines.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._random = random.Random()

    def may_retry(self, context: RequestContext, additional: int = 0) -> bool:
        """Return whether a request that may have run may run again.

        ``additional`` counts attempts that have not been recorded yet.
        """
        return (
            context.route.is_repeatable
            and context.runs + additional < context.route.attempts
            and context.arrivals + additional < MAX_ARRIVALS
        )

    def may_send_again(self, context: RequestContext, has_path: bool) -> bool:
        """Return whether a request that no server has run may be sent once more.

        ``has_path`` is whether any server of the service may accept a connection.
        """
        max_sends = MAX_SENDS if has_path else MAX_ARRIVALS
        return context.arrivals < MAX_ARRIVALS and context.sends < max_sends

    def response_deadline(self, context: RequestContext) -> float:
        """Return when an attempt without a response counts as silent."""
        if not self.may_retry(context, additional=1):
            return context.deadline
        now = self._clock.seconds()
        attempt_timeout_s = TARGET_TIMEOUT_FACTOR * context.route.target_s
        silent_at = now + min(
            attempt_timeout_s, FIRST_ATTEMPT_TIME_SHARE * (context.deadline - now)
        )
        if context.request.earlier_runs is not None:
            silent_at += PASSING_DAEMON_LEAD_S
        return silent_at

    def has_timed_out(self, context: RequestContext) -> bool:
        """Return whether no response can reach the caller in time."""
        return context.deadline - self._clock.seconds() < MIN_REMAINING_TIME_S

    def final_error(
        self, context: RequestContext, relay: Relay, reason: str
    ) -> ChivesaddleError:
        """Return the error of a request that is not sent any more."""
        if context.runs and self.has_timed_out(context):
            return TimedOut(f"No complete response in time: {reason}")
        sends = f"Sent to {context.sends} servers"
        if context.passed_to:
            sends += f", passed on {len(context.passed_to)} times"
        if context.runs or relay.has_started:
            return MayHaveRun(f"{sends}: {reason}")
        return NotRun(
            f"{sends}, which were refused: {reason}",
            retry_after_s=self.random_retry_after(),
        )

    def random_retry_after(self) -> float:
        """Return after how many seconds a caller may return."""
        return self._random.uniform(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S)


__all__ = [
    "MAX_RETRY_AFTER_S",
    "MIN_RETRY_AFTER_S",
    "Attempts",
    "max_gap_s",
]
