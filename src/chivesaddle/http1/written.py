"""Whether a request was written to the network before its response arrived."""

from typing import Any


class RequestWrite:
    """Observes when a transport has written all bytes that it was given.

    A response that arrives earlier cannot belong to the request. Create this right
    after the request was passed to the transport.

    Parameters
    ----------
    transport : ITransport and IConsumer
        Transport of the connection; must have no producer.

    Attributes
    ----------
    is_complete : bool
        Whether all bytes have been written.
    """

    def __init__(self, transport: Any) -> None:
        self._transport = transport
        self._is_registered = False
        self.is_complete = False
        # As a pull producer, this is called once at its registration, and again when
        # the transport's buffer is empty.
        transport.registerProducer(self, False)
        if not self._is_registered:
            # Transports without a buffer call nothing.
            self._end()

    def resumeProducing(self) -> None:  # noqa: N802
        """Record that the transport takes more bytes; called by the transport."""
        if self._is_registered:
            self._end()
        self._is_registered = True

    def stopProducing(self) -> None:  # noqa: N802
        """Ignore that the connection was lost; the response fails as well."""
        self._is_registered = True

    def _end(self) -> None:
        self.is_complete = True
        self._transport.unregisterProducer()


__all__ = ["RequestWrite"]
