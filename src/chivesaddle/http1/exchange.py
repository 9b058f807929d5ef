"""Sends one request to a server and reads the complete response."""

from chivesaddle.core.aio import Clock, start, with_deadline
from chivesaddle.core.errors import DeadlineExceeded
from chivesaddle.http1.client import (
    ResponseBroken,
    ResponseHead,
    ResponseLate,
    ServerConnection,
)
from chivesaddle.http1.fields import HeaderList
from chivesaddle.http1.pool import ConnectionPool

# Opening a connection takes one round trip; a lost SYN is retransmitted after 1 s.
CONNECT_TIMEOUT_S = 1.0
# Pages of the store's lists and of cached parts have 1 to 2 MB.
MAX_BODY_BYTES = 16_000_000


async def exchange(
    pool: ConnectionPool,
    clock: Clock,
    address: str,
    method: str,
    target: str,
    *,
    deadline: float,
    headers: HeaderList | None = None,
    body: bytes = b"",
    max_idle_s: float = 0.0,
) -> tuple[ResponseHead, bytes]:
    """Send a request and return the head and body of the complete response.

    Parameters
    ----------
    address : str
        ``ip:port`` of the server.
    deadline : float
        Seconds on ``clock``.
    max_idle_s : float
        A pooled connection is reused if it was idle for less than this; with 0 a new
        one is opened.

    Raises
    ------
    NotSent
        If no byte of the request was written.
    ResponseBroken
        If no complete response followed the request; `ResponseLate` if the deadline
        passed.
    """
    connect_deadline = min(deadline, clock.seconds() + CONNECT_TIMEOUT_S)
    connection = await pool.acquire(address, connect_deadline, max_idle_s=max_idle_s)

    async def send_and_read() -> tuple[ResponseHead, bytes]:
        all_headers = [(b"host", address.encode()), *(headers or [])]
        if body:
            all_headers.append((b"content-type", b"application/json"))
        connection.send(method.encode(), target.encode(), all_headers, body)
        return await _read_response(connection)

    operation = f"{method} {target} at {address}"
    try:
        response = await with_deadline(
            clock, deadline, start(send_and_read()), operation
        )
    except DeadlineExceeded as error:
        raise ResponseLate(error.message) from error
    finally:
        if not connection.is_reusable:
            connection.abort()
    pool.release(address, connection, None)
    return response


async def _read_response(connection: ServerConnection) -> tuple[ResponseHead, bytes]:
    head = await connection.read_head()
    chunks = []
    size = 0
    while (chunk := await connection.read_chunk()) is not None:
        chunks.append(chunk)
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            raise ResponseBroken(f"Body has over {MAX_BODY_BYTES} bytes")
    return head, b"".join(chunks)


__all__ = ["exchange"]
