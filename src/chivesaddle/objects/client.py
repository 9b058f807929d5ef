"""HTTP client of the platform's object API."""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import treq
from treq.client import HTTPClient
from twisted.internet import error as net_error
from twisted.internet.defer import CancelledError
from twisted.web.client import Agent, HTTPConnectionPool, RequestNotSent

from chivesaddle.core.aio import Clock, start, with_deadline
from chivesaddle.core.errors import ChivesaddleError, DeadlineExceeded, InvalidValue
from chivesaddle.core.http import IpEndpoints, cancelled_at_once
from chivesaddle.core.objects import (
    ChangeType,
    ObjectChange,
    ObjectChanges,
    ObjectList,
    ObjectNotFound,
    PlatformUnavailable,
    RevisionCompacted,
    StoredObject,
    VersionConflict,
    WriteOutcomeUnknown,
)

MAX_VALUE_BYTES = 1_000_000
# The platform answers in milliseconds; a pooled connection that stays silent for this
# long is abandoned and the read is repeated on a new one.
POOLED_READ_S = 0.25
CONNECT_TIMEOUT_S = 1.0
# Part of a watch's deadline that is kept for its answer to arrive.
WATCH_ANSWER_S = 0.5
MAX_WATCH_S = 30.0

# Raised before the first byte of a request was written.
_NOT_SENT = (
    RequestNotSent,
    net_error.ConnectError,
    net_error.ConnectingCancelledError,
    net_error.DNSLookupError,
)


class HttpObjectApi:
    """Implementation of `chivesaddle.core.objects.ObjectApi` over HTTP.

    Open connections can go silent permanently. Writes and watches therefore always use
    a new connection, and a read on a pooled connection is repeated on a new one.

    Reads raise `PlatformUnavailable` or `DeadlineExceeded`. Writes raise
    `PlatformUnavailable` only if they certainly had no effect, otherwise
    `WriteOutcomeUnknown`; they never raise `DeadlineExceeded`.

    Parameters
    ----------
    url : str
        Base URL of the object API; its host is an IP address.
    clock : Clock
        Clock of all deadlines.
    fresh : HTTPClient
        Opens a connection per request.
    pooled : HTTPClient
        Reuses connections.
    """

    def __init__(
        self, url: str, clock: Clock, fresh: HTTPClient, pooled: HTTPClient
    ) -> None:
        self._url = url.rstrip("/")
        self._clock = clock
        self._fresh = fresh
        self._pooled = pooled

    @classmethod
    def from_config(cls, url: str, clock: Any) -> "HttpObjectApi":
        """Build a client; ``clock`` is the reactor."""

        def client(persistent: bool) -> HTTPClient:
            pool = HTTPConnectionPool(clock, persistent=persistent)
            pool.retryAutomatically = False
            endpoints = IpEndpoints(clock)
            return HTTPClient(Agent.usingEndpointFactory(clock, endpoints, pool=pool))

        return cls(url, clock, client(False), client(True))

    async def get(self, kind: str, name: str, *, deadline: float) -> StoredObject:
        """Read one object."""
        data = await self._read(_path(kind, name), {}, deadline)
        return _parsed(lambda: _stored(kind, data))

    async def list_objects(
        self, kind: str, *, prefix: str = "", deadline: float
    ) -> ObjectList:
        """Read all objects of a kind whose names start with ``prefix``."""
        data = await self._read(_path(kind), {"prefix": prefix}, deadline)
        return _parsed(
            lambda: ObjectList(
                int(data["revision"]),
                {item["name"]: _stored(kind, item) for item in data["items"]},
            )
        )

    async def create(
        self, kind: str, name: str, value: dict[str, Any], *, deadline: float
    ) -> StoredObject:
        """Create an object that does not exist."""
        headers: dict[str | bytes, str | bytes] = {"If-None-Match": "*"}
        data = await self._write("PUT", kind, name, headers, value, deadline)
        return _written(lambda: _stored(kind, data))

    async def update(
        self,
        kind: str,
        name: str,
        value: dict[str, Any],
        *,
        version: int,
        deadline: float,
    ) -> StoredObject:
        """Replace an object that still has ``version``."""
        headers: dict[str | bytes, str | bytes] = {"If-Match": f'"{version}"'}
        data = await self._write("PUT", kind, name, headers, value, deadline)
        return _written(lambda: _stored(kind, data))

    async def delete(
        self, kind: str, name: str, *, version: int, deadline: float
    ) -> None:
        """Delete an object that still has ``version``."""
        headers: dict[str | bytes, str | bytes] = {"If-Match": f'"{version}"'}
        await self._write("DELETE", kind, name, headers, None, deadline)

    async def wait_for_changes(
        self, kind: str, *, after: int, deadline: float
    ) -> ObjectChanges:
        """Wait for changes of a kind after a revision.

        Raises `DeadlineExceeded` if even the empty answer is missing, for example on a
        silent connection.
        """
        wait_s = deadline - self._clock.seconds() - WATCH_ANSWER_S
        wait_ms = int(min(max(wait_s, 0.0), MAX_WATCH_S) * 1_000)
        limit = min(
            deadline, self._clock.seconds() + wait_ms / 1_000 + 2 * WATCH_ANSWER_S
        )
        params = {"after": str(after), "wait_ms": str(wait_ms)}
        data = await self._read_once(self._fresh, _path(kind), params, limit)
        return _parsed(
            lambda: ObjectChanges(
                int(data["revision"]),
                tuple(_change(kind, change) for change in data["changes"]),
            )
        )

    async def _read(self, path: str, params: dict[str, str], deadline: float) -> Any:
        first = min(deadline, self._clock.seconds() + POOLED_READ_S)
        try:
            return await self._read_once(self._pooled, path, params, first)
        except (DeadlineExceeded, _ConnectionBroken):
            if self._clock.seconds() >= deadline:
                raise
        return await self._read_once(self._fresh, path, params, deadline)

    async def _read_once(
        self, client: HTTPClient, path: str, params: dict[str, str], deadline: float
    ) -> Any:
        async def exchange() -> Any:
            response = await cancelled_at_once(
                client.request(
                    "GET", self._url + path, params=params, allow_redirects=False
                )
            )
            if response.code != 200:
                raise _rejection(response, path, PlatformUnavailable)
            return _decoded(await treq.content(response))

        what = f"object API GET {path}"
        try:
            return await with_deadline(self._clock, deadline, start(exchange()), what)
        except ChivesaddleError:
            raise
        except CancelledError:
            raise
        except Exception as failure:
            if self._clock.seconds() >= deadline:
                raise DeadlineExceeded(f"{what} missed its deadline") from failure
            raise _ConnectionBroken(f"{what} failed: {failure!r}") from failure

    async def _write(
        self,
        method: str,
        kind: str,
        name: str,
        headers: dict[str | bytes, str | bytes],
        value: dict[str, Any] | None,
        deadline: float,
    ) -> Any:
        path = _path(kind, name)
        body = b"" if value is None else json.dumps(value).encode()
        if len(body) > MAX_VALUE_BYTES:
            raise InvalidValue(
                f"Value of {kind}/{name} has {len(body)} bytes, over {MAX_VALUE_BYTES}",
                remedy="Split the value over several objects",
            )
        if self._clock.seconds() >= deadline:
            raise PlatformUnavailable(f"{method} {path} was not sent: deadline passed")

        async def exchange() -> Any:
            response = await self._fresh.request(
                method,
                self._url + path,
                headers=headers | {"Content-Type": "application/json"},
                data=body,
                allow_redirects=False,
            )
            if not 200 <= response.code < 300:
                raise _rejection(response, path, WriteOutcomeUnknown)
            content = await treq.content(response)
            return None if value is None else _decoded(content)

        what = f"object API {method} {path}"
        try:
            return await with_deadline(self._clock, deadline, start(exchange()), what)
        except (DeadlineExceeded, _ConnectionBroken) as failure:
            if isinstance(failure.__cause__, _NOT_SENT):
                raise PlatformUnavailable(f"{what} was not sent") from failure
            raise WriteOutcomeUnknown(f"No answer to {what}: {failure}") from failure
        except (ChivesaddleError, CancelledError):
            raise
        except _NOT_SENT as failure:
            raise PlatformUnavailable(f"{what} was not sent: {failure!r}") from failure
        except Exception as failure:
            raise WriteOutcomeUnknown(f"No answer to {what}: {failure!r}") from failure


class _ConnectionBroken(PlatformUnavailable):
    """The exchange ended without a complete answer."""


def _path(kind: str, name: str | None = None) -> str:
    path = f"/objects/{quote(kind, safe='')}"
    return path if name is None else f"{path}/{quote(name, safe='')}"


def _decoded(content: bytes) -> Any:
    try:
        return json.loads(content)
    except ValueError:
        raise _ConnectionBroken(f"Answer is not JSON: {content[:80]!r}") from None


def _stored(kind: str, data: Any) -> StoredObject:
    return StoredObject(kind, data["name"], int(data["version"]), data["value"])


def _change(kind: str, data: Any) -> ObjectChange:
    value = data.get("value") or {}
    item = StoredObject(kind, data["name"], int(data["version"]), value)
    return ObjectChange(ChangeType(data["type"]), item)


def _parsed(parse: Callable[[], Any]) -> Any:
    try:
        return parse()
    except (KeyError, TypeError, ValueError) as failure:
        raise PlatformUnavailable(f"Answer has a wrong shape: {failure!r}") from failure


def _written(parse: Callable[[], Any]) -> Any:
    try:
        return parse()
    except (KeyError, TypeError, ValueError) as failure:
        raise WriteOutcomeUnknown(f"Answer has a wrong shape: {failure!r}") from failure


def _rejection(
    response: Any, path: str, otherwise: type[ChivesaddleError]
) -> ChivesaddleError:
    """Return the error for a status; ``otherwise`` if the effect is not certain."""
    message = f"The platform answered {response.code} for {path}"
    match response.code:
        case 404:
            return ObjectNotFound(f"Object {path} does not exist")
        case 410:
            return RevisionCompacted(
                message, remedy="List the kind again and watch from its revision"
            )
        case 412:
            return VersionConflict(message, remedy="Read it again and decide anew")
        case 413:
            return InvalidValue(message, remedy="Split the value over several objects")
        case 429 | 503:
            return PlatformUnavailable(message, retry_after_s=_retry_after_s(response))
        # 408 may be sent by an intermediary after it forwarded the request.
        case code if 400 <= code < 500 and code != 408:
            return PlatformUnavailable(message)
    return otherwise(message)


def _retry_after_s(response: Any) -> float | None:
    values = response.headers.getRawHeaders("Retry-After", [])
    try:
        return float(values[0])
    except (IndexError, ValueError):
        return None


__all__ = ["HttpObjectApi"]
