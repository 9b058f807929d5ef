"""Calls from one fake to another."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from functools import cache
from typing import Any

from treq.client import HTTPClient
from twisted.internet.error import ConnectError, ConnectionClosed
from twisted.web.client import Agent, HTTPConnectionPool, ResponseFailed

TIMEOUT_S = 30.0
MAX_CONNECTIONS = 8


@dataclass(frozen=True)
class Response:
    """A complete answer."""

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
    pool.maxPersistentPerHost = MAX_CONNECTIONS
    agent: Any = Agent(reactor, pool)
    return HTTPClient(agent)


async def send(
    method: str,
    url: str,
    body: bytes = b"",
    headers: Mapping[bytes | str, bytes | str] | None = None,
) -> Response:
    """Send one request and read the whole answer.

    Raises
    ------
    OSError
        If the other side cannot be reached or closes the connection early.
    """
    try:
        response = await _client().request(
            method, url, data=body, headers=dict(headers or {}), timeout=TIMEOUT_S
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


__all__ = ["MAX_CONNECTIONS", "Response", "send"]
