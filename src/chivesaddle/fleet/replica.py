"""Copy of one kind of objects of the store, kept current by watches and by peers."""

from collections.abc import Callable, Iterable, Sequence
from typing import Any

import msgspec

from chivesaddle.core.objects import ChangeType, ObjectChange, ObjectList

# Deletions are remembered for peers that have not seen them; a peer that was away for
# longer reads the whole kind from the store or receives the whole copy.
MAX_TOMBSTONES = 512


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """An object at a revision; ``value`` is None once it is deleted."""

    name: str
    revision: int
    value: Any = None

    @property
    def is_deleted(self) -> bool:
        """Whether the object is gone."""
        return self.value is None


Listener = Callable[[Entry], None]


class Replica:
    """Objects of one kind by name, each at the newest revision seen.

    Attributes
    ----------
    through : int
        Revision of the store up to which every change is included.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.through = 0
        self._by_name: dict[str, Entry] = {}
        self._live: list[Entry] | None = None
        self._listeners: list[Listener] = []

    def add_listener(self, listener: Listener) -> None:
        """Call ``listener(entry)`` after each change."""
        self._listeners.append(listener)

    def get(self, name: str) -> Entry | None:
        """Return a live object, or None."""
        entry = self._by_name.get(name)
        return None if entry is None or entry.is_deleted else entry

    def live(self) -> list[Entry]:
        """Return the objects that exist."""
        # Asked for many times between two changes.
        if self._live is None:
            entries = self._by_name.values()
            self._live = [entry for entry in entries if not entry.is_deleted]
        return list(self._live)

    def apply_list(self, found: ObjectList) -> list[str]:
        """Take over a whole listing; return the names that it no longer has.

        Objects that are newer than the listing stay.
        """
        missing = [
            entry.name
            for entry in self.live()
            if entry.name not in found.items_by_name
            and entry.revision <= found.revision
        ]
        for name in missing:
            self._put(Entry(name, found.revision))
        for name, item in found.items_by_name.items():
            self._put(Entry(name, item.version, item.value))
        self.through = max(self.through, found.revision)
        return missing

    def apply_changes(self, revision: int, changes: Sequence[ObjectChange]) -> None:
        """Take over changes of a watch that are complete up to ``revision``."""
        last_by_name = {change.item.name: change for change in changes}
        for change in last_by_name.values():
            item = change.item
            if change.type is ChangeType.DELETE:
                # The event bears the revision of the last write. The deletion came
                # after it, at ``revision`` at the latest.
                self._put(Entry(item.name, revision))
            else:
                self._put(Entry(item.name, item.version, item.value))
        self.through = max(self.through, revision)

    def newer_than(self, through: int) -> list[Entry]:
        """Return what a peer lacks that knows all changes up to ``through``."""
        return [entry for entry in self._by_name.values() if entry.revision > through]

    def merge(self, through: int, entries: Iterable[Entry]) -> None:
        """Take over a peer's entries that complete this copy up to ``through``."""
        for entry in entries:
            self._put(entry)
        self.through = max(self.through, through)

    def _put(self, entry: Entry) -> None:
        known = self._by_name.get(entry.name)
        if known is not None and known.revision >= entry.revision:
            return
        self._by_name[entry.name] = entry
        self._live = None
        if entry.is_deleted:
            self._drop_old_tombstones()
            if known is None or known.is_deleted:
                return
        elif known is not None and known.value == entry.value:
            return
        for listener in list(self._listeners):
            listener(entry)

    def _drop_old_tombstones(self) -> None:
        deleted = [entry for entry in self._by_name.values() if entry.is_deleted]
        if len(deleted) > MAX_TOMBSTONES:
            oldest = min(deleted, key=lambda entry: entry.revision)
            del self._by_name[oldest.name]


__all__ = ["Entry", "Listener", "Replica"]
