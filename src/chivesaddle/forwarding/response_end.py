"""Whether a response that ended without an error is complete.

The end of a response body says little about a stream: a server that fails may close its
connection, or send its last chunk, in the middle of an event.
"""

from enum import Enum

from chivesaddle.forwarding.events import EventSplitter
from chivesaddle.http1 import Framing


class StreamEnd(Enum):
    """How an event stream ended."""

    COMPLETE = "complete"
    INSIDE_EVENT = "inside an event"
    WITHOUT_EVENT = "without any event"


def stream_end(framing: Framing, events: EventSplitter, has_event: bool) -> StreamEnd:
    """Return how a stream ended whose body ended as its framing says.

    Parameters
    ----------
    framing : Framing
        What marked the end of the body.
    events : EventSplitter
        Splitter that got the whole body.
    has_event : bool
        Whether the body had a complete event.
    """
    if events.is_inside_event:
        return StreamEnd.INSIDE_EVENT
    if framing is Framing.CONNECTION and not has_event:
        # A server that fails before its first event closes the connection as well.
        return StreamEnd.WITHOUT_EVENT
    return StreamEnd.COMPLETE


__all__ = ["StreamEnd", "stream_end"]
