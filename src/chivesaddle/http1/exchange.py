"""Sends one request to a server and reads the complete response."""

from collections.abc import Callable
from dataclasses import dataclass

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
from chivesaddle.http1.sockets import has_queued_bytes

# Opening a connection takes one round trip; a lost SYN is retransmitted after 1 s.
CONNECT_TIMEOUT_S = 1.0
# Pages of the store's lists and of cached parts have 1 to 2 MB.
MAX_BODY_BYTES = 16_000_000


class BodyLimit:
    """Bound on bodies that are read whole, on each and on all that are being read.

    Parameters
    ----------
    max_bytes : int
        Bytes of one body.
    max_total_bytes : int
        Bytes of all bodies that are being read at a time.
    """

    def __init__(self, max_bytes: int, max_total_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._max_total_bytes = max_total_bytes
        self._total_bytes = 0

    async def read_body(self, connection: ServerConnection) -> bytes:
        """Read the rest of a response; raises `ResponseBroken`."""
        chunks = []
        size = 0
        try:
            while (chunk := await connection.read_chunk()) is not None:
                chunks.append(chunk)
                size += len(chunk)
                self._total_bytes += len(chunk)
                if size > self._max_bytes:
                    raise ResponseBroken(f"Body has over {self._max_bytes} bytes")
                if self._total_bytes > self._max_total_bytes:
                    raise ResponseBroken(
                        f"Bodies have over {self._max_total_bytes} bytes together"
                    )
            return b"".join(chunks)
        finally:
            self._total_bytes -= size


@dataclass(frozen=True, slots=True)
class Reuse:
    """When a connection may be used for more than one call.

    Responses to these calls have no id, and a server may send a second copy of one when
    the next call is waiting. Calls whose responses cannot be told from those to earlier
    calls must use a connection of their own.

    Attributes
    ----------
    max_idle_s : float
        A pooled connection is reused if it was idle for less than this.
    may_be_own : callable
        Returns whether a response on a reused connection may be that to this call,
        given its head and body.
    """

    max_idle_s: float
    may_be_own: Callable[[ResponseHead, bytes], bool]


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
    reuse: Reuse | None = None,
    limit: BodyLimit | None = None,
) -> tuple[ResponseHead, bytes]:
    """Send a request and return the head and body of the complete response.

    The connection is closed if the call fails, times out or is cancelled.

    Parameters
    ----------
    address : str
        ``ip:port`` of the server.
    deadline : float
        Seconds on ``clock``.
    reuse : Reuse or None
        When the connection is shared with other calls to the address; None opens one
        for this call and closes it afterwards.
    limit : BodyLimit or None
        Bound on the body; None for `MAX_BODY_BYTES`.

    Raises
    ------
    NotSent
        If no byte of the request was written.
    ResponseBroken
        If no complete response followed the request; `ResponseLate` if the deadline
        passed.
    """
    connect_deadline = min(deadline, clock.seconds() + CONNECT_TIMEOUT_S)
    if reuse is None:
        connection = await pool.open(address, connect_deadline)
    else:
        connection = await pool.acquire(
            address, connect_deadline, max_idle_s=reuse.max_idle_s
        )
    is_complete = False

    async def send_and_read() -> tuple[ResponseHead, bytes]:
        all_headers = [(b"host", address.encode()), *(headers or [])]
        if body:
            all_headers.append((b"content-type", b"application/json"))
        connection.send(method.encode(), target.encode(), all_headers, body)
        return await _read_response(
            connection, limit or BodyLimit(MAX_BODY_BYTES, MAX_BODY_BYTES)
        )

    operation = f"{method} {target} at {address}"
    try:
        head, content = await with_deadline(
            clock, deadline, start(send_and_read()), operation
        )
        is_reused = connection.requests_sent > 1
        if reuse and is_reused and not reuse.may_be_own(head, content):
            raise ResponseBroken(f"{operation}: response to an earlier request")
        is_complete = True
    except DeadlineExceeded as error:
        raise ResponseLate(error.message) from error
    finally:
        if reuse is None or not (is_complete and connection.is_reusable):
            connection.abort()
    if reuse is not None:
        pool.release(address, connection, None)
    return head, content


async def _read_response(
    connection: ServerConnection, limit: BodyLimit
) -> tuple[ResponseHead, bytes]:
    head = await connection.read_head()
    if has_queued_bytes(connection.transport):
        raise ResponseBroken("Response arrived before the request was written")
    return head, await limit.read_body(connection)


__all__ = ["BodyLimit", "Reuse", "exchange"]
