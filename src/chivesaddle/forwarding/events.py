"""Splitting of a text/event-stream at event boundaries."""

import re
from collections.abc import Iterator
from enum import Enum

# CR ends a line only next to another CR: after CR LF, it is the first byte of a line
# end that was cut.
_BOUNDARY = re.compile(rb"\r?\n\r?\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")
_LINE_END_BYTES = b"\r\n"
# A status line, and headers that most responses have.
_STATUS_LINE = re.compile(rb"(?:^|[\r\n])HTTP/1\.[01] [1-5][0-9]{2}")
_RESPONSE_HEADER = re.compile(
    rb"[\r\n](?:content-(?:length|type)|transfer-encoding|connection):", re.IGNORECASE
)
# Empty lines and comments, which belong to no event.
_NO_FIELD = re.compile(rb"(?:(?::[^\r\n]*)?[\r\n])*")


def split_events(events: bytes) -> Iterator[bytes]:
    r"""Split complete events; each one keeps its boundary.

    Examples
    --------
    >>> list(split_events(b"id: 1\n\ndata: a\n\n"))
    [b'id: 1\n\n', b'data: a\n\n']
    """
    start = 0
    for boundary in _BOUNDARY.finditer(events):
        yield events[start : boundary.end()]
        start = boundary.end()


def first_id(events: bytes) -> str | None:
    r"""Return the id of the first event, None if it has none.

    Examples
    --------
    >>> first_id(b": wait\n\nid: 3\ndata: a\n\nid: 4\n\n")
    '3'
    >>> first_id(b"data: a\n\nid: 4\n\n") is None
    True
    """
    for event in split_events(events):
        if has_event(event):
            found = _ID.search(event)
            return None if found is None else found[1].decode("latin-1")
    return None


def _follows(event_id: str | None, last_id: str) -> bool:
    """Return whether an event may follow another one of its stream.

    Ids increase; those that are not numbers cannot be compared, but must differ.
    """
    if event_id is not None and event_id.isdecimal() and last_id.isdecimal():
        return _number(event_id) > _number(last_id)
    return event_id not in (None, last_id)


def _number(digits: str) -> tuple[int, str]:
    """Return a key by which decimal numbers are ordered, of any length."""
    digits = digits.lstrip("0")
    return len(digits), digits


def _has_response_head(event: bytes) -> bool:
    """Return whether the head of a response is in an event, maybe behind its begin."""
    return b"HTTP/1." in event and bool(
        _STATUS_LINE.search(event) or _RESPONSE_HEADER.search(event)
    )


def has_event(data: bytes | bytearray) -> bool:
    r"""Return whether complete or begun events are among empty lines and comments.

    Examples
    --------
    >>> has_event(b": wait\n\n"), has_event(b": wait\n\ndata: a\n\n")
    (False, True)
    """
    return _NO_FIELD.fullmatch(data) is None


class StreamFault(Enum):
    """Why what follows the last events does not belong to the stream."""

    RESPONSE_HEAD = "The head of another response is in the stream"
    OUT_OF_ORDER = "An event id went back or an event came twice"
    NOT_RESUMED = "The stream was not resumed after its last event"


class EventSplitter:
    r"""Extracts complete events from arbitrary chunks and keeps the last event id.

    Parameters
    ----------
    checks_order : bool
        Whether an event whose numeric id is smaller than the one before, or that equals
        the event before, is a fault. Ids may skip numbers, and events that differ may
        have one id.
    resumes_after : str or None
        Id that the first event must follow; None if it may have any.

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

    def __init__(
        self, *, checks_order: bool = False, resumes_after: str | None = None
    ) -> None:
        self._began_after = resumes_after
        self._checks_order = checks_order
        self._last_event = b""
        self._last_number: tuple[int, str] | None = None
        self.fault: StreamFault | None = None
        self._buffer = bytearray()
        # Id after which the next event must follow, None if it may be any.
        self._resumed_after = resumes_after
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
        self.fault = None
        self._resumed_after = self.last_id or self._began_after

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that ``chunk`` completes.

        Of what does not belong to the stream nothing is returned, and ``fault`` is set:
        a server that fails may write an error response into its stream, and the next
        one may not resume it.
        """
        # Servers mostly write whole events. Two LF after another byte are a boundary,
        # which no earlier one can overlap.
        if (
            not self._buffer
            and chunk[-2:] == b"\n\n"
            and len(chunk) > 2
            and chunk[-3] not in _LINE_END_BYTES
        ):
            return self._complete(chunk)
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
        return self._complete(events)

    def _complete(self, events: bytes) -> bytes:
        """Return the events of the stream; keep them if they have an id."""
        if b"HTTP/1." in events:
            events = self._cut_at_response_head(events)
        if self._resumed_after is not None and has_event(events):
            if not _follows(first_id(events), self._resumed_after):
                self.fault = StreamFault.NOT_RESUMED
                return b""
            self._resumed_after = None
        if events.startswith(b"id:") or b"\nid:" in events or b"\rid:" in events:
            if self._checks_order:
                events = self._cut_at_disorder(events)
            if self.fault is not StreamFault.OUT_OF_ORDER or _ID.search(events):
                self._events_with_id = events
        return events

    def _cut_at_disorder(self, events: bytes) -> bytes:
        size = 0
        for event in split_events(events):
            ids = _ID.findall(event)
            event_id = ids[-1].decode("latin-1") if ids else ""
            if event_id.isdecimal():
                number = _number(event_id)
                if self._last_number is not None and (
                    number < self._last_number
                    or (number == self._last_number and event == self._last_event)
                ):
                    self.fault = StreamFault.OUT_OF_ORDER
                    return events[:size]
                self._last_number, self._last_event = number, event
            size += len(event)
        return events

    def _cut_at_response_head(self, events: bytes) -> bytes:
        size = 0
        for event in split_events(events):
            if _has_response_head(event):
                self.fault = StreamFault.RESPONSE_HEAD
                return events[:size]
            size += len(event)
        return events


__all__ = ["EventSplitter", "StreamFault", "first_id", "has_event", "split_events"]
