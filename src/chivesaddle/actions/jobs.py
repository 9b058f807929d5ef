"""Work that goes on after its caller was answered."""

from collections.abc import Coroutine
from typing import Any

from twisted.internet.defer import Deferred

from chivesaddle.core.aio import start


class Jobs:
    """Running coroutines, to be waited for at shutdown."""

    def __init__(self) -> None:
        self._running: set[Deferred] = set()
        self.closing = False

    def run(self, work: Coroutine[Any, Any, Any]) -> Deferred:
        """Start a coroutine and return the Deferred of its result."""
        job = start(work)
        self._running.add(job)

        def forget(result):
            self._running.discard(job)
            return result

        return job.addBoth(forget)

    async def close(self) -> None:
        """Wait for all jobs; ``closing`` tells them not to retry."""
        self.closing = True
        while self._running:
            await _finished(next(iter(self._running)))


def _finished(job: Deferred) -> "Deferred[None]":
    finished: Deferred[None] = Deferred()

    def tell(result):
        finished.callback(None)
        return result

    job.addBoth(tell)
    return finished


__all__ = ["Jobs"]
