"""Decodes the store's responses, in which single objects may be unreadable.

Any program may write to the store. An object that cannot be decoded does not keep the
others of the same response from being read: its value is `UNREADABLE_VALUE`, which no
reader of a kind takes for a document.

A response of a megabyte may hold half a million items that are no objects, and takes
seconds to read. So responses are read by generators, which yield the work done since
the last step, for `chivesaddle.core.aio.run_in_turns`. The unit of work is a byte whose
nesting is found.
"""

from collections.abc import Callable, Generator
from typing import Annotated, Any, TypeVar

import msgspec

from chivesaddle.core.json_text import (
    nests_at_most,
    object_members,
    read_members,
    split_array,
)
from chivesaddle.core.objects import MAX_NESTING, REVISIONS_PER_ERA, UNREADABLE_VALUE

# Longer names are those of no daemon, server or zone, and do not fit into the request
# for the next page.
MAX_NAME_CHARACTERS = 1_024
# Work of one turn of the event loop: at 0.08 us each, some 20 ms.
TURN_WORK = 250_000
# An unreadable object takes 30 to 50 us besides its bytes, so this is on the safe side.
ITEM_WORK = 1_000
# A member of an object takes 1 us.
MEMBER_WORK = 15
MEMBERS_PER_STEP = 5_000

_Revision = Annotated[int, msgspec.Meta(ge=0, lt=REVISIONS_PER_ERA)]
_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]

# Called with the name of an unreadable object, None if that is unreadable as well, its
# revision and the cause.
UnreadableObserver = Callable[[str | None, int, str], None]


class Metadata(msgspec.Struct):
    """What the store itself knows of an object."""

    name: _Name
    revision: _Revision


class Object(msgspec.Struct):
    """An object; ``specification`` is its value, as stored by its writer."""

    metadata: Metadata
    specification: Any = None


class Page(msgspec.Struct):
    """A part of a listing; ``at`` is the revision of the store at which it was read."""

    items: list[Object]
    at: _Revision
    more: bool = False


class Event(msgspec.Struct):
    """A change of an object."""

    object: Object
    deleted: bool = False


class Events(msgspec.Struct):
    """Response to a watch."""

    events: list[Event]
    at: _Revision


class _RawPage(msgspec.Struct):
    items: list[msgspec.Raw]
    at: _Revision
    more: bool = False


class _RawEvents(msgspec.Struct):
    events: list[msgspec.Raw]
    at: _Revision


T = TypeVar("T")

Steps = Generator[int, None, T]


def decode_page(content: bytes, report: UnreadableObserver) -> Steps[Page]:
    """Decode a part of a listing; raises `ValueError` if it is none.

    Objects whose names cannot be read are left out.
    """
    try:
        return _decode(content, Page)
    except (ValueError, RecursionError):
        pass
    yield len(content)
    raw = yield from _split(content, "items", _RawPage)
    items = []
    for text in map(bytes, raw.items):
        item = yield from _decode_item(text, raw.at, report)
        if item is not None:
            items.append(item)
    return Page(items, raw.at, raw.more)


def decode_events(content: bytes, report: UnreadableObserver) -> Steps[Events]:
    """Decode the response to a watch; raises `ValueError` if it is none."""
    try:
        return _decode(content, Events)
    except (ValueError, RecursionError):
        pass
    yield len(content)
    raw = yield from _split(content, "events", _RawEvents)
    events = []
    for text in map(bytes, raw.events):
        event = yield from _decode_event(text, raw.at, report)
        if event is not None:
            events.append(event)
    return Events(events, raw.at)


def decode_object(content: bytes, report: UnreadableObserver) -> Steps[Object]:
    """Decode one object; raises `ValueError` if its name or revision is unreadable."""
    decoded = yield from _decode_item(content, None, report)
    if decoded is None:
        raise ValueError("Name or revision of the object is unreadable")
    return decoded


def _decode(text: bytes, expected_type: type[T]) -> T:
    if not nests_at_most(text, MAX_NESTING):
        raise ValueError(f"Nested deeper than {MAX_NESTING} levels")
    return msgspec.json.decode(text, type=expected_type)


def _split(content: bytes, list_name: str, raw_type: type[T]) -> Steps[T]:
    """Return a response whose list is not decoded."""
    try:
        return msgspec.json.decode(content, type=raw_type)
    except (ValueError, RecursionError):
        # Nesting, or text that the decoder refuses even where it is not needed.
        pass
    members = yield from _read_members(content)
    items = split_array(members.pop(list_name, b""))
    yield len(content)
    others = {key: msgspec.Raw(text) for key, text in members.items()}
    decoded: Any = msgspec.json.decode(
        msgspec.json.encode({**others, list_name: []}), type=raw_type
    )
    setattr(decoded, list_name, items)
    return decoded


def _decode_item(
    text: bytes, at: int | None, report: UnreadableObserver
) -> Steps[Object | None]:
    """Decode an object; None if it has no readable name.

    ``at`` is used as the revision of an object whose own is unreadable.
    """
    yield ITEM_WORK + len(text)
    try:
        return _decode(text, Object)
    except (ValueError, RecursionError) as error:
        cause = str(error)
    members = yield from _members(text)
    metadata_text = members.get("metadata", b"")
    metadata = _decode_or_none(metadata_text, Metadata)
    if metadata is not None:
        name, revision = metadata.name, metadata.revision
    else:
        members = yield from _members(metadata_text)
        name = _decode_or_none(members.get("name", b""), _Name)
        revision = _decode_or_none(members.get("revision", b""), _Revision)
    if revision is None:
        revision = at
    report(name, revision or 0, cause)
    if name is None or revision is None:
        return None
    return Object(Metadata(name, revision), UNREADABLE_VALUE)


def _decode_event(
    text: bytes, at: int, report: UnreadableObserver
) -> Steps[Event | None]:
    members = yield from _members(text)
    item = yield from _decode_item(members.get("object", b""), at, report)
    if item is None:
        return None
    is_deleted = _decode_or_none(members.get("deleted", b"false"), bool)
    if is_deleted is None:
        report(item.metadata.name, item.metadata.revision, "not known whether deleted")
        return Event(Object(item.metadata, UNREADABLE_VALUE))
    return Event(item, is_deleted)


def _members(text: bytes) -> Steps[dict[str, bytes]]:
    try:
        return (yield from _read_members(text))
    except ValueError:
        return {}


def _read_members(text: bytes) -> Steps[dict[str, bytes]]:
    """Return the text of each value of an object, as `split_object` does."""
    members = object_members(text)
    yield len(text)
    values: dict[str, bytes] = {}
    for begin in range(0, len(members), MEMBERS_PER_STEP):
        some = members[begin : begin + MEMBERS_PER_STEP]
        values.update(read_members(some))
        yield MEMBER_WORK * len(some)
    return values


def _decode_or_none(text: bytes, expected_type: Any) -> Any:
    try:
        return msgspec.json.decode(text, type=expected_type)
    except (ValueError, RecursionError):
        return None


__all__ = [
    "ITEM_WORK",
    "MAX_NAME_CHARACTERS",
    "TURN_WORK",
    "Event",
    "Events",
    "Object",
    "Page",
    "Steps",
    "UnreadableObserver",
    "decode_events",
    "decode_object",
    "decode_page",
]
