"""Splitting of a text/event-stream at event boundaries."""

import re

# CR ends a line only next to another CR: after CR LF, it is the first byte of a line
# end that was cut.
_BOUNDARY = re.compile(rb"\r?\n\r?\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")
# Empty lines and comments, which belong to no event.
_NO_FIELD = re.compile(rb"(?:(?::[^\r\n]*)?[\r\n])*")


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
        self.remainder = b""
        self.last_id: str | None = None

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun whose end has not arrived."""
        return _NO_FIELD.fullmatch(self.remainder) is None

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that ``chunk`` completes."""
        data = self.remainder + chunk
        end = 0
        # A boundary may start in the last bytes of the remainder.
        for boundary in _BOUNDARY.finditer(data, max(0, len(self.remainder) - 3)):
            end = boundary.end()
        events, self.remainder = data[:end], data[end:]
        ids = _ID.findall(events)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return events


__all__ = ["EventSplitter"]
