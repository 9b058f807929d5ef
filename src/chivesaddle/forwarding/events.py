"""Events of a text/event-stream, cut at event boundaries."""

import re

_BOUNDARY = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class EventCutter:
    r"""Returns complete events from arbitrary chunks, and remembers the last id.

    Examples
    --------
    >>> cutter = EventCutter()
    >>> cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> cutter.last_id, cutter.rest
    ('1', b'id: 2\nda')
    """

    def __init__(self) -> None:
        self.rest = b""
        self.last_id: str | None = None

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that ``chunk`` completes."""
        data = self.rest + chunk
        end = 0
        # A boundary may have begun in the last bytes of the rest.
        for found in _BOUNDARY.finditer(data, max(0, len(self.rest) - 3)):
            end = found.end()
        events, self.rest = data[:end], data[end:]
        ids = _ID.findall(events)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return events


__all__ = ["EventCutter"]
