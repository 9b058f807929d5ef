"""Client of the platform's store; implements `chivesaddle.core.objects.ObjectApi`."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import msgspec

from chivesaddle.core.aio import Clock, run_in_turns
from chivesaddle.core.errors import ChivesaddleError, DeadlineExceeded, InvalidValue
from chivesaddle.core.logs import ComponentLogger
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
    era_of,
    make_revision,
    store_revision,
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
from chivesaddle.objects.era import StoreEra
from chivesaddle.platform.pages import (
    TURN_WORK,
    Event,
    Object,
    Steps,
    UnreadableObserver,
    decode_events,
    decode_object,
    decode_page,
)

log = ComponentLogger("store")

# Rises by one each time that the store returns from a copy that is some seconds old.
_ERA_HEADER = b"store-era"
# Time reserved at the end of a watch's deadline for the response to arrive.
WATCH_RESPONSE_RESERVE_S = 1.0
# The shortest wait of a watch that certainly does not stand for none given.
READ_CHANGES_WAIT_MS = 1
MAX_WATCH_S = 30.0
MAX_VALUE_BYTES = 1_000_000
# A read that gets no response within this is repeated on another connection: a lost SYN
# is retransmitted after 1 s only. The store responds in 4 ms normally, and in 0.3 s
# while it is slow.
FIRST_READ_TIMEOUT_S = 0.5
# Unreadable objects of which it is kept that they were logged.
MAX_REPORTED_OBJECTS = 1_000
MAX_CAUSE_CHARACTERS = 200

T = TypeVar("T")


class StoreClient:
    """HTTP client for the objects of the platform's store.

    Reads raise `PlatformUnavailable` or `DeadlineExceeded`. Writes raise
    `PlatformUnavailable` only if they certainly had no effect, and
    `WriteOutcomeUnknown` if they may have had one; they never raise `DeadlineExceeded`.

    Parameters
    ----------
    address : str
        ``ip:port`` of the store.
    pool : ConnectionPool
        Connection pool that is used only for the store.
    clock : Clock
        Clock on which deadlines are expressed.
    max_value_bytes : int
        Size limit of one object in the store.
    era : StoreEra or None
        Receives the eras that the store names; a new one by default.
    """

    def __init__(
        self,
        address: str,
        pool: ConnectionPool,
        clock: Clock,
        max_value_bytes: int,
        era: StoreEra | None = None,
    ) -> None:
        self._address = address
        self._pool = pool
        self._clock = clock
        self._max_value_bytes = max_value_bytes
        self.era = era or StoreEra(clock)
        self.calls = 0
        self._reported: set[tuple[str, str | None, int]] = set()

    @classmethod
    def from_config(
        cls, url: str, reactor: Any, max_value_bytes: int = MAX_VALUE_BYTES
    ) -> "StoreClient":
        """Create a client for the store at ``http://ip:port``."""
        address = url.removeprefix("http://").rstrip("/")
        pool = ConnectionPool(Connector(reactor), reactor)
        return cls(address, pool, reactor, max_value_bytes)

    async def get(self, kind: str, name: str, *, deadline: float) -> StoredObject:
        """Read one object."""
        reply = await self._read(_object_path(kind, name), deadline)
        decoded = await self._decode(decode_object, kind, reply)
        return _to_stored_object(kind, decoded, reply.era)

    async def list_objects(
        self, kind: str, *, prefix: str = "", deadline: float
    ) -> ObjectList:
        """Read all objects of a kind whose names start with ``prefix``, page by page.

        The result has the revision of the first page, so that a watch from it misses no
        change made between two pages.
        """
        items: dict[str, StoredObject] = {}
        revision: int | None = None
        after = ""
        while True:
            query = f"?{urlencode({'after': after})}" if after else ""
            reply = await self._read(_object_path(kind) + query, deadline)
            page = await self._decode(decode_page, kind, reply)
            if revision is None:
                revision = make_revision(reply.era, page.at)
            elif era_of(revision) != reply.era:
                raise PlatformUnavailable(
                    f"The store returned from a copy while {kind} was listed"
                )
            for item in page.items:
                if item.metadata.name.startswith(prefix):
                    items[item.metadata.name] = _to_stored_object(kind, item, reply.era)
            if not page.more:
                return ObjectList(revision, items)
            # An object whose name is unreadable is left out, and comes again on the
            # next page if it was the last of this one.
            last = page.items[-1].metadata.name if page.items else after
            if last == after:
                raise PlatformUnavailable(f"No object of a page of {kind} has a name")
            after = last

    async def create(
        self, kind: str, name: str, value: Any, *, deadline: float
    ) -> StoredObject:
        """Create an object; raises `VersionConflict` if it exists."""
        body = self._encode_body({"metadata": {"name": name}, "specification": value})
        reply = await self._write("POST", _object_path(kind), body, deadline)
        return _decode_written(kind, reply)

    async def update(
        self, kind: str, name: str, value: Any, *, version: int, deadline: float
    ) -> StoredObject:
        """Replace an object if it still has ``version``."""
        self._check_era(version, f"{kind}/{name}")
        metadata = {"name": name, "revision": store_revision(version)}
        body = self._encode_body({"metadata": metadata, "specification": value})
        reply = await self._write("PUT", _object_path(kind, name), body, deadline)
        _check_written_in_era(version, reply)
        return _decode_written(kind, reply)

    async def delete(
        self, kind: str, name: str, *, version: int, deadline: float
    ) -> None:
        """Delete an object if it still has ``version``."""
        self._check_era(version, f"{kind}/{name}")
        query = urlencode({"revision": store_revision(version)})
        path = f"{_object_path(kind, name)}?{query}"
        reply = await self._write("DELETE", path, b"", deadline)
        _check_written_in_era(version, reply)

    async def wait_for_changes(
        self, kind: str, *, after: int, deadline: float
    ) -> ObjectChanges:
        """Wait for changes of a kind after a revision, at most until ``deadline``."""
        wait_s = deadline - self._clock.seconds() - WATCH_RESPONSE_RESERVE_S
        wait_ms = int(min(max(wait_s, 0.0), MAX_WATCH_S) * 1_000)
        call_deadline = min(
            deadline, self._clock.seconds() + wait_ms / 1_000 + WATCH_RESPONSE_RESERVE_S
        )
        return await self._watch(kind, after, wait_ms, call_deadline)

    async def read_changes(
        self, kind: str, *, after: int, deadline: float
    ) -> ObjectChanges:
        """Read the changes of a kind after a revision without waiting for more."""
        return await self._watch(kind, after, READ_CHANGES_WAIT_MS, deadline)

    async def _watch(
        self, kind: str, after: int, wait_ms: int, call_deadline: float
    ) -> ObjectChanges:
        self._check_watchable(after)
        query = urlencode({"watch": store_revision(after), "wait_ms": wait_ms})
        target = f"{_object_path(kind)}?{query}"
        reply = await self._call("GET", target, b"", call_deadline)
        self._check_watchable(after)
        decoded = await self._decode(decode_events, kind, reply)
        # Another response may have named a new era meanwhile.
        self._check_watchable(after)
        return ObjectChanges(
            make_revision(reply.era, decoded.at),
            tuple(_to_change(kind, event, reply.era) for event in decoded.events),
        )

    def _observe_era(self, head: ResponseHead) -> int:
        """Return the era that a response names, 0 if it names none."""
        text = head.get(_ERA_HEADER)
        if text is None:
            return 0
        if not text.isascii() or not text.isdigit():
            log.warning("malformed era of the store", extra={"era": text[:40]})
            return self.era.current
        era = int(text)
        self.era.observe(era)
        return era

    def _check_era(self, version: int, name: str) -> None:
        """Refuse a condition whose revision the store may have given out again."""
        if era_of(version) < self.era.current:
            raise VersionConflict(
                f"Version of {name} is of era {era_of(version)}, before the store "
                f"returned from a copy in era {self.era.current}",
                remedy="Read the object again and retry with its version",
            )

    def _check_watchable(self, after: int) -> None:
        if era_of(after) < self.era.current:
            raise RevisionCompacted(
                f"The store returned from a copy in era {self.era.current}",
                remedy="List the kind again and watch from its revision",
            )

    async def _decode(
        self,
        decode: Callable[[bytes, UnreadableObserver], Steps[T]],
        kind: str,
        reply: "_Reply",
    ) -> T:
        def report(name: str | None, revision: int, cause: str) -> None:
            self._report_unreadable(kind, name, revision, cause)

        try:
            steps = decode(reply.content, report)
            return await run_in_turns(self._clock, steps, TURN_WORK)
        except (ValueError, RecursionError) as error:
            raise PlatformUnavailable(
                f"The store's response is malformed: {error}"
            ) from None

    def _report_unreadable(
        self, kind: str, name: str | None, revision: int, cause: str
    ) -> None:
        """Log an unreadable object once."""
        key = (kind, name, revision)
        if key in self._reported:
            return
        if len(self._reported) >= MAX_REPORTED_OBJECTS:
            self._reported.clear()
        self._reported.add(key)
        log.warning(
            "unreadable object",
            extra={"kind": kind, "object": name, "cause": cause[:MAX_CAUSE_CHARACTERS]},
        )

    def _encode_body(self, data: Any) -> bytes:
        body = msgspec.json.encode(data)
        if len(body) > self._max_value_bytes:
            raise InvalidValue(
                f"Value has {len(body)} bytes, over {self._max_value_bytes}",
                remedy="Split the value over several objects",
            )
        return body

    async def _read(self, target: str, deadline: float) -> "_Reply":
        """Read; if there is no response soon, read once more."""
        first_deadline = min(deadline, self._clock.seconds() + FIRST_READ_TIMEOUT_S)
        try:
            return await self._call("GET", target, b"", first_deadline)
        except (_ResponseMissing, DeadlineExceeded):
            if self._clock.seconds() >= deadline:
                raise
        return await self._call("GET", target, b"", deadline)

    async def _write(
        self, method: str, target: str, body: bytes, deadline: float
    ) -> "_Reply":
        try:
            return await self._call(method, target, body, deadline)
        except (_ResponseMissing, DeadlineExceeded) as error:
            raise WriteOutcomeUnknown(
                f"No response to {method} {target}: {error.message}"
            ) from error

    async def _call(
        self, method: str, target: str, body: bytes, deadline: float
    ) -> "_Reply":
        """Call the store on a connection of its own.

        The store's responses have no id, so one to an earlier call cannot be told from
        that to this call. A write on a reused connection, which may be dead, could also
        be lost without a statement whether it took effect.
        """
        operation = f"{method} {target}"
        if self._clock.seconds() >= deadline:
            raise PlatformUnavailable(
                f"{operation} was not sent: its deadline has passed"
            )
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
            )
        except NotSent as error:
            raise PlatformUnavailable(
                f"{operation} was not sent: {error.message}"
            ) from error
        except ResponseLate as error:
            raise DeadlineExceeded(error.message) from error
        except ResponseBroken as error:
            raise _ResponseMissing(f"{operation}: {error.message}") from error
        era = self._observe_era(head)
        if 200 <= head.status < 300:
            return _Reply(content, era)
        raise _error_for_status(head, operation)


@dataclass(frozen=True, slots=True)
class _Reply:
    """Body of a successful response, and the era of the store that sent it."""

    content: bytes
    era: int


class _ResponseMissing(PlatformUnavailable):
    """A call was sent but got no response; if it is a write, it may take effect."""


def _object_path(kind: str, name: str | None = None) -> str:
    path = f"/objects/{quote(kind, safe='')}"
    return path if name is None else f"{path}/{quote(name, safe='')}"


def _check_written_in_era(version: int, reply: _Reply) -> None:
    """Refuse the result of a conditional write that a store of a later era did.

    Its revision may have been given out again, to another state of the object.
    """
    if reply.era != era_of(version):
        raise WriteOutcomeUnknown(
            f"The store returned from a copy, in era {reply.era}, before the write"
        )


def _decode_written(kind: str, reply: _Reply) -> StoredObject:
    try:
        decoded = msgspec.json.decode(reply.content, type=Object)
        return _to_stored_object(kind, decoded, reply.era)
    except (ValueError, RecursionError) as error:
        raise WriteOutcomeUnknown(
            f"Response to a write is malformed: {error}"
        ) from None


def _to_stored_object(kind: str, decoded: Object, era: int) -> StoredObject:
    metadata = decoded.metadata
    revision = make_revision(era, metadata.revision)
    return StoredObject(kind, metadata.name, revision, decoded.specification)


def _to_change(kind: str, event: Event, era: int) -> ObjectChange:
    change = ChangeType.DELETE if event.deleted else ChangeType.PUT
    return ObjectChange(change, _to_stored_object(kind, event.object, era))


def _error_for_status(head: ResponseHead, operation: str) -> ChivesaddleError:
    message = f"The store responded with status {head.status} to {operation}"
    match head.status:
        case 404:
            return ObjectNotFound(message)
        case 409:
            return VersionConflict(
                message, remedy="Read the object again and retry with its version"
            )
        case 410:
            return RevisionCompacted(
                message, remedy="List the kind again and watch from its revision"
            )
        case 413:
            return InvalidValue(message, remedy="Split the value over several objects")
        case 408 | 500 | 502 | 504:
            return _ResponseMissing(message)
    return PlatformUnavailable(message, retry_after_s=_retry_after_s(head))


def _retry_after_s(head: ResponseHead) -> float | None:
    try:
        return float(head.get(b"retry-after") or "")
    except ValueError:
        return None


__all__ = ["StoreClient"]
