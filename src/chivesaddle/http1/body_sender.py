"""Sends a long body without a copy of it in the transport's queue."""

from typing import Any

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

PIECE_BYTES = 65_536


@implementer(IPushProducer)
class BodySender:
    """Writes a body piece by piece, as the transport sends it.

    Until `is_done`, the transport's queue is not empty, and nothing else must be
    written to it.

    Parameters
    ----------
    transport : twisted.internet.interfaces.ITCPTransport
        Where to write.
    body : bytes
        The body.
    """

    def __init__(self, transport: Any, body: bytes) -> None:
        self._transport = transport
        self._left = memoryview(body)
        self._is_paused = False

    @property
    def is_done(self) -> bool:
        """Whether the whole body has been written to the transport."""
        return not self._left

    def start(self) -> None:
        """Write the first pieces."""
        self._transport.registerProducer(self, True)
        self.resumeProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Write until the transport's queue is full; called by the transport."""
        self._is_paused = False
        while self._left and not self._is_paused:
            piece = bytes(self._left[:PIECE_BYTES])
            self._left = self._left[PIECE_BYTES:]
            self._transport.write(piece)
        if not self._left:
            # Even an empty view of the body would keep it.
            self._left = memoryview(b"")
            self._transport.unregisterProducer()

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop writing; called by the transport if its queue is full."""
        self._is_paused = True

    def stopProducing(self) -> None:  # noqa: N802
        """Stop for good; called by the transport when the connection is lost."""
        self._is_paused = True


__all__ = ["BodySender"]
