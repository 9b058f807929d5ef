"""HTTP client for requests from one fake to another."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from functools import cache
from typing import Any

from treq.client import HTTPClient
from twisted.internet.error import ConnectError, ConnectionClosed
from twisted.web.client import Agent, HTTPConnectionPool, ResponseFailed

REQUEST_TIMEOUT_S = 30.0
MAX_CONNECTIONS_PER_HOST = 8


@dataclass(frozen=True)
class Response:
    """An HTTP response with its complete body."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


@cache
def _client() -> HTTPClient:
    from twisted.internet import reactor

    pool = HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = MAX_CONNECTIONS_PER_HOST
    agent: Any = Agent(reactor, pool)
    return HTTPClient(agent)


async def send(
    method: str,
    url: str,
    body: bytes = b"",
    headers: Mapping[bytes | str, bytes | str] | None = None,
) -> Response:
    """Send one request and read the whole response.

    Raises
    ------
    OSError
        If the server cannot be reached or closes the connection early.
    """
    try:
        response = await _client().request(
            method,
            url,
            data=body,
            headers=dict(headers or {}),
            timeout=REQUEST_TIMEOUT_S,
        )
        data = await response.content()
    except (ConnectError, ConnectionClosed, ResponseFailed) as error:
        raise OSError(f"{type(error).__name__}") from error
    names = response.headers.getAllRawHeaders()
    return Response(
        response.code,
        {name.decode(): values[-1].decode() for name, values in names},
        data,
    )


__all__ = ["MAX_CONNECTIONS_PER_HOST", "Response", "send"]
