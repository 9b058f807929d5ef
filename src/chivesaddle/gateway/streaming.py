"""Sinks that write an answer to the caller, as a stream or as one JSON response."""

import json
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from chivesaddle.core.aio import Clock, DelayedCall, Signal
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import RequestId
from chivesaddle.engines import ApiStyle
from chivesaddle.engines.chunks import DONE
from chivesaddle.gateway.assembly import assemble_response
from chivesaddle.gateway.errors import error_body
from chivesaddle.gateway.responses import write_error, write_json

# A connection that accepts no data for this long is aborted, which frees the backend
# server from the run.
STALL_TIMEOUT_S = 30.0


class BufferingSink:
    """Buffers the events and sends them as one JSON response at the end.

    Parameters
    ----------
    request : twisted.web.server.Request
        The caller's request.
    style : ApiStyle
        Whether the response is a chat or a text completion.
    """

    paused = False

    def __init__(self, request: Any, style: ApiStyle) -> None:
        self._request = request
        self._style = style
        self._event_batches: list[bytes] = []
        self.ended = False
        self.request_id = RequestId("")

    async def resumed(self) -> None:
        """Return at once: buffering never pauses."""

    def write(self, events: bytes) -> None:
        """Buffer complete events."""
        self._event_batches.append(events)

    def finish(self) -> None:
        """Send the response."""
        self.ended = True
        events = b"".join(self._event_batches).removesuffix(DONE).split(b"\n\n")
        value = assemble_response((event for event in events if event), self._style)
        write_json(self._request, 200, value, X_Request_Id=self.request_id)

    def fail(self, error: ChivesaddleError) -> None:
        """Send a typed error."""
        self.ended = True
        if self.request_id:
            self._request.setHeader("X-Request-Id", self.request_id)
        write_error(self._request, error)


@implementer(IPushProducer)
class StreamingSink:
    """Streams events to the caller; pauses while the connection's buffer is full.

    Headers are sent with the first event, so that an earlier failure can still set the
    HTTP status.

    Parameters
    ----------
    request : twisted.web.server.Request
        The caller's request.
    clock : Clock
        Clock for the stall timeout.
    """

    def __init__(self, request: Any, clock: Clock) -> None:
        self._request = request
        self._clock = clock
        self._response_started = False
        self._resumed = Signal()
        self.paused = False
        self.ended = False
        self.request_id = RequestId("")

    async def resumed(self) -> None:
        """Wait until the connection accepts data again.

        After the stall timeout the connection is aborted, which cancels the request
        like any disconnect.
        """
        waiting: Deferred[None] = self._resumed.wait()
        stall: DelayedCall = self._clock.callLater(STALL_TIMEOUT_S, self._abort)
        try:
            await waiting
        finally:
            if stall.active():
                stall.cancel()

    def write(self, events: bytes) -> None:
        """Send complete events."""
        if self.ended:
            return
        if not self._response_started:
            self._start_response()
        self._request.write(events)

    def finish(self) -> None:
        """End the response."""
        if self.ended:
            return
        self.ended = True
        if self._response_started:
            self._request.unregisterProducer()
        self._request.finish()

    def fail(self, error: ChivesaddleError) -> None:
        """Send a typed error, as an event if the response has started."""
        if self.ended:
            return
        if not self._response_started:
            self.ended = True
            if self.request_id:
                self._request.setHeader("X-Request-Id", self.request_id)
            write_error(self._request, error)
            return
        body = error_body(error)
        body["error"]["retry_after_s"] = error.retry_after_s
        self._request.write(b"data: " + json.dumps(body).encode() + b"\n\n")
        self.finish()

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause: the connection's send buffer is full."""
        self.paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume: the connection accepts data again."""
        self.paused = False
        self._resumed.set()

    def stopProducing(self) -> None:  # noqa: N802
        """Write nothing more: the connection is lost."""
        self.ended = True

    def _start_response(self) -> None:
        self._response_started = True
        self._request.setHeader("Content-Type", "text/event-stream; charset=utf-8")
        self._request.setHeader("Cache-Control", "no-cache")
        self._request.setHeader("X-Request-Id", self.request_id)
        self._request.registerProducer(self, True)

    def _abort(self) -> None:
        if self._request.channel is not None:
            self._request.channel.forceAbortClient()


Sink = BufferingSink | StreamingSink

__all__ = ["BufferingSink", "Sink", "StreamingSink"]
