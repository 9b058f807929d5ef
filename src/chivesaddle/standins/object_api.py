"""Fake object API over HTTP: rate limits, faults and delayed reads of instances."""

import json
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from twisted.web.server import Request

from chivesaddle.core.aio import Clock, Signal, with_deadline
from chivesaddle.core.errors import DeadlineExceeded, InvalidValue
from chivesaddle.core.objects import (
    ChangeType,
    ObjectChange,
    ObjectChanges,
    ObjectList,
    ObjectNotFound,
    PlatformUnavailable,
    StoredObject,
    VersionConflict,
    WriteOutcomeUnknown,
    make_revision,
    store_revision,
)
from chivesaddle.objects.memory import (
    MemoryObjectApi,
    ObjectCopy,
    ObjectFaults,
    WriteFault,
)
from chivesaddle.standins.errors import NoResponse, Rejected
from chivesaddle.standins.faults import ObjectApiFaults
from chivesaddle.standins.http_server import (
    FakeServer,
    HttpResponse,
    query_integer,
    query_parameter,
    read_body,
    read_json,
)
from chivesaddle.standins.rate_limiting import TokenBucket

INSTANCES = "instances"
CALL_TIMEOUT_S = 60.0
MAX_WAIT_MS = 60_000
MAX_VISIBLE_CHANGES = 4_096
MAX_OBJECTS_PER_PAGE = 500
# Begin of values that stand for other text in responses.
_RAW_VALUE = "raw value "
_RAW_OBJECT = "raw object "


class LaggingObjectApi(MemoryObjectApi):
    """Object API whose kind ``instances`` is read from a delayed copy.

    Attributes
    ----------
    lag_s : float
        Seconds until a write of an instance is visible to readers.
    """

    def __init__(self, clock: Clock, lag_s: float) -> None:
        super().__init__(clock)
        self.lag_s = lag_s
        self._visible_objects: dict[str, StoredObject] = {}
        self._visible_changes: deque[ObjectChange] = deque(maxlen=MAX_VISIBLE_CHANGES)
        self._visible_revision = 0
        self._visible_changed = Signal()

    async def get(self, kind: str, name: str, *, deadline: float) -> StoredObject:
        """Read one object."""
        if kind != INSTANCES:
            return await super().get(kind, name, deadline=deadline)
        await self._begin_call("get", deadline)
        try:
            return self._visible_objects[name]
        except KeyError:
            raise ObjectNotFound(f"Object {kind}/{name} does not exist") from None

    async def list_objects(
        self, kind: str, *, prefix: str = "", deadline: float
    ) -> ObjectList:
        """Read all objects of a kind whose names start with ``prefix``."""
        if kind != INSTANCES:
            return await super().list_objects(kind, prefix=prefix, deadline=deadline)
        await self._begin_call("list", deadline)
        items = {
            n: self._visible_objects[n]
            for n in sorted(self._visible_objects)
            if n.startswith(prefix)
        }
        return ObjectList(self._visible_revision, items)

    async def wait_for_changes(
        self, kind: str, *, after: int, deadline: float
    ) -> ObjectChanges:
        """Wait for changes of a kind after a revision, at most until ``deadline``."""
        if kind != INSTANCES:
            return await super().wait_for_changes(kind, after=after, deadline=deadline)
        await self._begin_call("watch", deadline)
        while True:
            if self.faults.outage:
                raise PlatformUnavailable("The platform is down")
            found = tuple(c for c in self._visible_changes if c.item.version > after)
            if found or self._clock.seconds() >= deadline:
                return ObjectChanges(max(after, self._visible_revision), found)
            try:
                await with_deadline(
                    self._clock, deadline, self._visible_changed.wait(), "watch"
                )
            except DeadlineExceeded:
                return ObjectChanges(max(after, self._visible_revision), ())

    def _append_change(self, change: ObjectChange) -> None:
        super()._append_change(change)
        if change.item.kind != INSTANCES:
            return
        if self.lag_s:
            self._clock.callLater(self.lag_s, self._make_visible, change)
        else:
            self._make_visible(change)

    def _make_visible(self, change: ObjectChange) -> None:
        # If ``lag_s`` was shortened meanwhile, a newer change may be visible already,
        # and an older one must not replace it.
        if change.item.version <= self._visible_revision:
            return
        if change.type is ChangeType.PUT:
            self._visible_objects[change.item.name] = change.item
        else:
            self._visible_objects.pop(change.item.name, None)
        self._visible_revision = change.item.version
        self._visible_changes.append(change)
        self._visible_changed.set()


class FakeObjectApi(FakeServer):
    """HTTP server of the object API.

    Parameters
    ----------
    reads_per_s, writes_per_s : float
        Calls above these rates get status 429; a watch counts as one read.
    instances_lag_s : float
        Seconds until a write of an instance is visible to readers.
    """

    fault_type = ObjectApiFaults
    faults: ObjectApiFaults

    def __init__(
        self,
        clock: Clock,
        *,
        reads_per_s: float = 2_000,
        writes_per_s: float = 300,
        instances_lag_s: float = 1.0,
    ) -> None:
        super().__init__(clock)
        self.api = LaggingObjectApi(clock, instances_lag_s)
        self._instances_lag_s = instances_lag_s
        self._read_bucket = TokenBucket(clock, reads_per_s)
        self._write_bucket = TokenBucket(clock, writes_per_s)
        self.add_route("/objects/<kind>", "GET", self._list_or_watch)
        self.add_route("/objects/<kind>", "POST", self._create)
        self.add_route("/objects/<kind>/<path:name>", "GET", self._get)
        self.add_route("/objects/<kind>/<path:name>", "PUT", self._replace)
        self.add_route("/objects/<kind>/<path:name>", "DELETE", self._delete)
        self._copy: ObjectCopy | None = None
        # Text that responses contain in place of a stored value, or of a whole object.
        self._raw_by_value: dict[str, bytes] = {}
        self._add_control_route("/control/compact", "POST", self._compact)
        self._add_control_route("/control/copy", "POST", self._take_copy)
        self._add_control_route("/control/restore", "POST", self._restore)
        self._add_control_route("/control/raw/<kind>/<name>", "PUT", self._put_raw)

    def apply_faults(self) -> None:
        """Pass the fault switches to the in-memory object API."""
        faults = self.faults
        self.api.faults = ObjectFaults(
            outage=faults.outage,
            delay_s=faults.delay_s,
            writes=deque(None if w is None else WriteFault(w) for w in faults.writes),
            late_effect_s=faults.late_effect_s,
        )
        lag_s = faults.instances_lag_s
        self.api.lag_s = self._instances_lag_s if lag_s is None else lag_s

    def extra_counters(self) -> dict[str, int]:
        """Return the in-memory object API's calls by method and its revision."""
        return {
            **self.api.calls,
            "revision": self.api.revision,
            "era": self.api.era,
        }

    async def _list_or_watch(self, request: Request, kind: str) -> HttpResponse:
        self._check_rate_limit(self._read_bucket)
        if query_parameter(request, "watch"):
            return await self._watch(request, kind)
        with _translate_errors():
            found = await self.api.list_objects(kind, deadline=self._deadline())
        after = query_parameter(request, "after")
        items = [item for item in found.items_by_name.values() if item.name > after]
        page = [_object_json(item) for item in items[:MAX_OBJECTS_PER_PAGE]]
        return self._response(
            {
                "items": page,
                "more": len(items) > MAX_OBJECTS_PER_PAGE,
                "at": store_revision(found.revision),
            }
        )

    async def _watch(self, request: Request, kind: str) -> HttpResponse:
        wait_ms = min(MAX_WAIT_MS, query_integer(request, "wait_ms", 0))
        with _translate_errors():
            found = await self.api.wait_for_changes(
                kind,
                after=self._revision_in_era(query_integer(request, "watch", 0)),
                deadline=self.clock.seconds() + self.faults.delay_s + wait_ms / 1_000,
            )
        events = [
            {"object": _object_json(c.item), "deleted": c.type is ChangeType.DELETE}
            for c in found.changes
        ]
        return self._response({"events": events, "at": store_revision(found.revision)})

    async def _get(self, request: Request, kind: str, name: str) -> HttpResponse:
        self._check_rate_limit(self._read_bucket)
        with _translate_errors():
            item = await self.api.get(kind, name, deadline=self._deadline())
        return self._response(_object_json(item))

    async def _create(self, request: Request, kind: str) -> HttpResponse:
        self._check_rate_limit(self._write_bucket)
        name, value, _ = _parse_object(request)
        with _translate_errors():
            item = await self.api.create(kind, name, value, deadline=self._deadline())
        return self._response(_object_json(item), 201)

    async def _replace(self, request: Request, kind: str, name: str) -> HttpResponse:
        self._check_rate_limit(self._write_bucket)
        _, value, revision = _parse_object(request)
        with _translate_errors():
            item = await self.api.update(
                kind,
                name,
                value,
                version=await self._expected_revision(kind, name, revision),
                deadline=self._deadline(),
            )
        return self._response(_object_json(item))

    async def _delete(self, request: Request, kind: str, name: str) -> HttpResponse:
        self._check_rate_limit(self._write_bucket)
        revision = query_integer(request, "revision", 0)
        with _translate_errors():
            await self.api.delete(
                kind,
                name,
                version=await self._expected_revision(kind, name, revision),
                deadline=self._deadline(),
            )
        return self._response({})

    async def _expected_revision(
        self, kind: str, name: str, revision: int | None
    ) -> int:
        """Return the revision that a write expects; by default the current one."""
        if revision:
            return self._revision_in_era(revision)
        return (await self.api.get(kind, name, deadline=self._deadline())).version

    def _revision_in_era(self, revision: int) -> int:
        return make_revision(self.api.era, revision)

    def _response(self, body: Any, status: int = 200) -> HttpResponse:
        headers = {"Store-Era": str(self.api.era), "Content-Type": "application/json"}
        text = json.dumps(body).encode()
        for value, raw in self._raw_by_value.items():
            text = text.replace(json.dumps(value).encode(), raw)
        return HttpResponse(text, status, headers)

    async def _put_raw(self, request: Request, kind: str, name: str) -> HttpResponse:
        """Store an object whose value is the request's body, which need not be JSON.

        With ``whole=1`` in the query, the body stands for the whole object.
        """
        is_whole = query_parameter(request, "whole") == "1"
        prefix = _RAW_OBJECT if is_whole else _RAW_VALUE
        raw_value: Any = f"{prefix}{len(self._raw_by_value)}"
        self._raw_by_value[raw_value] = read_body(request)
        try:
            item = await self.api.get(kind, name, deadline=self._deadline())
        except ObjectNotFound:
            await self.api.create(kind, name, raw_value, deadline=self._deadline())
        else:
            await self.api.update(
                kind, name, raw_value, version=item.version, deadline=self._deadline()
            )
        return HttpResponse({})

    async def _take_copy(self, request: Request) -> HttpResponse:
        """Keep a copy of all objects for `_restore`."""
        self._copy = self.api.take_copy()
        return HttpResponse({})

    async def _restore(self, request: Request) -> HttpResponse:
        """Lose all writes since the copy, and the kinds in the query."""
        if self._copy is None:
            raise Rejected(409, "no_copy", "No copy was taken")
        kinds = [k for k in query_parameter(request, "without").split(",") if k]
        self.api.restore(self._copy, kinds)
        return HttpResponse({})

    async def _compact(self, request: Request) -> HttpResponse:
        self.api.compact()
        return HttpResponse({})

    def _deadline(self) -> float:
        return self.clock.seconds() + CALL_TIMEOUT_S

    def _check_rate_limit(self, bucket: TokenBucket) -> None:
        if not bucket.take():
            self.counters["rate_limited"] += 1
            raise Rejected(
                429,
                "rate_limited",
                "Rate limit of platform calls exceeded",
                retry_after_s=1,
            )


@contextmanager
def _translate_errors() -> Iterator[None]:
    """Translate errors of the in-memory object API for the HTTP response."""
    try:
        yield
    except WriteOutcomeUnknown:
        raise NoResponse from None
    except VersionConflict as error:
        raise Rejected(409, error.code, error.message) from None
    except InvalidValue as error:
        raise Rejected(413, "value_too_large", error.message) from None


def _parse_object(request: Request) -> tuple[str, Any, int | None]:
    """Return the name, value and expected revision in a request body."""
    body = read_json(request)
    metadata = body.get("metadata")
    if not isinstance(metadata, dict) or not isinstance(metadata.get("name"), str):
        raise InvalidValue(
            "metadata.name is missing",
            remedy='Send {"metadata": {"name": NAME}, "specification": VALUE}',
        )
    return metadata["name"], body.get("specification"), metadata.get("revision")


def _object_json(item: StoredObject) -> Any:
    if isinstance(item.value, str) and item.value.startswith(_RAW_OBJECT):
        return item.value
    metadata = {
        "name": item.name,
        "revision": store_revision(item.version),
        "created_rev": store_revision(item.version),
        "finalizers": [],
        "deleting": False,
    }
    return {"metadata": metadata, "specification": item.value, "status": None}


__all__ = ["FakeObjectApi", "LaggingObjectApi"]
