"""A whole exchange with a server: request out, complete response in."""

from chivesaddle.core.aio import Clock, start, with_deadline
from chivesaddle.core.errors import DeadlineExceeded
from chivesaddle.http1.client import ResponseHead, ResponseLate, ServerConnection
from chivesaddle.http1.fields import HeaderList
from chivesaddle.http1.pool import ConnectionPool

# A new connection takes a round trip; a lost opening packet comes again after 1 s.
CONNECT_S = 1.0


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
    """Send a request and read its whole response.

    Parameters
    ----------
    address : str
        ``ip:port`` of the server.
    deadline : float
        Seconds on ``clock``.
    max_idle_s : float
        Longest idle time of a kept connection to use; 0 opens a new one.

    Raises
    ------
    NotSent
        If no byte of the request was written.
    ResponseBroken
        If the request was written and a complete response is missing;
        `ResponseLate` if the deadline passed.
    """
    connect_deadline = min(deadline, clock.seconds() + CONNECT_S)
    connection = await pool.acquire(address, connect_deadline, max_idle_s=max_idle_s)

    async def run() -> tuple[ResponseHead, bytes]:
        all_headers = [(b"host", address.encode()), *(headers or [])]
        if body:
            all_headers.append((b"content-type", b"application/json"))
        connection.send(method.encode(), target.encode(), all_headers, body)
        return await _read(connection)

    what = f"{method} {target} at {address}"
    try:
        answer = await with_deadline(clock, deadline, start(run()), what)
    except DeadlineExceeded as error:
        raise ResponseLate(error.message) from error
    finally:
        if not connection.is_reusable:
            connection.abort()
    pool.release(address, connection, None)
    return answer


async def _read(connection: ServerConnection) -> tuple[ResponseHead, bytes]:
    head = await connection.read_head()
    chunks = []
    while (chunk := await connection.read_chunk()) is not None:
        chunks.append(chunk)
    return head, b"".join(chunks)


__all__ = ["exchange"]
