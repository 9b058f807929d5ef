"""Announcement of suspect requests to the peers."""

from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.defer import Deferred, DeferredList

from chivesaddle.routing import Announcement


class SuspectAnnouncer:
    """Sends announcements and lets requests wait until the peers have received them.

    When a server crashes, each of its requests in flight fails, but only the first
    failure returns the announcements. The other requests must not be retried before the
    peers have acknowledged the announcements or the time limit of ``send`` has passed.

    Parameters
    ----------
    send : callable
        Sends announcements to all peers; its Deferred fires when all peers have
        acknowledged them or a time limit has passed.
    """

    def __init__(
        self, send: Callable[[Sequence[Announcement]], "Deferred[Any]"]
    ) -> None:
        self._send = send
        self._pending: set[Deferred[Any]] = set()

    async def announce(self, announcements: Sequence[Announcement]) -> None:
        """Send announcements; wait for these and all that are still being sent."""
        if announcements:
            sending = self._send(announcements)
            if not sending.called:
                self._pending.add(sending)
                sending.addBoth(self._discard, sending)
        if self._pending:
            await DeferredList([_wait_for(sending) for sending in self._pending])

    def _discard(self, result: object, sending: "Deferred[Any]") -> object:
        self._pending.discard(sending)
        return result


def _wait_for(source: "Deferred[Any]") -> "Deferred[None]":
    """Return a Deferred that fires with ``source`` and can be cancelled on its own."""
    waiter: Deferred[None] = Deferred(lambda _: None)

    def on_result(result: object) -> object:
        if not waiter.called:
            waiter.callback(None)
        return result

    source.addBoth(on_result)
    return waiter


__all__ = ["SuspectAnnouncer"]
