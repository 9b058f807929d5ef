"""Fake backend server that implements the platform's protocol, with fault switches.

Run ``python -m chivesaddle.standins.platform_server IP:PORT ID``.
``GET /control/runs`` lists the requests that it ran, ``GET /control/spans`` when each
of them ran, ``GET /report`` says when the server was started, and ``GET /health``
whether it takes requests.
"""

import os
import sys
import time
import weakref
from dataclasses import dataclass, field
from typing import Any

import msgspec

from chivesaddle.core.aio import install_reactor, sleep_until, start
from chivesaddle.http1 import HeaderList
from chivesaddle.platform.headers import (
    ANSWERING_SERVER,
    SERVER_LEAVING,
    SERVER_LIMIT,
)

PROCESSING_TIME_S = 0.02
EVENT_INTERVAL_S = 0.02
STREAM_EVENT_COUNT = 8
REPORT_PATH = "/report"
HEALTH_PATH = "/health"
EXTRA_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"


class PlatformServerFaults(msgspec.Struct):
    """Switches of ``PUT /control/faults``; all off by default.

    Attributes
    ----------
    shed : bool
        Refuse requests with 503 without running them.
    lose_answer : bool
        Run requests, then abort the connection instead of responding.
    break_stream_after : int
        Abort event streams after the event with this id; 0 disables it.
    break_new_stream_after : int
        The same for streams that begin here, not for those that are resumed.
    cut_stream_after : int
        End event streams properly in the middle of the event after the one with this
        id; 0 disables it.
    unframed : bool
        Send event streams without length and chunks, and close the connection.
    extra_answer : bool
        Send a second response after each response.
    late_extra_answer : bool
        The same, but when the next response on the connection is due.
    mute : bool
        Run requests and never respond.
    limit_per_s : float
        Limit of requests per second that responses name; 0 names none.
    refuse_s : float
        Refuse requests with 503 and ask to return after this time; 0 disables it.
    is_leaving : bool
        Say in all responses that the server leaves.
    processing_time_s : float
        Time before a response begins, in seconds.
    event_interval_s : float
        Time between the events of a stream, in seconds.
    event_count : int
        Events of a stream.
    slots : int
        Requests that run at a time; others are refused as not run. 0 for no limit.
    never_resumes : bool
        Begin every stream with its first event.
    crash_marker : str
        End the process when it runs a request whose path contains this; "" disables it.
    crash_part : str
        End the process when it begins to answer a stream whose prompt has this part; ""
        disables it.
    """

    shed: bool = False
    lose_answer: bool = False
    break_stream_after: int = 0
    break_new_stream_after: int = 0
    cut_stream_after: int = 0
    unframed: bool = False
    extra_answer: bool = False
    late_extra_answer: bool = False
    mute: bool = False
    limit_per_s: float = 0.0
    refuse_s: float = 0.0
    is_leaving: bool = False
    processing_time_s: float = PROCESSING_TIME_S
    event_interval_s: float = EVENT_INTERVAL_S
    event_count: int = STREAM_EVENT_COUNT
    slots: int = 0
    never_resumes: bool = False
    crash_marker: str = ""
    crash_part: str = ""

    def headers(self) -> HeaderList:
        """Return what the server says of itself in each response."""
        headers: HeaderList = []
        if self.limit_per_s:
            headers.append((SERVER_LIMIT, f"{self.limit_per_s:g}".encode()))
        if self.is_leaving:
            headers.append((SERVER_LEAVING, b"1"))
        return headers


class RunSpan(msgspec.Struct):
    """When a request ran, in seconds of ``CLOCK_MONOTONIC``; it may still run."""

    request_id: str
    began_at: float
    ended_at: float | None = None


class UnframedResponder:
    """Writes a response that ends with its connection."""

    def __init__(self, responder: Any) -> None:
        self._transport = responder.connection.transport
        self.abort = responder.abort

    def start(self, status: int, reason: bytes, headers: HeaderList) -> None:
        """Write status and headers."""
        lines = [b"HTTP/1.1 %d %s" % (status, reason), b"connection: close"]
        lines += [name + b": " + value for name, value in headers]
        self.write(b"\r\n".join(lines) + b"\r\n\r\n")

    def write(self, data: bytes) -> None:
        """Write body bytes."""
        self._transport.write(data)

    def finish(self) -> None:
        """Close the connection."""
        self._transport.loseConnection()


@dataclass(slots=True)
class PlatformServer:
    """Responds to requests of daemons and records those that it ran.

    Attributes
    ----------
    started_ms : int
        When it was started, in Unix milliseconds.
    """

    reactor: Any
    server_id: str
    faults: PlatformServerFaults = field(default_factory=PlatformServerFaults)
    runs: list[str] = field(default_factory=list)
    spans: list[RunSpan] = field(default_factory=list)
    running: int = 0
    _answered_connections: weakref.WeakSet[Any] = field(default_factory=weakref.WeakSet)
    started_ms: int = field(default_factory=lambda: int(time.time() * 1_000))

    def handle(self, request: Any, responder: Any) -> None:
        """Handle one request."""
        target = request.target.decode()
        if target == "/control/runs":
            responder.answer(200, msgspec.json.encode(self.runs))
        elif target == "/control/spans":
            responder.answer(200, msgspec.json.encode(self.spans))
        elif target == "/control/faults":
            self.faults = msgspec.json.decode(request.body, type=PlatformServerFaults)
            responder.answer(200)
        else:
            task = start(self._run(request, responder))
            responder.disconnected.addCallback(lambda _: task.cancel())
            task.addErrback(lambda failure: None)

    async def _run(self, request: Any, responder: Any) -> None:
        target = request.target.decode()
        request_id = request.headers.get("x-chivesaddle-attempt-identifier") or ""
        attempt_headers = [(b"x-chivesaddle-attempt-identifier", request_id.encode())]
        expected_instance = request.headers.get("x-chivesaddle-expected-instance")
        if expected_instance not in (None, self.server_id):
            instance_header = (b"x-chivesaddle-instance", self.server_id.encode())
            responder.answer(421, b"", [*attempt_headers, instance_header])
            return
        attempt_headers += self.faults.headers()
        if target == REPORT_PATH:
            report = {"identifier": self.server_id, "born": self.started_ms}
            responder.answer(200, msgspec.json.encode(report), attempt_headers)
            return
        if target == HEALTH_PATH:
            attempt_headers.append((ANSWERING_SERVER, self.server_id.encode()))
            status = 503 if self.faults.is_leaving or self.faults.shed else 200
            responder.answer(status, b"", attempt_headers)
            return
        is_full = 0 < self.faults.slots <= self.running
        if self.faults.shed or self.faults.refuse_s or is_full:
            attempt_headers.append((b"x-chivesaddle-not-executed", b"1"))
            if self.faults.refuse_s:
                retry_after = f"{self.faults.refuse_s:g}".encode()
                attempt_headers.append((b"retry-after", retry_after))
            responder.answer(503, b"", attempt_headers)
            return
        # Without an id, the request line is recorded, so that the request can be
        # traced.
        self.runs.append(request_id or f"{request.method!r} {request.target!r}")
        span = RunSpan(self.runs[-1], time.monotonic())
        self.spans.append(span)
        self.running += 1
        try:
            await self._answer(request, request_id, responder, attempt_headers)
        finally:
            self.running -= 1
            span.ended_at = time.monotonic()

    async def _answer(
        self,
        request: Any,
        request_id: str,
        responder: Any,
        attempt_headers: HeaderList,
    ) -> None:
        began_at = self.reactor.seconds()
        await sleep_until(self.reactor, began_at + self.faults.processing_time_s)
        marker = self.faults.crash_marker
        if marker and marker.encode() in request.target:
            os._exit(1)
        if self.faults.mute:
            return
        if self.faults.lose_answer:
            responder.abort()
            return
        signed_headers = [
            *attempt_headers,
            (b"x-chivesaddle-server-signature", b"stand-in"),
        ]
        if request.target.startswith(b"/stream"):
            await self._stream(request, responder, signed_headers)
        else:
            if self.faults.late_extra_answer:
                if responder.connection in self._answered_connections:
                    responder.connection.transport.write(EXTRA_RESPONSE)
                self._answered_connections.add(responder.connection)
            body = request_id.encode() + b":" + request.body
            responder.answer(200, body, signed_headers)
            if self.faults.extra_answer:
                responder.connection.transport.write(EXTRA_RESPONSE)

    async def _stream(self, request: Any, responder: Any, headers: Any) -> None:
        if self.faults.unframed:
            responder = UnframedResponder(responder)
        first_event_id = int(request.headers.get("last-event-id") or 0) + 1
        if self.faults.never_resumes:
            first_event_id = 1
        responder.start(200, b"OK", headers)
        if self.faults.crash_part:
            prompt = request.headers.get("x-chivesaddle-prompt-prefix") or ""
            parts = [entry.partition(":")[0] for entry in prompt.split(",")]
            if self.faults.crash_part in parts[:-1]:
                os._exit(1)
        for event_id in range(first_event_id, self.faults.event_count + 1):
            limit = self.faults.break_stream_after
            if first_event_id == 1:
                limit = limit or self.faults.break_new_stream_after
            if 0 < limit < event_id:
                responder.abort()
                return
            event = f"id: {event_id}\ndata: {event_id} {self.server_id}\n\n".encode()
            if 0 < self.faults.cut_stream_after < event_id:
                responder.write(event[:-2])
                break
            responder.write(event)
            interval_s = self.faults.event_interval_s
            await sleep_until(self.reactor, self.reactor.seconds() + interval_s)
        responder.finish()


def main(address: str, server_id: str) -> None:
    """Serve until the process is stopped."""
    install_reactor()
    from twisted.internet import reactor as installed

    from chivesaddle.http1 import listen

    reactor: Any = installed
    listen(reactor, address, PlatformServer(reactor, server_id).handle)
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2])


__all__ = ["PlatformServer", "PlatformServerFaults", "RunSpan", "main"]
