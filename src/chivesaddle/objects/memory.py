"""In-memory object API with versions, conditional writes, watches and faults."""

import contextlib
import copy
import json
from collections import Counter, deque
from collections.abc import Callable, Collection, Coroutine
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from chivesaddle.core.aio import Clock, Signal, sleep_until, with_deadline
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
    make_revision,
)
from chivesaddle.objects.era import StoreEra

MAX_VALUE_BYTES = 1_000_000
MAX_HISTORY_CHANGES = 4_096


class WriteFault(Enum):
    """Fault of a single write."""

    REFUSED = "refused"
    LOST_BEFORE_EFFECT = "lost_before_effect"
    LOST_AFTER_EFFECT = "lost_after_effect"
    DELAYED = "delayed"


@dataclass
class ObjectFaults:
    """Faults to inject.

    Attributes
    ----------
    outage : bool
        Whether every call is refused.
    delay_s : float
        Seconds that each call takes before it is carried out.
    writes : deque of WriteFault or None
        Faults of the next writes, one per write; None lets a write succeed.
    late_effect_s : float
        Seconds after which a delayed write takes effect; its outcome is unknown to the
        caller.
    """

    outage: bool = False
    delay_s: float = 0.0
    writes: deque[WriteFault | None] = field(default_factory=deque)
    late_effect_s: float = 1.0


@dataclass(frozen=True)
class ObjectCopy:
    """Objects and revision of a store at one moment."""

    objects: dict[tuple[str, str], StoredObject]
    revision: int


class MemoryObjectApi:
    """In-memory implementation of `chivesaddle.core.objects.ObjectApi`.

    Parameters
    ----------
    clock : Clock
        Clock of all deadlines and of injected delays.

    Attributes
    ----------
    faults : ObjectFaults
        Faults to inject; may be changed at any time.
    calls : collections.Counter
        Number of calls by method name; a watch counts once.
    era : int
        How often the store has returned from a copy.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._history: deque[ObjectChange] = deque(maxlen=MAX_HISTORY_CHANGES)
        self._revision = 0
        self.era = 0
        self._changed_signal = Signal()
        self.faults = ObjectFaults()
        self.calls: Counter[str] = Counter()

    @property
    def revision(self) -> int:
        """Version assigned to the last write."""
        return self._revision

    async def get(self, kind: str, name: str, *, deadline: float) -> StoredObject:
        """Read one object."""
        await self._begin_call("get", deadline)
        return self._as_read(self._get_existing(kind, name))

    async def list_objects(
        self, kind: str, *, prefix: str = "", deadline: float
    ) -> ObjectList:
        """Read all objects of a kind whose names start with ``prefix``."""
        await self._begin_call("list", deadline)
        items = {
            name: self._as_read(item)
            for (item_kind, name), item in sorted(self._objects.items())
            if item_kind == kind and name.startswith(prefix)
        }
        return ObjectList(make_revision(self.era, self._revision), items)

    async def create(
        self, kind: str, name: str, value: dict[str, Any], *, deadline: float
    ) -> StoredObject:
        """Create an object that does not exist."""

        def apply() -> StoredObject:
            if (kind, name) in self._objects:
                raise VersionConflict(f"Object {kind}/{name} already exists")
            return self._put_object(kind, name, value)

        return await self._write("create", apply, deadline)

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

        def apply() -> StoredObject:
            self._check_version(kind, name, version)
            return self._put_object(kind, name, value)

        return await self._write("update", apply, deadline)

    async def delete(
        self, kind: str, name: str, *, version: int, deadline: float
    ) -> None:
        """Delete an object that still has ``version``."""

        def apply() -> None:
            self._check_version(kind, name, version)
            del self._objects[kind, name]
            self._revision += 1
            deleted = StoredObject(kind, name, self._revision, {})
            self._append_change(ObjectChange(ChangeType.DELETE, deleted))

        await self._write("delete", apply, deadline)

    async def wait_for_changes(
        self, kind: str, *, after: int, deadline: float
    ) -> ObjectChanges:
        """Wait for changes of a kind after a revision, at most until ``deadline``."""
        await self._begin_call("watch", deadline)
        while True:
            changes = self._changes_after(kind, after)
            at = make_revision(self.era, self._revision)
            if changes or self._clock.seconds() >= deadline:
                return ObjectChanges(at, tuple(changes))
            try:
                await with_deadline(
                    self._clock, deadline, self._changed_signal.wait(), "watch"
                )
            except DeadlineExceeded:
                return ObjectChanges(at, ())
            if self.faults.outage:
                raise PlatformUnavailable("The platform is down")

    async def read_changes(
        self, kind: str, *, after: int, deadline: float
    ) -> ObjectChanges:
        """Read the changes of a kind after a revision without waiting for more."""
        await self._begin_call("watch", deadline)
        changes = self._changes_after(kind, after)
        return ObjectChanges(make_revision(self.era, self._revision), tuple(changes))

    def compact(self) -> None:
        """Delete the history, so that watches after older revisions fail."""
        self._history.clear()

    def take_copy(self) -> ObjectCopy:
        """Return a copy of all objects, for `restore`."""
        return ObjectCopy(dict(self._objects), self._revision)

    def restore(
        self, old_copy: ObjectCopy, without_kinds: Collection[str] = ()
    ) -> None:
        """Go back to a copy, as the platform's store does after a failure.

        Later writes are lost, and their revisions are given out again. Objects of some
        kinds may be missing from the copy.
        """
        self._objects = {
            key: item
            for key, item in old_copy.objects.items()
            if key[0] not in without_kinds
        }
        self._revision = old_copy.revision
        self._history.clear()
        self.era += 1
        self._changed_signal.set()

    def _as_read(self, item: StoredObject) -> StoredObject:
        version = make_revision(self.era, item.version)
        return StoredObject(item.kind, item.name, version, copy.deepcopy(item.value))

    def _changes_after(self, kind: str, after: int) -> list[ObjectChange]:
        oldest = make_revision(self.era, self._revision - len(self._history))
        if after > make_revision(self.era, self._revision):
            raise RevisionCompacted(
                f"Revision {after} is not of this store",
                remedy="List the kind again and watch from its revision",
            )
        if after < oldest:
            raise RevisionCompacted(
                f"Changes after revision {after} were compacted; oldest is {oldest}",
                remedy="List the kind again and watch from its revision",
            )
        return [
            ObjectChange(change.type, self._as_read(change.item))
            for change in self._history
            if make_revision(self.era, change.item.version) > after
            and change.item.kind == kind
        ]

    async def _begin_call(self, method: str, deadline: float) -> None:
        self.calls[method] += 1
        if self.faults.delay_s:
            await with_deadline(
                self._clock,
                deadline,
                sleep_until(self._clock, self._clock.seconds() + self.faults.delay_s),
                f"object API {method}",
            )
        if self.faults.outage:
            raise PlatformUnavailable("The platform is down")

    async def _write(
        self, method: str, apply: Callable[[], Any], deadline: float
    ) -> Any:
        try:
            await self._begin_call(method, deadline)
        except DeadlineExceeded:
            raise WriteOutcomeUnknown(
                f"No response to {method} before the deadline"
            ) from None
        fault = self.faults.writes.popleft() if self.faults.writes else None
        match fault:
            case None:
                return apply()
            case WriteFault.REFUSED:
                raise PlatformUnavailable("The platform refused the write")
            case WriteFault.LOST_AFTER_EFFECT:
                apply()
            case WriteFault.DELAYED:
                self._clock.callLater(
                    self.faults.late_effect_s, _apply_ignoring_conflict, apply
                )
            case WriteFault.LOST_BEFORE_EFFECT:
                pass
        raise WriteOutcomeUnknown(f"The response to {method} was lost")

    def _get_existing(self, kind: str, name: str) -> StoredObject:
        try:
            return self._objects[kind, name]
        except KeyError:
            raise ObjectNotFound(f"Object {kind}/{name} does not exist") from None

    def _check_version(self, kind: str, name: str, version: int) -> None:
        current_version = make_revision(
            self.era, self._get_existing(kind, name).version
        )
        if current_version != version:
            raise VersionConflict(
                f"Object {kind}/{name} has version {current_version}, not {version}",
                remedy="Read the object again and retry with its version",
            )

    def _put_object(self, kind: str, name: str, value: dict[str, Any]) -> StoredObject:
        size = len(json.dumps(value))
        if size > MAX_VALUE_BYTES:
            raise InvalidValue(
                f"Value of {kind}/{name} has {size} bytes, over {MAX_VALUE_BYTES}",
                remedy="Split the value over several objects",
            )
        current = self._objects.get((kind, name))
        if current is not None and current.value == value:
            # As on the platform, a write with an unchanged value keeps the revision.
            return self._as_read(current)
        self._revision += 1
        item = StoredObject(kind, name, self._revision, copy.deepcopy(value))
        self._objects[kind, name] = item
        self._append_change(ObjectChange(ChangeType.PUT, item))
        return self._as_read(item)

    def _append_change(self, change: ObjectChange) -> None:
        self._history.append(change)
        self._changed_signal.set()


class MemoryClient:
    """Calls of one process to a `MemoryObjectApi`.

    Parameters
    ----------
    api : MemoryObjectApi
        The store.
    era : StoreEra
        Receives the era of each response.

    Attributes
    ----------
    is_cut : bool
        Whether the process does not reach the store.
    """

    def __init__(self, api: MemoryObjectApi, era: StoreEra) -> None:
        self._api = api
        self.era = era
        self.is_cut = False

    async def get(self, kind: str, name: str, *, deadline: float) -> StoredObject:
        """Read one object."""
        return await self._call(self._api.get(kind, name, deadline=deadline))

    async def list_objects(
        self, kind: str, *, prefix: str = "", deadline: float
    ) -> ObjectList:
        """Read all objects of a kind whose names start with ``prefix``."""
        return await self._call(
            self._api.list_objects(kind, prefix=prefix, deadline=deadline)
        )

    async def create(
        self, kind: str, name: str, value: dict[str, Any], *, deadline: float
    ) -> StoredObject:
        """Create an object that does not exist."""
        return await self._call(self._api.create(kind, name, value, deadline=deadline))

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
        return await self._call(
            self._api.update(kind, name, value, version=version, deadline=deadline)
        )

    async def delete(
        self, kind: str, name: str, *, version: int, deadline: float
    ) -> None:
        """Delete an object that still has ``version``."""
        await self._call(
            self._api.delete(kind, name, version=version, deadline=deadline)
        )

    async def wait_for_changes(
        self, kind: str, *, after: int, deadline: float
    ) -> ObjectChanges:
        """Wait for changes of a kind after a revision, at most until ``deadline``."""
        return await self._call(
            self._api.wait_for_changes(kind, after=after, deadline=deadline)
        )

    async def read_changes(
        self, kind: str, *, after: int, deadline: float
    ) -> ObjectChanges:
        """Read the changes of a kind after a revision without waiting for more."""
        return await self._call(
            self._api.read_changes(kind, after=after, deadline=deadline)
        )

    async def _call(self, call: Coroutine[Any, Any, Any]) -> Any:
        if self.is_cut:
            call.close()
            raise PlatformUnavailable("The platform refused the connection")
        try:
            result = await call
        except PlatformUnavailable:
            raise
        except ChivesaddleError:
            if not self.is_cut:
                self.era.observe(self._api.era)
            raise
        if self.is_cut:
            raise WriteOutcomeUnknown("The response was lost")
        self.era.observe(self._api.era)
        return result


def _apply_ignoring_conflict(apply: Callable[[], Any]) -> None:
    with contextlib.suppress(VersionConflict, ObjectNotFound):
        apply()


__all__ = [
    "MemoryClient",
    "MemoryObjectApi",
    "ObjectCopy",
    "ObjectFaults",
    "WriteFault",
]
