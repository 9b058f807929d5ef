"""Background tasks that outlive the request that started them."""

from collections.abc import Coroutine
from typing import Any

from twisted.internet.defer import Deferred

from chivesaddle.core.aio import start


class BackgroundTasks:
    """Running coroutines that shutdown waits for."""

    def __init__(self) -> None:
        self._running: set[Deferred] = set()
        self.closing = False

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Deferred:
        """Start a coroutine and return the Deferred of its result."""
        task = start(coroutine)
        self._running.add(task)

        def untrack(result):
            self._running.discard(task)
            return result

        return task.addBoth(untrack)

    async def close(self) -> None:
        """Wait for all tasks; setting ``closing`` stops them from retrying."""
        self.closing = True
        while self._running:
            await _completion(next(iter(self._running)))


def _completion(task: Deferred) -> "Deferred[None]":
    completion: Deferred[None] = Deferred()

    def notify(result):
        completion.callback(None)
        return result

    task.addBoth(notify)
    return completion


__all__ = ["BackgroundTasks"]
