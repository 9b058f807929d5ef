"""The part of an answer that was relayed so far, and what may follow it."""

from chivesaddle.core.ids import RequestId
from chivesaddle.engines.chunks import (
    ApiStyle,
    decode,
    has_content,
    has_usage,
    text_so_far,
    token_index,
    with_token_index,
    with_total_usage,
)
from chivesaddle.engines.errors import EngineError, EngineProtocolError, StreamMismatch


class RelayedAnswer:
    """Accepts exactly the next event of one request.

    Every chunk names its request in ``id`` and its position in ``token_index``, one
    token a chunk. Events of other requests and gaps are refused, duplicates dropped.
    The raw events are kept, about 250 bytes a token, so that their text is decoded
    only when the answer has to continue on another server.

    Parameters
    ----------
    request_id : RequestId
        Must occur in every chunk.
    style : ApiStyle
        Shape of the chunks.
    tokens : int
        Tokens that the caller has already, when a stream is resumed.
    """

    def __init__(
        self, request_id: RequestId, style: ApiStyle, *, tokens: int = 0
    ) -> None:
        self.style = style
        self.tokens = tokens
        self.complete = False
        self.continued = False
        self.resume_text = ""
        self.events: list[bytes] = []
        self._id = request_id.encode()
        self._shift: int | None = 0
        self._finish_seen = False

    def accept(self, event: bytes) -> bytes | None:
        """Return the event to relay, or None for a duplicate.

        Raises
        ------
        StreamMismatch
            The event belongs to another request or skips a token.
        EngineProtocolError
            The event is malformed.
        EngineError
            The engine reported a failure in the stream.
        """
        if (
            self._shift == 0
            and token_index(event) == self.tokens
            # Text comes after "choices" and may quote any request id.
            and 0 <= event.find(self._id) < event.find(b'"choices"')
            and event.startswith(b"data: {")
            and event.endswith(b"}\n\n")
            and not has_usage(event)
            and not self.complete
        ):
            self.tokens += 1
            self.events.append(event)
            return event
        return self._accept_unusual(event)

    def continue_elsewhere(self) -> None:
        """Prepare for another server, which may count from 0 or from here.

        ``resume_text`` becomes the text so far.

        Raises
        ------
        NotContinuable
            If the answer so far has no text form.
        """
        self.resume_text = text_so_far(self.events, self.style)
        self.continued = self.tokens > 0
        self._shift = None if self.continued else 0

    def resume_position(self) -> int:
        """Return how many tokens of the current server's numbering were relayed."""
        return self.tokens - (self._shift or 0)

    def _accept_unusual(self, event: bytes) -> bytes | None:
        if event.startswith(b":") or self.complete:
            return None
        if not event.startswith(b"data:"):
            raise EngineProtocolError("An event of the engine has no data line")
        chunk = decode(event)
        if chunk.get("error"):
            reported = str(chunk["error"])[:500]
            raise EngineError(f"The engine reported a failure: {reported}")
        if self._id.decode() not in str(chunk.get("id", "")):
            raise StreamMismatch("The stream carried an event of another request")
        index = chunk.get("token_index")
        usage = isinstance(chunk.get("usage"), dict)
        if index is None or (usage and not has_content(chunk)):
            return self._accept_without_token(event, chunk, usage)
        position = index + self._shift_for(index)
        if position < self.tokens:
            return None
        if position > self.tokens:
            raise StreamMismatch(
                f"The stream skipped from token {self.tokens} to {position}"
            )
        self.tokens += 1
        if position != index:
            event = with_token_index(event, position)
        return self._keep(event, usage)

    def _accept_without_token(
        self, event: bytes, chunk: dict, usage: bool
    ) -> bytes | None:
        finish = any(c.get("finish_reason") for c in chunk.get("choices") or ())
        if not usage:
            # Role and finish chunks are repeated by a resumed stream.
            if (finish and self._finish_seen) or (not finish and self.tokens):
                return None
            self._finish_seen |= finish
        return self._keep(event, usage)

    def _keep(self, event: bytes, usage: bool) -> bytes:
        if usage:
            self.complete = True
            if self.continued:
                event = with_total_usage(event, self.tokens)
        self.events.append(event)
        return event

    def _shift_for(self, index: int) -> int:
        if self._shift is None:
            self._shift = self.tokens if index == 0 else 0
        return self._shift


__all__ = ["RelayedAnswer"]
