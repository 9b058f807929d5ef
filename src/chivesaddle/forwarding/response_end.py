"""Whether a response that ended without an error is complete.

The end of a response body says little about a stream: a server that fails may close its
connection, or send its last chunk, in the middle of an event. A body without length and
chunks ends with its connection, which the kernel closes properly if the server's
process dies, so its end must be shown by its content or by the server being alive.
"""

from enum import Enum

import msgspec

from chivesaddle.forwarding.events import EventSplitter
from chivesaddle.forwarding.messages import ServerResponse
from chivesaddle.http1 import Framing, header_value

# Statuses of responses that have no body.
BODILESS_STATUSES = frozenset({204, 304})
# Data of the last event of a stream, by the convention of language-model engines.
_END_MARKERS = (b"data: [DONE]", b"data:[DONE]")


class ResponseEnd(Enum):
    """How a response ended."""

    COMPLETE = "complete"
    # Complete only if the server did not die.
    BY_CONNECTION = "with its connection, and its server may have died"
    INSIDE_EVENT = "inside an event"
    INSIDE_VALUE = "inside a JSON value"
    WITHOUT_EVENT = "without any event"


def has_body(method: bytes, status: int) -> bool:
    """Return whether the response to a request has a body, whose end is marked."""
    return method != b"HEAD" and status not in BODILESS_STATUSES


def stream_end(
    framing: Framing, events: EventSplitter, last_events: bytes, *, may_be_empty: bool
) -> ResponseEnd:
    """Return how a stream ended whose body ended as its framing says.

    Parameters
    ----------
    framing : Framing
        What marked the end of the body.
    events : EventSplitter
        Splitter that got the whole body.
    last_events : bytes
        The last complete events of the body; empty if there was none.
    may_be_empty : bool
        Whether the caller has events of the stream already, and may have the last one,
        or the response can have no body.
    """
    if events.is_inside_event:
        return ResponseEnd.INSIDE_EVENT
    if not last_events and not may_be_empty:
        # A server that fails before its first event may end the response properly.
        return ResponseEnd.WITHOUT_EVENT
    if framing is not Framing.CONNECTION:
        return ResponseEnd.COMPLETE
    if last_events.rstrip(b"\r\n").endswith(_END_MARKERS):
        return ResponseEnd.COMPLETE
    return ResponseEnd.BY_CONNECTION


def body_end(response: ServerResponse, body: bytes | None) -> ResponseEnd:
    """Return how a body that is not a stream ended.

    Parameters
    ----------
    response : ServerResponse
        Head of the response.
    body : bytes or None
        The whole body; None if it was too large to be kept.
    """
    if response.framing is not Framing.CONNECTION:
        return ResponseEnd.COMPLETE
    if body is None or not _is_json(response):
        return ResponseEnd.BY_CONNECTION
    try:
        value = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return ResponseEnd.INSIDE_VALUE
    if isinstance(value, dict | list | str):
        return ResponseEnd.COMPLETE
    # The first digits of a number are a number too.
    return ResponseEnd.BY_CONNECTION


def _is_json(response: ServerResponse) -> bool:
    media_type = response.media_type or ""
    is_json = media_type == "application/json" or media_type.endswith("+json")
    encoding = header_value(response.passed_headers, b"content-encoding")
    return is_json and encoding is None


__all__ = ["ResponseEnd", "body_end", "has_body", "stream_end"]
