"""Announcements of suspect requests between the router and the peers."""

from collections.abc import Callable, Sequence
from typing import Any

from twisted.internet.defer import Deferred, DeferredList

from chivesaddle.routing import Announcement


class SuspectAnnouncer:
    """Sends announcements and lets requests wait for those still on their way.

    All requests in flight on a crashed server notice the crash, but only the first one
    gets the announcements. The others must not be retried before these have arrived.

    Parameters
    ----------
    send : callable
        Sends announcements to all peers; its Deferred fires when they were told.
    """

    def __init__(
        self, send: Callable[[Sequence[Announcement]], "Deferred[Any]"]
    ) -> None:
        self._send = send
        self._pending: set[Deferred[Any]] = set()

    async def announce(self, announcements: Sequence[Announcement]) -> None:
        """Send announcements; return when these and all earlier ones were sent."""
        if announcements:
            sending = self._send(announcements)
            if not sending.called:
                self._pending.add(sending)
                sending.addBoth(self._forget, sending)
        if self._pending:
            await DeferredList([_follow(sending) for sending in self._pending])

    def _forget(self, result: object, sending: "Deferred[Any]") -> object:
        self._pending.discard(sending)
        return result


def _follow(source: "Deferred[Any]") -> "Deferred[None]":
    """Return a Deferred that fires with ``source`` and whose cancellation leaves it."""
    follower: Deferred[None] = Deferred(lambda _: None)

    def passed(result: object) -> object:
        if not follower.called:
            follower.callback(None)
        return result

    source.addBoth(passed)
    return follower


__all__ = ["SuspectAnnouncer"]
