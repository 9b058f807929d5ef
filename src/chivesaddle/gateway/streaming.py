"""Sinks that hand an answer to a caller, streamed or plain."""

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
from chivesaddle.gateway.assembly import assemble
from chivesaddle.gateway.errors import error_body
from chivesaddle.gateway.responses import write_error, write_json

# A caller that takes no byte for this long is treated as gone, which frees its run.
STALL_S = 30.0


class PlainSink:
    """Collects the events and sends one response at the end.

    Parameters
    ----------
    request : twisted.web.server.Request
        The caller's request.
    style : ApiStyle
        Shape of the answer.
    """

    paused = False

    def __init__(self, request: Any, style: ApiStyle) -> None:
        self._request = request
        self._style = style
        self._parts: list[bytes] = []
        self.ended = False
        self.request_id = RequestId("")

    async def resumed(self) -> None:
        """Return at once, since nothing is sent before the end."""

    def write(self, events: bytes) -> None:
        """Keep whole events."""
        self._parts.append(events)

    def finish(self) -> None:
        """Send the response."""
        self.ended = True
        events = b"".join(self._parts).removesuffix(DONE).split(b"\n\n")
        value = assemble((event for event in events if event), self._style)
        write_json(self._request, 200, value, X_Request_Id=self.request_id)

    def fail(self, error: ChivesaddleError) -> None:
        """Send a typed error."""
        self.ended = True
        if self.request_id:
            self._request.setHeader("X-Request-Id", self.request_id)
        write_error(self._request, error)


@implementer(IPushProducer)
class StreamingSink:
    """Sends events as they come and pauses while the caller's connection is full.

    Headers go out with the first event, so that earlier failures have their own
    status.

    Parameters
    ----------
    request : twisted.web.server.Request
        The caller's request.
    clock : Clock
        Clock of the stall timeout.
    """

    def __init__(self, request: Any, clock: Clock) -> None:
        self._request = request
        self._clock = clock
        self._started = False
        self._resumed = Signal()
        self.paused = False
        self.ended = False
        self.request_id = RequestId("")

    async def resumed(self) -> None:
        """Wait until the connection takes data again.

        After the stall timeout the connection is aborted, which cancels the request
        as any disconnect does.
        """
        waiting: Deferred[None] = self._resumed.wait()
        stall: DelayedCall = self._clock.callLater(STALL_S, self._abort)
        try:
            await waiting
        finally:
            if stall.active():
                stall.cancel()

    def write(self, events: bytes) -> None:
        """Send whole events."""
        if self.ended:
            return
        if not self._started:
            self._start()
        self._request.write(events)

    def finish(self) -> None:
        """End the response."""
        if self.ended:
            return
        self.ended = True
        if self._started:
            self._request.unregisterProducer()
        self._request.finish()

    def fail(self, error: ChivesaddleError) -> None:
        """Send a typed error, as an event if the answer has begun."""
        if self.ended:
            return
        if not self._started:
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
        """Note that the connection is full."""
        self.paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Note that the connection takes data again."""
        self.paused = False
        self._resumed.set()

    def stopProducing(self) -> None:  # noqa: N802
        """Note that the connection is gone."""
        self.ended = True

    def _start(self) -> None:
        self._started = True
        self._request.setHeader("Content-Type", "text/event-stream; charset=utf-8")
        self._request.setHeader("Cache-Control", "no-cache")
        self._request.setHeader("X-Request-Id", self.request_id)
        self._request.registerProducer(self, True)

    def _abort(self) -> None:
        if self._request.channel is not None:
            self._request.channel.forceAbortClient()


Sink = PlainSink | StreamingSink

__all__ = ["PlainSink", "Sink", "StreamingSink"]
