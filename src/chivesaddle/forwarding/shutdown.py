"""Which requests a daemon still accepts while it shuts down.

Callers keep using a daemon's address for some seconds after SIGTERM. A request that
outlasts the daemon would be cut, and its caller could not know whether it has run, so
it is refused as not run; its caller comes back to another daemon.

Recent durations bound nothing: servers may become slower or silent at any time, and a
route that is rarely used has none. Only a request whose time limit is over before the
daemon ends cannot be cut. Shortly after SIGTERM, when most callers still use the
address, requests that may be repeated and streams are also accepted by their expected
duration.
"""

from collections import OrderedDict, deque
from collections.abc import Callable
from enum import Enum

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import RequestId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.serving_model import Route, RouteId, RouteKind
from chivesaddle.forwarding.errors import NotRun

# Recent requests of a route from which the duration of the next one is derived.
REMEMBERED_DURATIONS = 128
# Fewer requests than this say little about the longest one, so the expectation without
# any counts as well.
MIN_REMEMBERED_DURATIONS = 16
# Shorter outputs say little about the time for each token: their prompt and their wait
# take most of the time.
MIN_OUTPUT_TOKENS = 16
# Routes whose durations are remembered.
MAX_ROUTES = 256
# Shutdowns under load are slower than usual.
DURATION_MARGIN = 1.25
# A healthy server may send nothing for about a second and go on, at any time.
SERVER_SILENCE_S = 1.5
# Expected duration, as a multiple of the route's target, while none has been observed.
# Streams last longer than others after their first event.
UNKNOWN_DURATION_TARGETS = 2.0
UNKNOWN_STREAM_DURATION_TARGETS = 10.0
RETRY_AFTER_S = 0.1

log = ComponentLogger("forward")


class AdmissionBasis(Enum):
    """What shows that a request ends before the daemon."""

    TIME_LIMIT = "time_limit"
    ESTIMATE = "estimate"


class ShutdownAdmission:
    """Refuses requests that may not end before the daemon does.

    Answers the load of a planned restart: all callers are still here, and each request
    may last for several seconds.

    Parameters
    ----------
    clock : Clock
        Clock of all times.

    Attributes
    ----------
    ends_at : float or None
        When the daemon ends, None while it is not shutting down.
    has_ended : bool
        Whether the daemon ends now, so that no response follows.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.ends_at: float | None = None
        self._estimates_until = 0.0
        self.has_ended = False
        self._durations_by_route: OrderedDict[RouteId, deque[tuple[float, int]]] = (
            OrderedDict()
        )

    def begin(self, ends_at: float, estimates_until: float) -> None:
        """Begin the shutdown.

        Parameters
        ----------
        ends_at : float
            When the daemon ends.
        estimates_until : float
            Until when streams and requests that may be repeated are accepted by their
            expected duration.
        """
        self.ends_at = ends_at
        self._estimates_until = estimates_until

    def record(self, route: Route, output_tokens: int, seconds: float) -> None:
        """Record a request that was answered.

        Parameters
        ----------
        output_tokens : int
            Tokens that the request was allowed to generate, 0 if unknown.
        seconds : float
            Time from its arrival to the end of its response.
        """
        durations = self._durations_by_route.get(route.id)
        if durations is None:
            durations = deque(maxlen=REMEMBERED_DURATIONS)
            self._durations_by_route[route.id] = durations
            if len(self._durations_by_route) > MAX_ROUTES:
                self._durations_by_route.popitem(last=False)
        durations.append((seconds, output_tokens))

    def check(
        self,
        route: Route,
        deadline: float,
        output_tokens: int = 0,
        request_id: RequestId | None = None,
        longest_running: Callable[[], float] = lambda: 0.0,
    ) -> None:
        """Raise `NotRun` if a request of the route may outlast the daemon.

        Parameters
        ----------
        deadline : float
            When the time limit of the request is over.
        output_tokens : int
            Tokens that the request may generate, 0 if unknown.
        request_id : RequestId or None
            Only logged.
        longest_running : callable
            Returns for how many seconds the oldest unfinished request of the route has
            been running.
        """
        if self.has_ended:
            raise NotRun("The daemon has ended", retry_after_s=RETRY_AFTER_S)
        if self.ends_at is None:
            return
        now = self._clock.seconds()
        left_s = self.ends_at - now
        basis, expected_s = AdmissionBasis.TIME_LIMIT, deadline - now
        if expected_s > left_s and self._may_estimate(route, now):
            basis = AdmissionBasis.ESTIMATE
            estimated_s = self.expected_duration(
                route, output_tokens, longest_running()
            )
            expected_s = min(expected_s, estimated_s)
        log.info(
            "request during shutdown",
            extra={
                "request": request_id,
                "route": route.id,
                "accepted": expected_s <= left_s,
                "basis": basis.value,
                "left_ms": round(left_s * 1_000),
                "expected_ms": round(expected_s * 1_000),
                "observed": len(self._durations_by_route.get(route.id, ())),
            },
        )
        if expected_s > left_s:
            raise NotRun(
                f"The daemon ends in {left_s:.1f} s; the request of route {route.id} "
                f"may take {expected_s:.1f} s by its {basis.value}",
                retry_after_s=RETRY_AFTER_S,
            )

    def _may_estimate(self, route: Route, now: float) -> bool:
        """Return whether a request may be accepted although it could be cut.

        The caller of an action that is cut cannot know whether it has run. One whose
        stream breaks off sees that and may ask again.
        """
        return now < self._estimates_until and route.kind is not RouteKind.AT_MOST_ONCE

    def expected_duration(
        self, route: Route, output_tokens: int = 0, running_s: float = 0.0
    ) -> float:
        """Return how long a request of the route may take, in seconds.

        The longest recent request is expected, or one as slow for each token as the
        slowest recent one, whichever takes longer, and a silence of its server.
        Requests that are still running count, since the slowest ones end last.
        """
        durations = self._durations_by_route.get(route.id, ())
        longest_s = max((seconds for seconds, _ in durations), default=0.0)
        longest_s = max(longest_s, running_s)
        s_per_token = max(
            (s / tokens for s, tokens in durations if tokens >= MIN_OUTPUT_TOKENS),
            default=0.0,
        )
        expected_s = DURATION_MARGIN * max(longest_s, s_per_token * output_tokens)
        if len(durations) < MIN_REMEMBERED_DURATIONS:
            targets = (
                UNKNOWN_STREAM_DURATION_TARGETS
                if route.kind is RouteKind.STREAM
                else UNKNOWN_DURATION_TARGETS
            )
            expected_s = max(expected_s, targets * route.target_s)
        return min(route.timeout_s, expected_s + SERVER_SILENCE_S)


__all__ = ["ShutdownAdmission"]
