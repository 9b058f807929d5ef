"""Reads the begin of a response before it replaces that of a silent server."""

from collections import deque

from chivesaddle.forwarding.events import EventSplitter, has_event
from chivesaddle.forwarding.exchange import NoUsableResponse
from chivesaddle.forwarding.messages import ServerResponse
from chivesaddle.forwarding.relay import (
    MAX_BUFFERED_BYTES,
    MAX_EVENT_BYTES,
    IsServerAlive,
    ReadChunk,
    Relay,
)
from chivesaddle.forwarding.response_end import body_end


async def read_ahead(
    relay: Relay,
    response: ServerResponse,
    read_chunk: ReadChunk,
    is_server_alive: IsServerAlive,
) -> ReadChunk:
    """Read until the response is known to go on with what the caller has.

    A stream is read up to its first event, which must begin within `MAX_EVENT_BYTES`,
    another response up to its end or `MAX_BUFFERED_BYTES`.

    Parameters
    ----------
    relay : Relay
        The caller's side.
    response : ServerResponse
        Head of the response.
    read_chunk : callable
        Reads the body.
    is_server_alive : callable
        Returns whether the process that sends the response is known to live on.

    Returns
    -------
    callable
        Reads the whole body, with what has been read.

    Raises
    ------
    NoUsableResponse
        If the response breaks off, or does not go on with what the caller has.
    """
    relay.check_head(response)
    if response.status >= 500:
        raise NoUsableResponse(f"Server responded with status {response.status}")
    chunks: deque[bytes | None] = deque()
    is_stream = relay.expects_events(response)
    splitter = EventSplitter(checks_order=True, resumes_after=relay.resumes_after)
    size = 0
    while True:
        chunk = await read_chunk()
        if chunk is None:
            end = (
                relay.stream_end(response, splitter, b"")
                if is_stream
                else body_end(response, b"".join(filter(None, chunks)))
            )
            await relay.check_end(end, response, is_server_alive)
            chunks.append(None)
            break
        chunks.append(chunk)
        size += len(chunk)
        if not is_stream:
            if size > MAX_BUFFERED_BYTES:
                break
            continue
        if size > MAX_EVENT_BYTES:
            raise NoUsableResponse(f"No event in the first {MAX_EVENT_BYTES} bytes")
        events = splitter.feed(chunk)
        if splitter.fault is not None:
            raise NoUsableResponse(splitter.fault.value)
        if has_event(events):
            break

    async def read_again() -> bytes | None:
        return chunks.popleft() if chunks else await read_chunk()

    return read_again


__all__ = ["read_ahead"]
