"""Splitting of a text/event-stream at event boundaries."""

import re

# CR ends a line only next to another CR: after CR LF, it is the first byte of a line
# end that was cut.
_BOUNDARY = re.compile(rb"\r?\n\r?\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")
_LINE_END_BYTES = b"\r\n"
# Empty lines and comments, which belong to no event.
_NO_FIELD = re.compile(rb"(?:(?::[^\r\n]*)?[\r\n])*")


def has_event(data: bytes | bytearray) -> bool:
    r"""Return whether complete or begun events are among empty lines and comments.

    Examples
    --------
    >>> has_event(b": wait\n\n"), has_event(b": wait\n\ndata: a\n\n")
    (False, True)
    """
    return _NO_FIELD.fullmatch(data) is None


class EventSplitter:
    r"""Extracts complete events from arbitrary chunks and keeps the last event id.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.remainder
    ('1', b'id: 2\nda')
    >>> splitter.is_inside_event
    True
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        # The last events of which one has an id; few streams are asked for it.
        self._events_with_id = b""

    @property
    def last_id(self) -> str | None:
        """Id of the last event that has one, which begins at its last id field."""
        events = self._events_with_id
        start = max(events.rfind(b"\nid:"), events.rfind(b"\rid:"), 0)
        last = _ID.match(events, start)
        return None if last is None else last[1].decode("latin-1")

    @property
    def remainder(self) -> bytes:
        """What has arrived after the last complete event."""
        return bytes(self._buffer)

    @property
    def remaining_bytes(self) -> int:
        """Length of the remainder."""
        return len(self._buffer)

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun whose end has not arrived."""
        return has_event(self._buffer)

    def drop_remainder(self) -> None:
        """Forget the remainder, before the response of another server."""
        self._buffer.clear()

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that ``chunk`` completes."""
        # Servers mostly write whole events. Two LF after another byte are a boundary,
        # which no earlier one can overlap.
        if (
            not self._buffer
            and chunk[-2:] == b"\n\n"
            and len(chunk) > 2
            and chunk[-3] not in _LINE_END_BYTES
        ):
            self._record_events(chunk)
            return chunk
        # A boundary may start in the last bytes of the remainder.
        search_from = max(0, len(self._buffer) - 3)
        self._buffer += chunk
        end = 0
        for boundary in _BOUNDARY.finditer(self._buffer, search_from):
            end = boundary.end()
        if not end:
            return b""
        events = bytes(self._buffer[:end])
        del self._buffer[:end]
        self._record_events(events)
        return events

    def _record_events(self, events: bytes) -> None:
        if events.startswith(b"id:") or b"\nid:" in events or b"\rid:" in events:
            self._events_with_id = events


__all__ = ["EventSplitter", "has_event"]
