"""HTTP server limits: body size, and a deadline for reading a request."""

import json
from io import BytesIO
from typing import Any, cast
from urllib.parse import unquote_to_bytes

from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

from chivesaddle.core.aio import Clock, DelayedCall
from chivesaddle.core.errors import ChivesaddleError, InvalidValue
from chivesaddle.gateway.errors import error_body
from chivesaddle.gateway.responses import write_error

BODY_LIMIT_BYTES = 4 << 20
READ_DEADLINE_S = 10.0
IDLE_CONNECTION_S = 60


class BodyTooLarge(ChivesaddleError):
    """The request's body exceeds the limit."""

    code = "body_too_large"
    status = 413


class RequestTimeout(ChivesaddleError):
    """The request did not arrive completely in time."""

    code = "request_timeout"
    status = 408


class LimitedRequest(Request):
    """Request whose body is kept in memory, up to the limit."""

    _too_large = False
    content: BytesIO

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a declared length over the limit before reading the body."""
        # Twisted writes bodies over 100 kB to a file; entry instances are diskless.
        self.content = BytesIO()
        if length is not None and length > BODY_LIMIT_BYTES:
            self._refuse()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body unless it exceeds the limit."""
        if self._too_large:
            return
        if self.content.tell() + len(data) > BODY_LIMIT_BYTES:
            self._refuse()
        else:
            self.content.write(data)

    def process(self) -> None:
        """Serve the request unless it was refused."""
        if self._too_large:
            return
        # Klein decodes these itself and would answer without a typed error.
        try:
            unquote_to_bytes(self.path).decode()
            self.getRequestHostname().decode()
        except UnicodeDecodeError:
            write_error(self, InvalidValue("Path or host is not UTF-8", field="path"))
            return
        super().process()

    def _refuse(self) -> None:
        self._too_large = True
        error = BodyTooLarge(
            f"The body exceeds {BODY_LIMIT_BYTES} bytes", remedy="Send less"
        )
        cast(LimitedChannel, self.channel).refuse(error)


class LimitedChannel(HTTPChannel):
    """Connection on which a request must arrive completely within the deadline.

    The idle timeout alone would let a caller hold a connection by sending one byte
    at a time.
    """

    _read_timer: DelayedCall | None = None
    _serving = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Start the deadline with the first byte of a request."""
        if self._read_timer is None and not self._serving:
            self._read_timer = self.callLater(READ_DEADLINE_S, self._expire)
        super().dataReceived(data)

    def allContentReceived(self) -> None:  # noqa: N802
        """End the deadline."""
        self._stop_timer()
        self._serving = True
        super().allContentReceived()

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Expect the next request."""
        self._serving = False
        super().requestDone(request)

    def connectionLost(self, reason: Any) -> None:  # type: ignore[override] # noqa: N802
        """End the deadline."""
        self._stop_timer()
        self._serving = True
        super().connectionLost(reason)

    def refuse(self, error: ChivesaddleError) -> None:
        """Send a failure without reading the rest of the request, and close."""
        content = json.dumps(error_body(error)).encode()
        head = (
            f"HTTP/1.1 {error.status} {error.code}\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(content)}\r\n\r\n"
        )
        self._stop_timer()
        cast(Any, self.transport).write(head.encode() + content)
        self.loseConnection()

    def _stop_timer(self) -> None:
        timer, self._read_timer = self._read_timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _expire(self) -> None:
        self._read_timer = None
        self.refuse(
            RequestTimeout(
                f"The request was not complete within {READ_DEADLINE_S:g} s",
                remedy="Send it again",
            )
        )


def limited_site(resource: Any, reactor: Clock) -> Site:
    """Return a site for a resource with all limits in place."""
    site = Site(
        resource,
        requestFactory=LimitedRequest,
        timeout=IDLE_CONNECTION_S,
        reactor=reactor,
    )
    site.protocol = LimitedChannel  # type: ignore[method-assign,assignment]
    return site


__all__ = ["BODY_LIMIT_BYTES", "READ_DEADLINE_S", "limited_site"]
