"""How far one attempt's response has come."""

from dataclasses import dataclass

from chivesaddle.http1 import Framing


@dataclass(slots=True, eq=False)
class ResponseProgress:
    """State of the response to one send of a request.

    Each attempt has its own, since several attempts of a request run side by side while
    a server is silent. Times are in seconds of the daemon's clock.

    Attributes
    ----------
    framing : Framing or None
        What marks the end of the response, None before its head.
    unfinished_bytes : int
        Bytes of an event at its end that had no end.
    began_at : float or None
        When the first event arrived, None before it.
    last_event_at : float or None
        When the latest event arrived, None before the first one.
    waiting_since : float or None
        Since when the next event is waited for; None while the caller has to read.
    has_event : bool
        Whether an event has been forwarded.
    """

    framing: Framing | None = None
    unfinished_bytes: int = 0
    began_at: float | None = None
    last_event_at: float | None = None
    waiting_since: float | None = None
    has_event: bool = False


__all__ = ["ResponseProgress"]
