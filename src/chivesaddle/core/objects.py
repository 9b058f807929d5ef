"""Interface to the platform's object API."""

from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from chivesaddle.core.errors import ChivesaddleError

# Revisions below this are those that the store gives out within one era.
REVISIONS_PER_ERA = 1 << 40
# Values that are nested deeper are unreadable. Documents have some six levels; decoders
# and encoders fail at a thousand, less the depth of the calls that lead to them.
MAX_NESTING = 64
# Value of an object whose value in the store cannot be decoded. Text, since the values
# of all kinds of documents are objects, and daemons relay it as any other value.
UNREADABLE_VALUE = "unreadable"


def make_revision(era: int, store_revision: int) -> int:
    """Return a revision that is higher than all of earlier eras.

    Examples
    --------
    >>> make_revision(0, 7), make_revision(1, 7) > make_revision(0, 9_000)
    (7, True)
    """
    return era * REVISIONS_PER_ERA + store_revision


def era_of(revision: int) -> int:
    """Return the era of the store in which a revision was given out."""
    return revision // REVISIONS_PER_ERA


def store_revision(revision: int) -> int:
    """Return a revision as the store itself names it."""
    return revision % REVISIONS_PER_ERA


class PlatformUnavailable(ChivesaddleError):
    """The platform refused or was unreachable; a write certainly had no effect."""

    code = "platform_unavailable"
    status = 503


class WriteOutcomeUnknown(ChivesaddleError):
    """A write was sent but its response is missing; it may or may not take effect."""

    code = "write_outcome_unknown"
    status = 503


class ObjectNotFound(ChivesaddleError):
    """The named object does not exist."""

    code = "object_not_found"
    status = 404


class VersionConflict(ChivesaddleError):
    """A conditional write found another version, or a create an existing object."""

    code = "version_conflict"
    status = 409


class RevisionCompacted(ChivesaddleError):
    """A watch requested changes after a revision that the platform has discarded."""

    code = "revision_compacted"
    status = 410


@dataclass(frozen=True)
class StoredObject:
    """An object and the version of its last write.

    Other programs write to the store as well, so that ``value`` may be of any type. It
    is `UNREADABLE_VALUE` if it cannot be decoded.
    """

    kind: str
    name: str
    version: int
    value: dict[str, Any]


@dataclass(frozen=True)
class ObjectList:
    """Objects of one kind as of ``revision``."""

    revision: int
    items_by_name: dict[str, StoredObject]


class ChangeType(Enum):
    """Type of a change to a watched object."""

    PUT = "put"
    DELETE = "delete"


@dataclass(frozen=True)
class ObjectChange:
    """One change returned by a watch; ``item.value`` is empty for a deletion."""

    type: ChangeType
    item: StoredObject


@dataclass(frozen=True)
class ObjectChanges:
    """Changes up to ``revision``, in order; empty if the wait timed out."""

    revision: int
    changes: tuple[ObjectChange, ...]


class ObjectApi(Protocol):
    """Versioned objects with conditional writes and long-polling watches.

    Deadlines are in seconds on the clock of the implementation. Every method raises
    `PlatformUnavailable` if the call failed and certainly had no effect. Versions and
    revisions of a store that returned from a copy are higher than all before; those of
    earlier eras are in conflict with, or compacted by, the store.
    """

    async def get(self, kind: str, name: str, *, deadline: float) -> StoredObject:
        """Read one object; raises `ObjectNotFound`."""

    async def list_objects(
        self, kind: str, *, prefix: str = "", deadline: float
    ) -> ObjectList:
        """Read all objects of a kind whose names start with ``prefix``."""

    async def create(
        self, kind: str, name: str, value: dict[str, Any], *, deadline: float
    ) -> StoredObject:
        """Create an object; raises `VersionConflict`, `WriteOutcomeUnknown`."""

    async def update(
        self,
        kind: str,
        name: str,
        value: dict[str, Any],
        *,
        version: int,
        deadline: float,
    ) -> StoredObject:
        """Replace an object at ``version``.

        Raises `VersionConflict`, `ObjectNotFound`, `WriteOutcomeUnknown`.
        """

    async def delete(
        self, kind: str, name: str, *, version: int, deadline: float
    ) -> None:
        """Delete an object at ``version``; raises as `update` does."""

    async def wait_for_changes(
        self, kind: str, *, after: int, deadline: float
    ) -> ObjectChanges:
        """Wait for changes after a revision; raises `RevisionCompacted`."""


__all__ = [
    "MAX_NESTING",
    "REVISIONS_PER_ERA",
    "UNREADABLE_VALUE",
    "ChangeType",
    "ObjectApi",
    "ObjectChange",
    "ObjectChanges",
    "ObjectList",
    "ObjectNotFound",
    "PlatformUnavailable",
    "RevisionCompacted",
    "StoredObject",
    "VersionConflict",
    "WriteOutcomeUnknown",
    "era_of",
    "make_revision",
    "store_revision",
]
