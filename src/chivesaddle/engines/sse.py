"""Splitting of a byte stream into server-sent events, without decoding them."""

from chivesaddle.engines.errors import EngineProtocolError

MAX_EVENT_BYTES = 1 << 20


class EventSplitter:
    r"""Splits a byte stream into complete events, each ending in an empty line.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"data: 1\n\ndata:")
    [b'data: 1\n\n']
    >>> splitter.feed(b" 2\r\n\r\n")
    [b'data: 2\n\n']
    """

    def __init__(self) -> None:
        self._incomplete = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the events that they complete.

        Raises
        ------
        EngineProtocolError
            If an event exceeds 1 MiB; this limits the memory of a stream.
        """
        data = self._incomplete + data
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        *events, self._incomplete = data.split(b"\n\n")
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise EngineProtocolError(
                f"Engine event exceeds {MAX_EVENT_BYTES} bytes",
                remedy="Check the engine's output",
            )
        return [event + b"\n\n" for event in events]


__all__ = ["EventSplitter"]
