"""The platform's instance list with what is needed to send only differences."""

from collections.abc import Iterable, Mapping
from typing import Any

MAX_TOMBSTONES = 10_000

Value = dict[str, Any] | None


class InstanceTable:
    """Values by name, each with the revision of its last change.

    Examples
    --------
    >>> table = InstanceTable()
    >>> table.replace(5, {"a": {"role": "daemon"}})
    >>> table.update(7, [("b", {"role": "store"}), ("a", None)])
    >>> table.changes_since(5)
    [('b', {'role': 'store'}), ('a', None)]
    """

    def __init__(self) -> None:
        self.revision = 0
        self._revision_and_value_by_name: dict[str, tuple[int, Value]] = {}
        # Differences from before this revision are not known.
        self._complete_since = 0

    @property
    def values_by_name(self) -> dict[str, dict[str, Any]]:
        """Values of the instances that exist."""
        return {
            name: value
            for name, (_, value) in self._revision_and_value_by_name.items()
            if value is not None
        }

    def replace(self, revision: int, values: Mapping[str, dict[str, Any]]) -> None:
        """Take over a complete list as of ``revision``, unless it is older.

        Values that did not change keep their revision, so that a new zone reader can
        still send differences to its zone.
        """
        if revision < self.revision:
            return
        if self.revision == 0:
            self._complete_since = revision
        known = self.values_by_name
        changed = {n: v for n, v in values.items() if known.get(n) != v}
        gone = {name: None for name in known.keys() - values.keys()}
        self.update(revision, [*changed.items(), *gone.items()])

    def update(self, revision: int, changes: Iterable[tuple[str, Value]]) -> None:
        """Take over differences up to ``revision``, unless they are older."""
        if revision < self.revision:
            return
        for name, value in changes:
            self._revision_and_value_by_name.pop(name, None)
            self._revision_and_value_by_name[name] = (revision, value)
        self.revision = revision
        self._drop_tombstones()

    def changes_since(self, revision: int) -> list[tuple[str, Value]] | None:
        """Return differences since a revision; None if only a complete list helps."""
        if revision < self._complete_since:
            return None
        return [
            (name, value)
            for name, (changed, value) in self._revision_and_value_by_name.items()
            if changed > revision
        ]

    def _drop_tombstones(self) -> None:
        gone = [
            n for n, (_, v) in self._revision_and_value_by_name.items() if v is None
        ]
        if len(gone) > MAX_TOMBSTONES:
            for name in gone:
                del self._revision_and_value_by_name[name]
            self._complete_since = self.revision


__all__ = ["InstanceTable"]
