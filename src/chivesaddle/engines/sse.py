"""Splitting of server-sent events without decoding them."""

from chivesaddle.engines.errors import EngineProtocolError

MAX_EVENT_BYTES = 1 << 20


class EventSplitter:
    r"""Cuts a byte stream into whole events, each ending in an empty line.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"data: 1\n\ndata:")
    [b'data: 1\n\n']
    >>> splitter.feed(b" 2\r\n\r\n")
    [b'data: 2\n\n']
    """

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the events that became complete.

        Raises
        ------
        EngineProtocolError
            If an event exceeds 1 MiB, which bounds the memory of one stream.
        """
        data = self._rest + data
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        *events, self._rest = data.split(b"\n\n")
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EngineProtocolError(
                f"An event exceeds {MAX_EVENT_BYTES} bytes",
                remedy="Check the engine's output",
            )
        return [event + b"\n\n" for event in events]


__all__ = ["EventSplitter"]
