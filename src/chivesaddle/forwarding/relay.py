"""Passes a server's answer on to the caller."""

from collections.abc import Awaitable, Callable

from chivesaddle.core.aio import Clock
from chivesaddle.forwarding.events import EventCutter
from chivesaddle.forwarding.messages import ServerAnswer
from chivesaddle.forwarding.send import ServerBroke
from chivesaddle.http1 import HeaderList, Responder

ReadChunk = Callable[[], Awaitable[bytes | None]]

# Larger bodies are passed on as they arrive; smaller ones are complete before the
# caller sees their status, so that a broken one can be repeated or told as a failure.
MAX_HELD_BYTES = 262_144


class Relay:
    """The caller's side of one request, over all its attempts.

    Parameters
    ----------
    responder : Responder
        Writes to the caller.
    is_stream : bool
        Whether answers are series of events.
    clock : Clock
        Clock of ``first_at``, when the answer began.
    """

    def __init__(self, responder: Responder, is_stream: bool, clock: Clock) -> None:
        self._responder = responder
        self._is_stream = is_stream
        self._events = EventCutter()
        self.first_at: float | None = None
        self.on_first: Callable[[], None] | None = None
        self._clock = clock

    @property
    def has_started(self) -> bool:
        """Whether the caller has received part of an answer."""
        return self._responder.started

    @property
    def last_event_id(self) -> str | None:
        """Id of the last event that was passed on."""
        return self._events.last_id

    async def pass_on(self, answer: ServerAnswer, read_chunk: ReadChunk) -> None:
        """Pass on a whole answer; raises `ServerBroke` if it ends early."""
        if self._is_stream and 200 <= answer.status < 300:
            await self._pass_events(answer, read_chunk)
        elif self.has_started:
            raise ServerBroke(f"Server answered {answer.status} to a resumed stream")
        else:
            await self._pass_body(answer, read_chunk)

    async def _pass_body(self, answer: ServerAnswer, read_chunk: ReadChunk) -> None:
        held: list[bytes] = []
        size = 0
        while (chunk := await read_chunk()) is not None:
            if self.has_started:
                await self._write(chunk)
                continue
            held.append(chunk)
            size += len(chunk)
            if size > MAX_HELD_BYTES:
                self._start(answer, answer.content_length)
                await self._write(b"".join(held))
        if not self.has_started:
            self._start(answer, size)
            await self._write(b"".join(held))
        self._responder.finish()

    async def _pass_events(self, answer: ServerAnswer, read_chunk: ReadChunk) -> None:
        """Pass on events as they arrive; the first one starts the answer."""
        # A run that continues the stream starts with a whole event.
        self._events.rest = b""
        while (chunk := await read_chunk()) is not None:
            events = self._events.feed(chunk)
            if not events:
                continue
            if not self.has_started:
                self._start(answer, None)
            await self._write(events)
        if not self.has_started:
            self._start(answer, None)
        await self._write(self._events.rest)
        self._responder.finish()

    def _start(self, answer: ServerAnswer, length: int | None) -> None:
        headers: HeaderList = list(answer.passed_headers)
        if length is not None:
            headers.append((b"content-length", str(length).encode()))
        self.first_at = self._clock.seconds()
        if self.on_first is not None:
            self.on_first()
        self._responder.start(answer.status, answer.reason, headers)

    async def _write(self, data: bytes) -> None:
        self._responder.write(data)
        await self._responder.drained()


__all__ = ["Relay"]
