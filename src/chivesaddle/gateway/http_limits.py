"""HTTP server with limits on the body size and on the time to read a request."""

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

MAX_BODY_BYTES = 4 << 20
REQUEST_READ_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 60


class BodyTooLarge(ChivesaddleError):
    """The request body exceeds the size limit."""

    code = "body_too_large"
    status = 413


class RequestTimeout(ChivesaddleError):
    """The request was not received completely in time."""

    code = "request_timeout"
    status = 408


class LimitedRequest(Request):
    """Request whose body is held in memory, up to the size limit."""

    _too_large = False
    content: BytesIO

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Reject a declared length over the limit before reading the body."""
        # Twisted writes bodies over 100 kB to a file, but the instances on which
        # daemons run have no disk.
        self.content = BytesIO()
        if length is not None and length > MAX_BODY_BYTES:
            self._reject_body()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Append a part of the body, or reject the request if the limit is exceeded."""
        if self._too_large:
            return
        if self.content.tell() + len(data) > MAX_BODY_BYTES:
            self._reject_body()
        else:
            self.content.write(data)

    def process(self) -> None:
        """Serve the request unless it was rejected."""
        if self._too_large:
            return
        # Klein decodes path and host itself and would respond without a typed error.
        try:
            unquote_to_bytes(self.path).decode()
            self.getRequestHostname().decode()
        except UnicodeDecodeError:
            write_error(
                self, InvalidValue("Path or host is not valid UTF-8", field="path")
            )
            return
        super().process()

    def _reject_body(self) -> None:
        self._too_large = True
        error = BodyTooLarge(
            f"The body exceeds {MAX_BODY_BYTES} bytes", remedy="Send a smaller body"
        )
        cast(LimitedChannel, self.channel).reject(error)


class LimitedChannel(HTTPChannel):
    """Connection on which each request must be received within a timeout.

    The idle timeout alone would let a caller hold a connection open by sending one byte
    at a time.
    """

    _read_timer: DelayedCall | None = None
    _ignores_read_timeout = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Start the read timeout with the first byte of a request."""
        if self._read_timer is None and not self._ignores_read_timeout:
            self._read_timer = self.callLater(
                REQUEST_READ_TIMEOUT_S, self._on_read_timeout
            )
        super().dataReceived(data)

    def allContentReceived(self) -> None:  # noqa: N802
        """Stop the read timeout while the request is served."""
        self._cancel_read_timer()
        self._ignores_read_timeout = True
        super().allContentReceived()

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Allow the read timeout to start with the next request."""
        self._ignores_read_timeout = False
        super().requestDone(request)

    def connectionLost(self, reason: Any) -> None:  # type: ignore[override] # noqa: N802
        """Stop the read timeout for good."""
        self._cancel_read_timer()
        self._ignores_read_timeout = True
        super().connectionLost(reason)

    def reject(self, error: ChivesaddleError) -> None:
        """Send an error without reading the rest of the request, and disconnect."""
        body_json = json.dumps(error_body(error)).encode()
        head = (
            f"HTTP/1.1 {error.status} {error.code}\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(body_json)}\r\n\r\n"
        )
        self._cancel_read_timer()
        cast(Any, self.transport).write(head.encode() + body_json)
        self.loseConnection()

    def _cancel_read_timer(self) -> None:
        timer, self._read_timer = self._read_timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _on_read_timeout(self) -> None:
        self._read_timer = None
        self.reject(
            RequestTimeout(
                f"The request was not received within {REQUEST_READ_TIMEOUT_S:g} s",
                remedy="Send the request again",
            )
        )


def limited_site(resource: Any, reactor: Clock) -> Site:
    """Return a Twisted site that serves a resource with all limits in place."""
    site = Site(
        resource,
        requestFactory=LimitedRequest,
        timeout=IDLE_TIMEOUT_S,
        reactor=reactor,
    )
    site.protocol = LimitedChannel  # type: ignore[method-assign,assignment]
    return site


__all__ = ["MAX_BODY_BYTES", "REQUEST_READ_TIMEOUT_S", "limited_site"]
