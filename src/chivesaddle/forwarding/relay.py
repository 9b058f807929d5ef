"""Forwards a server's response to the caller."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

from chivesaddle.core.aio import Clock
from chivesaddle.forwarding.events import EventSplitter, has_event
from chivesaddle.forwarding.exchange import NoUsableResponse
from chivesaddle.forwarding.messages import ServerResponse
from chivesaddle.forwarding.response_end import (
    ResponseEnd,
    body_end,
    has_body,
    stream_end,
)
from chivesaddle.forwarding.response_progress import ResponseProgress
from chivesaddle.http1 import Framing, HeaderList, Responder

ReadChunk = Callable[[], Awaitable[bytes | None]]
IsServerAlive = Callable[[], Awaitable[bool]]

# Bodies up to this size are buffered completely before the caller gets the status, so
# that a truncated response can be retried or reported as an error. Larger bodies are
# forwarded as they arrive.
MAX_BUFFERED_BYTES = 262_144
# Longest event; those of engines have some 100 bytes for each of a few tokens. 200
# streams with an endless event take 26 MB.
MAX_EVENT_BYTES = 131_072
EVENT_STREAM = "text/event-stream"


class Relay:
    """The caller's side of one request, over all its attempts.

    Parameters
    ----------
    responder : Responder
        Writes to the caller.
    is_stream : bool
        Whether responses are event streams.
    clock : Clock
        Clock of ``started_at``, the time at which the response to the caller began.
    resumes_after : str or None
        Id of the last event that the caller has from an earlier response.
    method : bytes
        Method of the request.
    """

    def __init__(
        self,
        responder: Responder,
        is_stream: bool,
        clock: Clock,
        *,
        resumes_after: str | None = None,
        method: bytes = b"POST",
    ) -> None:
        self._responder = responder
        self._is_stream = is_stream
        self._splitter = EventSplitter(checks_order=True, resumes_after=resumes_after)
        self.started_at: float | None = None
        self._resumes_after = resumes_after
        self._method = method
        # Whether an event of any response has been passed on.
        self._has_passed_events = False
        self._clock = clock

    @property
    def has_started(self) -> bool:
        """Whether the response to the caller has begun."""
        return self._responder.started

    @property
    def last_event_id(self) -> str | None:
        """Id of the last event that was forwarded."""
        return self._splitter.last_id

    @property
    def resumes_after(self) -> str | None:
        """Id after which the next event follows, None if it is the first one."""
        return self.last_event_id or self._resumes_after

    def expects_events(self, response: ServerResponse) -> bool:
        """Return whether the response is a stream of events."""
        return self._is_stream and 200 <= response.status < 300

    def check_head(self, response: ServerResponse) -> None:
        """Raise `NoUsableResponse` unless it can follow what the caller has."""
        if not self.has_started:
            return
        if not self.expects_events(response):
            raise NoUsableResponse(
                f"Server responded with status {response.status} to a resumed stream"
            )
        if response.media_type not in (None, EVENT_STREAM):
            raise NoUsableResponse(
                f"Server responded with {response.media_type} to a resumed stream"
            )

    @property
    def can_go_on(self) -> bool:
        """Whether the response of another server can continue what the caller has."""
        if not self.has_started or self.last_event_id is not None:
            return True
        return self._is_stream and not self._has_passed_events

    @property
    def unfinished_bytes(self) -> int:
        """Bytes of an event whose end has not arrived."""
        return self._splitter.remaining_bytes

    async def forward(
        self,
        response: ServerResponse,
        read_chunk: ReadChunk,
        is_server_alive: IsServerAlive,
        progress: ResponseProgress,
        on_progress: Callable[[], None],
    ) -> None:
        """Forward a response.

        Parameters
        ----------
        response : ServerResponse
            Its head.
        read_chunk : callable
            Reads its body.
        is_server_alive : callable
            Returns whether the process that sends it is known to live on.
        progress : ResponseProgress
            Gets how far it has come.
        on_progress : callable
            Called before complete events, or the begin of another body, go to the
            caller.

        Raises
        ------
        NoUsableResponse
            If the response is incomplete, or may be and its server is not alive.
        """
        if not has_body(self._method, response.status):
            response = replace(response, framing=Framing.LENGTH, content_length=0)
        self.check_head(response)
        if self.expects_events(response):
            await self._forward_events(
                response, read_chunk, is_server_alive, progress, on_progress
            )
        else:
            await self._forward_body(response, read_chunk, is_server_alive, on_progress)

    async def _forward_body(
        self,
        response: ServerResponse,
        read_chunk: ReadChunk,
        is_server_alive: IsServerAlive,
        on_progress: Callable[[], None],
    ) -> None:
        buffered: list[bytes] = []
        size = 0
        while (chunk := await read_chunk()) is not None:
            if self.has_started:
                await self._write(chunk)
                continue
            buffered.append(chunk)
            size += len(chunk)
            if size > MAX_BUFFERED_BYTES:
                on_progress()
                self._start(response, response.content_length, b"".join(buffered))
                await self._responder.wait_writable()
        body = None if self.has_started else b"".join(buffered)
        await self.check_end(body_end(response, body), response, is_server_alive)
        if body is not None:
            on_progress()
            self._start(response, size, body)
            await self._responder.wait_writable()
        self._responder.finish()

    async def _forward_events(
        self,
        response: ServerResponse,
        read_chunk: ReadChunk,
        is_server_alive: IsServerAlive,
        progress: ResponseProgress,
        on_progress: Callable[[], None],
    ) -> None:
        """Forward events as they arrive; the first one starts the response."""
        # A resumed stream starts with a complete event.
        self._splitter.drop_remainder()
        last_events = b""
        progress.waiting_since = self._clock.seconds()
        while (chunk := await read_chunk()) is not None:
            events = self._splitter.feed(chunk)
            if self._splitter.remaining_bytes > MAX_EVENT_BYTES:
                raise NoUsableResponse(f"Event has over {MAX_EVENT_BYTES} bytes")
            if not events:
                self._check_no_fault()
                continue
            is_progress = has_event(events)
            if is_progress:
                on_progress()
            if self.has_started:
                self._responder.write(events)
            else:
                self._start(response, None, events)
            if is_progress:
                last_events = events
                progress.has_event = self._has_passed_events = True
                progress.waiting_since = None
                await self._responder.wait_writable()
                progress.waiting_since = self._clock.seconds()
            else:
                await self._responder.wait_writable()
            self._check_no_fault()
        end = self.stream_end(response, self._splitter, last_events)
        await self.check_end(end, response, is_server_alive)
        if not last_events:
            on_progress()
        if not self.has_started:
            self._start(response, None)
        await self._write(self._splitter.remainder)
        self._responder.finish()

    def _check_no_fault(self) -> None:
        if self._splitter.fault is not None:
            raise NoUsableResponse(self._splitter.fault.value)

    def stream_end(
        self, response: ServerResponse, splitter: EventSplitter, last_events: bytes
    ) -> ResponseEnd:
        """Return how a stream ended that ``splitter`` has read; see `stream_end`."""
        return stream_end(
            response.framing,
            splitter,
            last_events,
            may_be_empty=self.resumes_after is not None
            or not has_body(self._method, response.status),
        )

    async def check_end(
        self,
        end: ResponseEnd,
        response: ServerResponse,
        is_server_alive: IsServerAlive,
    ) -> None:
        """Raise `NoUsableResponse` unless a response is known to be complete."""
        if end is ResponseEnd.COMPLETE:
            return
        if end is ResponseEnd.BY_CONNECTION and await is_server_alive():
            return
        raise NoUsableResponse(
            f"Response ended {end.value}",
            # The kernel closes the connections of a process that crashed.
            may_be_crash=response.framing is Framing.CONNECTION,
        )

    def _start(
        self, response: ServerResponse, length: int | None, body: bytes = b""
    ) -> None:
        headers: HeaderList = list(response.passed_headers)
        if length is not None:
            headers.append((b"content-length", str(length).encode()))
        self.started_at = self._clock.seconds()
        self._responder.start(response.status, response.reason, headers, body)

    async def _write(self, data: bytes) -> None:
        self._responder.write(data)
        await self._responder.wait_writable()


__all__ = ["Relay"]
