"""Local replica of the store's objects of one kind, updated by watches and peers."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from enum import Enum
from typing import Any

import msgspec

from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.objects import (
    ChangeType,
    ObjectChange,
    ObjectList,
    StoredObject,
)

# Deletions kept for peers that have not seen them. A peer that was disconnected for
# longer lists the whole kind from the store or receives the whole replica.
MAX_TOMBSTONES = 512
# Value of an object whose value in the store is JSON null or absent. None marks deleted
# objects, also in messages between daemons.
NULL_VALUE = "null"


class Source(Enum):
    """From where a daemon has an entry."""

    STORE = "store"
    PEER = "peer"


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """An object at a revision; ``value`` is None if the object is deleted."""

    name: str
    revision: int
    value: Any = None

    @property
    def is_deleted(self) -> bool:
        """Whether this entry is the tombstone of a deleted object."""
        return self.value is None


Listener = Callable[[Entry], None]

# Returns the version of a document, which its writer only raises; None if the document
# is unreadable.
DocumentVersion = Callable[[Any], int | None]

log = ComponentLogger("replica")


class Replica:
    """Objects of one kind by name, each at the newest known revision.

    Documents of some kinds contain a version. Such a document is only replaced by one
    with a higher version, and never deleted: a store that returned from a copy may hold
    an older one until its writer writes again.

    Parameters
    ----------
    kind : str
        Kind of the objects.
    document_version : callable or None
        Returns the version in a document's value, None for an unreadable document.
        None if documents of this kind have no version.

    Attributes
    ----------
    applied_revision : int
        Revision of the store up to which every change has been applied.
    last_source : Source
        From where the last applied entry came.
    """

    def __init__(
        self, kind: str, document_version: DocumentVersion | None = None
    ) -> None:
        self.kind = kind
        self._document_version = document_version
        self.applied_revision = 0
        self.last_source = Source.STORE
        self._entries_by_name: dict[str, Entry] = {}
        # Version of each entry, if documents of this kind have versions.
        self._versions_by_name: dict[str, int] = {}
        # Revision of the newest document of each name that was ignored.
        self._ignored_by_name: dict[str, int] = {}
        self._live_entries: list[Entry] | None = None
        self._newest_revision = 0
        self._listeners: list[Listener] = []
        # Called when a listing may hide objects that came and left unnoticed.
        self.on_gap: Callable[[], None] = lambda: None

    def add_listener(self, listener: Listener) -> None:
        """Call ``listener(entry)`` after each change of an object's value."""
        self._listeners.append(listener)

    def get(self, name: str) -> Entry | None:
        """Return an object, or None if it is unknown or deleted."""
        entry = self._entries_by_name.get(name)
        return None if entry is None or entry.is_deleted else entry

    def live(self) -> list[Entry]:
        """Return the objects that are not deleted."""
        # Cached, since this is called many times between two changes.
        if self._live_entries is None:
            entries = self._entries_by_name.values()
            self._live_entries = [entry for entry in entries if not entry.is_deleted]
        return list(self._live_entries)

    def apply_listing(self, listing: ObjectList) -> list[str]:
        """Apply a complete listing; return the names of objects that it removed.

        Objects that are newer than the listing are kept.
        """
        missing = [
            entry.name
            for entry in self.live()
            if entry.name not in listing.items_by_name
            and entry.revision <= listing.revision
        ]
        for name in missing:
            self._put(Entry(name, listing.revision), Source.STORE)
        for name, item in listing.items_by_name.items():
            self._put(_stored_entry(name, item), Source.STORE)
        if listing.revision > self.applied_revision > 0:
            self.on_gap()
        self.applied_revision = max(self.applied_revision, listing.revision)
        return missing

    def apply_changes(self, revision: int, changes: Sequence[ObjectChange]) -> None:
        """Apply the changes from a watch, which are complete up to ``revision``."""
        last_by_name = {change.item.name: change for change in changes}
        for change in changes:
            item = change.item
            if change is not last_by_name[item.name]:
                # Listeners hear also of an object that has been replaced or deleted
                # since. Its revision is below that of the last change.
                if change.type is ChangeType.PUT:
                    self._put(_stored_entry(item.name, item), Source.STORE)
            elif change.type is ChangeType.DELETE:
                # The event carries the revision of the object's last write. The
                # deletion is later, at ``revision`` at the latest.
                self._put(Entry(item.name, revision), Source.STORE)
            else:
                self._put(_stored_entry(item.name, item), Source.STORE)
        self.applied_revision = max(self.applied_revision, revision)

    def revision_of(self, name: str) -> int:
        """Return the newest known revision of an object, 0 if it is unknown."""
        entry = self._entries_by_name.get(name)
        return 0 if entry is None else entry.revision

    def put_entries(self, entries: Iterable[Entry]) -> None:
        """Apply some entries of a peer, which need not be all up to their revisions."""
        for entry in entries:
            self._put(entry, Source.PEER)

    @property
    def progress(self) -> int:
        """Number that rises with the documents of this replica; see `lacks`."""
        if self._document_version is None:
            return self._newest_revision
        return sum(max(0, version) for version in self._versions_by_name.values())

    def lacks(self, progress: int) -> bool:
        """Return whether this replica lacks documents of one with this `progress`."""
        if self._document_version is None:
            return progress > max(self._newest_revision, self.applied_revision)
        return progress > self.progress

    def document_versions(self) -> dict[str, int]:
        """Return the version of each document by name; empty if they have none."""
        return dict(self._versions_by_name)

    def entries_after(
        self, applied_revision: int, document_versions: Mapping[str, int] | None = None
    ) -> list[Entry]:
        """Return the entries that a peer lacks, tombstones included.

        Parameters
        ----------
        applied_revision : int
            Revision up to which the peer has applied all changes.
        document_versions : mapping or None
            The peer's `document_versions`, which decide instead for a kind that has
            them.
        """
        if self._document_version is not None:
            known = document_versions or {}
            return [
                entry
                for entry in self.live()
                if self._versions_by_name[entry.name] > known.get(entry.name, -1)
            ]
        # Most peers lack nothing.
        if applied_revision >= self._newest_revision:
            return []
        return [
            entry
            for entry in self._entries_by_name.values()
            if entry.revision > applied_revision
        ]

    def merge(self, applied_revision: int, entries: Iterable[Entry]) -> None:
        """Apply a peer's entries, which complete this replica up to a revision.

        Parameters
        ----------
        applied_revision : int
            Revision up to which the peer has applied all changes.
        entries : iterable of Entry
            Result of the peer's `entries_after`.
        """
        self.put_entries(entries)
        self.applied_revision = max(self.applied_revision, applied_revision)

    def _put(self, entry: Entry, source: Source) -> None:
        current = self._entries_by_name.get(entry.name)
        if self._document_version is None:
            if current is not None and entry.revision <= current.revision:
                return
        else:
            version = self._version_of(entry)
            if version is None or not self._replaces(entry, version, current):
                return
            self._versions_by_name[entry.name] = version
        self._entries_by_name[entry.name] = entry
        self.last_source = source
        self._newest_revision = max(self._newest_revision, entry.revision)
        self._live_entries = None
        if entry.is_deleted:
            self._drop_old_tombstones()
            if current is None or current.is_deleted:
                return
        elif current is not None and current.value == entry.value:
            return
        for listener in list(self._listeners):
            try:
                listener(entry)
            except Exception as error:
                # The other changes that came with this one must still be applied.
                log.error(
                    "change not applied",
                    extra={"kind": self.kind, "object": entry.name},
                    exc_info=error,
                )

    def _replaces(self, entry: Entry, version: int, current: Entry | None) -> bool:
        if current is None:
            return True
        known = self._versions_by_name[entry.name]
        if version < known and entry.revision > current.revision:
            self._log_ignored(entry, version, known)
        return (version, entry.revision) > (known, current.revision)

    def _log_ignored(self, entry: Entry, version: int, known: int) -> None:
        # Peers may offer it again with each exchange.
        if self._ignored_by_name.get(entry.name, -1) >= entry.revision:
            return
        self._ignored_by_name[entry.name] = entry.revision
        log.info(
            "older document ignored" if version >= 0 else "unreadable document ignored",
            extra={
                "kind": self.kind,
                "object": entry.name,
                "version": version,
                "known": known,
            },
        )

    def _version_of(self, entry: Entry) -> int | None:
        """Return a document's version, -1 if it is unreadable, None if deleted."""
        if self._document_version is None or entry.is_deleted:
            return None
        version = self._document_version(entry.value)
        return -1 if version is None else version

    def _drop_old_tombstones(self) -> None:
        deleted = [
            entry for entry in self._entries_by_name.values() if entry.is_deleted
        ]
        if len(deleted) > MAX_TOMBSTONES:
            oldest = min(deleted, key=lambda entry: entry.revision)
            del self._entries_by_name[oldest.name]


def _stored_entry(name: str, item: StoredObject) -> Entry:
    value = NULL_VALUE if item.value is None else item.value
    return Entry(name, item.version, value)


__all__ = ["Entry", "Listener", "Replica", "Source"]
