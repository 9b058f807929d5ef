"""Client of the platform's store; implements `chivesaddle.core.objects.ObjectApi`."""

from typing import Any
from urllib.parse import quote, urlencode

import msgspec

from chivesaddle.core.aio import Clock
from chivesaddle.core.errors import ChivesaddleError, DeadlineExceeded, InvalidValue
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
from chivesaddle.http1 import (
    ConnectionPool,
    Connector,
    NotSent,
    ResponseBroken,
    ResponseHead,
    ResponseLate,
    exchange,
)

# Part of a watch's deadline that is kept for its answer to arrive.
WATCH_ANSWER_S = 1.0
MAX_WATCH_S = 30.0
MAX_VALUE_BYTES = 1_000_000
# A kept connection may have gone silent. The store answers in 4 ms, and in 0.3 s while
# it is slow.
POOLED_IDLE_S = 2.0
POOLED_READ_S = 0.5


class _Metadata(msgspec.Struct):
    name: str
    revision: int = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    # The object's value as its owner wrote it.
    specification: Any = None


class _Page(msgspec.Struct):
    items: list[_Object]
    # Revision of the store when the page was read.
    at: int
    more: bool = False


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Events(msgspec.Struct):
    events: list[_Event]
    at: int


class StoreClient:
    """Objects of the platform's store over HTTP.

    Reads raise `PlatformUnavailable` or `DeadlineExceeded`. Writes raise
    `PlatformUnavailable` only if they certainly had no effect, otherwise
    `WriteOutcomeUnknown`; they never raise `DeadlineExceeded`.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.
    pool : ConnectionPool
        Connections; those to the store carry nothing else.
    clock : Clock
        Clock of all deadlines.
    max_value_bytes : int
        Largest value that the store accepts.
    """

    def __init__(
        self, address: str, pool: ConnectionPool, clock: Clock, max_value_bytes: int
    ) -> None:
        self._address = address
        self._pool = pool
        self._clock = clock
        self._max_value_bytes = max_value_bytes
        self.calls = 0

    @classmethod
    def from_config(
        cls, url: str, reactor: Any, max_value_bytes: int = MAX_VALUE_BYTES
    ) -> "StoreClient":
        """Build a client of the store at ``http://ip:port``."""
        address = url.removeprefix("http://").rstrip("/")
        pool = ConnectionPool(Connector(reactor), reactor)
        return cls(address, pool, reactor, max_value_bytes)

    async def get(self, kind: str, name: str, *, deadline: float) -> StoredObject:
        """Read one object."""
        content = await self._read(_path(kind, name), deadline)
        return _stored(kind, _decoded(content, _Object))

    async def list_objects(
        self, kind: str, *, prefix: str = "", deadline: float
    ) -> ObjectList:
        """Read all objects of a kind whose names start with ``prefix``, page by page.

        The revision is the first page's, so that a watch from it misses no change
        made between two pages.
        """
        items: dict[str, StoredObject] = {}
        revision: int | None = None
        after = ""
        while True:
            query = f"?{urlencode({'after': after})}" if after else ""
            content = await self._read(_path(kind) + query, deadline)
            page = _decoded(content, _Page)
            revision = page.at if revision is None else revision
            for found in page.items:
                if found.metadata.name.startswith(prefix):
                    items[found.metadata.name] = _stored(kind, found)
            if not page.more or not page.items:
                return ObjectList(revision, items)
            after = page.items[-1].metadata.name

    async def create(
        self, kind: str, name: str, value: Any, *, deadline: float
    ) -> StoredObject:
        """Create an object that does not exist."""
        body = self._body({"metadata": {"name": name}, "specification": value})
        content = await self._write("POST", _path(kind), body, deadline)
        return _written(kind, content)

    async def update(
        self, kind: str, name: str, value: Any, *, version: int, deadline: float
    ) -> StoredObject:
        """Replace an object that still has ``version``."""
        metadata = {"name": name, "revision": version}
        body = self._body({"metadata": metadata, "specification": value})
        content = await self._write("PUT", _path(kind, name), body, deadline)
        return _written(kind, content)

    async def delete(
        self, kind: str, name: str, *, version: int, deadline: float
    ) -> None:
        """Delete an object that still has ``version``."""
        path = f"{_path(kind, name)}?{urlencode({'revision': version})}"
        await self._write("DELETE", path, b"", deadline)

    async def wait_for_changes(
        self, kind: str, *, after: int, deadline: float
    ) -> ObjectChanges:
        """Wait for changes of a kind after a revision, at most until ``deadline``."""
        wait_s = deadline - self._clock.seconds() - WATCH_ANSWER_S
        wait_ms = int(min(max(wait_s, 0.0), MAX_WATCH_S) * 1_000)
        query = urlencode({"watch": after, "wait_ms": wait_ms})
        limit = min(deadline, self._clock.seconds() + wait_ms / 1_000 + WATCH_ANSWER_S)
        target = f"{_path(kind)}?{query}"
        content = await self._call("GET", target, b"", limit, POOLED_IDLE_S)
        found = _decoded(content, _Events)
        return ObjectChanges(
            found.at, tuple(_change(kind, event) for event in found.events)
        )

    def _body(self, data: Any) -> bytes:
        body = msgspec.json.encode(data)
        if len(body) > self._max_value_bytes:
            raise InvalidValue(
                f"Value has {len(body)} bytes, over {self._max_value_bytes}",
                remedy="Split the value over several objects",
            )
        return body

    async def _read(self, target: str, deadline: float) -> bytes:
        """Read over a kept connection, and over a new one if that stays silent."""
        first = min(deadline, self._clock.seconds() + POOLED_READ_S)
        try:
            return await self._call("GET", target, b"", first, POOLED_IDLE_S)
        except (_AnswerMissing, DeadlineExceeded):
            if self._clock.seconds() >= deadline:
                raise
        return await self._call("GET", target, b"", deadline, 0.0)

    async def _write(
        self, method: str, target: str, body: bytes, deadline: float
    ) -> bytes:
        # A write may take effect without an answer, so it never risks a connection
        # that has been idle.
        try:
            return await self._call(method, target, body, deadline, 0.0)
        except (_AnswerMissing, DeadlineExceeded) as error:
            raise WriteOutcomeUnknown(
                f"No answer to {method} {target}: {error.message}"
            ) from error

    async def _call(
        self, method: str, target: str, body: bytes, deadline: float, max_idle_s: float
    ) -> bytes:
        what = f"{method} {target}"
        if self._clock.seconds() >= deadline:
            raise PlatformUnavailable(f"{what} was not sent: its deadline has passed")
        self.calls += 1
        try:
            head, content = await exchange(
                self._pool,
                self._clock,
                self._address,
                method,
                target,
                deadline=deadline,
                body=body,
                max_idle_s=max_idle_s,
            )
        except NotSent as error:
            raise PlatformUnavailable(
                f"{what} was not sent: {error.message}"
            ) from error
        except ResponseLate as error:
            raise DeadlineExceeded(error.message) from error
        except ResponseBroken as error:
            raise _AnswerMissing(f"{what}: {error.message}") from error
        if 200 <= head.status < 300:
            return content
        raise _rejection(head, what)


class _AnswerMissing(PlatformUnavailable):
    """A call was sent and its answer is missing; a write may take effect."""


def _path(kind: str, name: str | None = None) -> str:
    path = f"/objects/{quote(kind, safe='')}"
    return path if name is None else f"{path}/{quote(name, safe='')}"


def _decoded(content: bytes, shape: Any) -> Any:
    try:
        return msgspec.json.decode(content, type=shape)
    except msgspec.MsgspecError as error:
        raise PlatformUnavailable(f"The store's answer is malformed: {error}") from None


def _written(kind: str, content: bytes) -> StoredObject:
    try:
        return _stored(kind, msgspec.json.decode(content, type=_Object))
    except msgspec.MsgspecError as error:
        raise WriteOutcomeUnknown(f"Answer to a write is malformed: {error}") from None


def _stored(kind: str, found: _Object) -> StoredObject:
    metadata = found.metadata
    return StoredObject(kind, metadata.name, metadata.revision, found.specification)


def _change(kind: str, event: _Event) -> ObjectChange:
    change = ChangeType.DELETE if event.deleted else ChangeType.PUT
    return ObjectChange(change, _stored(kind, event.object))


def _rejection(head: ResponseHead, what: str) -> ChivesaddleError:
    message = f"The store answered {head.status} to {what}"
    match head.status:
        case 404:
            return ObjectNotFound(message)
        case 409:
            return VersionConflict(message, remedy="Read it again and decide anew")
        case 410:
            return RevisionCompacted(message, remedy="List the kind and watch again")
        case 413:
            return InvalidValue(message, remedy="Split the value over several objects")
        case 408 | 500 | 502 | 504:
            return _AnswerMissing(message)
    return PlatformUnavailable(message, retry_after_s=_retry_after_s(head))


def _retry_after_s(head: ResponseHead) -> float | None:
    try:
        return float(head.get(b"retry-after") or "")
    except ValueError:
        return None


__all__ = ["StoreClient"]
