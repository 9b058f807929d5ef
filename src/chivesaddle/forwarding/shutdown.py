"""Which requests a daemon still accepts while it shuts down.

Callers keep using a daemon's address for some seconds after SIGTERM. A stream that
begins late in that time may outlast the daemon and would be cut, so it is refused as
not run; its caller comes back to another daemon.
"""

from collections import OrderedDict, deque

from chivesaddle.core.aio import Clock
from chivesaddle.core.serving_model import Route, RouteId, RouteKind
from chivesaddle.forwarding.errors import NotRun

# Recent requests of a route whose longest duration is expected of the next one. One in
# so many takes longer.
REMEMBERED_DURATIONS = 128
# Routes whose durations are remembered.
MAX_ROUTES = 256
# Shutdowns under load are slower than usual.
DURATION_MARGIN = 1.25
# Expected duration, as a multiple of the route's target, while none has been observed.
# Streams last longer than others after their first event.
UNKNOWN_DURATION_TARGETS = 2.0
UNKNOWN_STREAM_DURATION_TARGETS = 10.0
RETRY_AFTER_S = 0.1


class ShutdownAdmission:
    """Refuses requests that may not end before the daemon does.

    Answers the load of a planned restart: all callers are still here, and each request
    may last for several seconds.

    Parameters
    ----------
    clock : Clock
        Clock of ``ends_at``.

    Attributes
    ----------
    ends_at : float or None
        When the daemon ends, None while it is not shutting down.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.ends_at: float | None = None
        self._durations_by_route: OrderedDict[RouteId, deque[float]] = OrderedDict()

    def record(self, route: Route, seconds: float) -> None:
        """Record the duration of a request that was answered."""
        durations = self._durations_by_route.get(route.id)
        if durations is None:
            durations = deque(maxlen=REMEMBERED_DURATIONS)
            self._durations_by_route[route.id] = durations
            if len(self._durations_by_route) > MAX_ROUTES:
                self._durations_by_route.popitem(last=False)
        durations.append(seconds)

    def check(self, route: Route) -> None:
        """Raise `NotRun` if a request of the route may outlast the daemon."""
        if self.ends_at is None:
            return
        left_s = self.ends_at - self._clock.seconds()
        expected_s = self.expected_duration(route)
        if expected_s > left_s:
            raise NotRun(
                f"The daemon ends in {left_s:.1f} s; requests of route {route.id} "
                f"take up to {expected_s:.1f} s",
                retry_after_s=RETRY_AFTER_S,
            )

    def expected_duration(self, route: Route) -> float:
        """Return how long a request of the route may take, in seconds."""
        durations = self._durations_by_route.get(route.id)
        if durations:
            return min(route.timeout_s, DURATION_MARGIN * max(durations))
        targets = (
            UNKNOWN_STREAM_DURATION_TARGETS
            if route.kind is RouteKind.STREAM
            else UNKNOWN_DURATION_TARGETS
        )
        return min(route.timeout_s, targets * route.target_s)


__all__ = ["ShutdownAdmission"]
