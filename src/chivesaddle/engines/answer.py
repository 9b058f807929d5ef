"""State of a partly relayed answer and validation of the events that follow."""

from chivesaddle.core.ids import RequestId
from chivesaddle.engines.chunks import (
    ApiStyle,
    decode,
    has_content,
    has_usage,
    relayed_text,
    token_index,
    with_token_index,
    with_total_usage,
)
from chivesaddle.engines.errors import EngineError, EngineProtocolError, StreamMismatch


class RelayedAnswer:
    """Validates the events of one answer and drops duplicates.

    Each chunk holds one token. It carries its request id in ``id`` and the position of
    the token in ``token_index``. Events of other requests and gaps in the numbering are
    rejected; duplicates are dropped. The raw events are kept, about 250 bytes per
    token, and are decoded only if the answer has to be continued on another server.

    Parameters
    ----------
    request_id : RequestId
        Request id that every chunk must carry.
    style : ApiStyle
        Format of the chunks.
    tokens : int
        Number of tokens that the caller already has when a stream is resumed.
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
        self._request_id = request_id.encode()
        self._index_offset: int | None = 0
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
            The engine reported an error in the stream.
        """
        if (
            self._index_offset == 0
            and token_index(event) == self.tokens
            # Generated text follows "choices" and may contain any request id.
            and 0 <= event.find(self._request_id) < event.find(b'"choices"')
            and event.startswith(b"data: {")
            and event.endswith(b"}\n\n")
            and not has_usage(event)
            and not self.complete
        ):
            self.tokens += 1
            self.events.append(event)
            return event
        return self._accept_parsed(event)

    def prepare_continuation(self) -> None:
        """Set ``resume_text`` to the text relayed so far, for another server.

        The events of the current server are accepted until `switch_server`.

        Raises
        ------
        NotContinuable
            If the answer so far cannot be expressed as text.
        """
        self.resume_text = relayed_text(self.events, self.style)

    def switch_server(self) -> None:
        """Accept the events of another server that continues the answer.

        It may number its tokens from 0 or from the current position.
        """
        self.continued = self.tokens > 0
        self._index_offset = None if self.continued else 0

    def resume_position(self) -> int:
        """Return how many tokens of the current server's numbering to skip."""
        return self.tokens - (self._index_offset or 0)

    def _accept_parsed(self, event: bytes) -> bytes | None:
        if event.startswith(b":") or self.complete:
            return None
        if not event.startswith(b"data:"):
            raise EngineProtocolError("Engine event has no data line")
        chunk = decode(event)
        if chunk.get("error"):
            reported = str(chunk["error"])[:500]
            raise EngineError(f"Engine reported an error in the stream: {reported}")
        if self._request_id.decode() not in str(chunk.get("id", "")):
            raise StreamMismatch("Engine stream contains an event of another request")
        index = chunk.get("token_index")
        usage = isinstance(chunk.get("usage"), dict)
        if index is None or (usage and not has_content(chunk)):
            return self._accept_without_index(event, chunk, usage)
        position = index + self._offset_for(index)
        if position < self.tokens:
            return None
        if position > self.tokens:
            raise StreamMismatch(
                f"Engine stream skipped from token {self.tokens} to {position}"
            )
        self.tokens += 1
        if position != index:
            event = with_token_index(event, position)
        return self._append_event(event, usage)

    def _accept_without_index(
        self, event: bytes, chunk: dict, usage: bool
    ) -> bytes | None:
        has_finish_reason = any(
            c.get("finish_reason") for c in chunk.get("choices") or ()
        )
        if not usage:
            # A resumed stream repeats the role and finish chunks.
            if (has_finish_reason and self._finish_seen) or (
                not has_finish_reason and self.tokens
            ):
                return None
            self._finish_seen |= has_finish_reason
        return self._append_event(event, usage)

    def _append_event(self, event: bytes, usage: bool) -> bytes:
        if usage:
            self.complete = True
            if self.continued:
                event = with_total_usage(event, self.tokens)
        self.events.append(event)
        return event

    def _offset_for(self, index: int) -> int:
        if self._index_offset is None:
            self._index_offset = self.tokens if index == 0 else 0
        return self._index_offset


__all__ = ["RelayedAnswer"]
