"""What a scene of the soak test has: a fleet, chance of its own, and requests."""

import random
from collections.abc import Callable

from chivesaddle.tools.platform_fleet import PlatformFleet
from chivesaddle.tools.soak.callers import RequestLog, request_headers


class Scene:
    """Callers and faults that belong together.

    Parameters
    ----------
    fleet : PlatformFleet
        Daemons and servers.
    seed : int
        Seed of the run.
    request_log : RequestLog
        Where requests and violations are recorded.
    clock : callable
        Returns the time in seconds.
    """

    # Of its random numbers, so that the seeds draw the other faults as before.
    NAME: str

    def __init__(
        self,
        fleet: PlatformFleet,
        seed: int,
        request_log: RequestLog,
        clock: Callable[[], float],
    ) -> None:
        self._fleet = fleet
        self._random = random.Random(f"{self.NAME} {seed}")
        self._request_log = request_log
        self._clock = clock
        self._prepare()

    def _prepare(self) -> None:
        """Set what this kind of scene needs besides."""

    def _start(self, request_id: str) -> dict[str, str]:
        """Record a request that does not count as served or not; return its headers."""
        self._request_log.start(request_id, "safe")
        return request_headers(request_id)


__all__ = ["Scene"]
