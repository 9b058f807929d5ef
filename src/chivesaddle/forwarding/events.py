"""Splitting of a text/event-stream at event boundaries."""

import re

_BOUNDARY = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class EventSplitter:
    r"""Extracts complete events from arbitrary chunks and keeps the last event id.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.remainder
    ('1', b'id: 2\nda')
    """

    def __init__(self) -> None:
        self.remainder = b""
        self.last_id: str | None = None

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
