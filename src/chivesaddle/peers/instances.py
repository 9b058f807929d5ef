"""The platform's instance list, with revisions from which to compute differences."""

from collections.abc import Iterable, Mapping
from typing import Any

from chivesaddle.core.logs import ComponentLogger

MAX_TOMBSTONES = 10_000
# Fields that daemons read, all of them text.
READ_FIELDS = (
    "role",
    "state",
    "zone",
    "region",
    "url",
    "peer_address",
    "caller_url",
    "operator_url",
)

InstanceValue = dict[str, Any] | None

log = ComponentLogger("instances")


def _readable(name: str, value: Any) -> InstanceValue:
    """Return a value that daemons can read; without fields if it is unreadable.

    Any program may write to the list. An instance without fields has no role.
    """
    if value is None:
        return None
    if isinstance(value, dict) and all(
        isinstance(value.get(field, ""), str) for field in READ_FIELDS
    ):
        return value
    log.warning("unreadable instance: %s", name)
    return {}


class InstanceTable:
    """Instance values by name, each with the revision of its last change.

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
        self._revision_and_value_by_name: dict[str, tuple[int, InstanceValue]] = {}
        # Lowest revision since which differences can be computed.
        self._min_base_revision = 0

    @property
    def values_by_name(self) -> dict[str, dict[str, Any]]:
        """Values of the instances that are not deleted."""
        return {
            name: value
            for name, (_, value) in self._revision_and_value_by_name.items()
            if value is not None
        }

    def replace(self, revision: int, values: Mapping[str, dict[str, Any]]) -> None:
        """Apply a complete list as of ``revision``, unless it is older than the table.

        Unchanged values keep their revision, so that a new zone reader can still send
        only differences to its zone.
        """
        if revision < self.revision:
            return
        if self.revision == 0:
            self._min_base_revision = revision
        current = self.values_by_name
        readable = {name: _readable(name, value) for name, value in values.items()}
        changed = {n: v for n, v in readable.items() if current.get(n) != v}
        deleted = {name: None for name in current.keys() - values.keys()}
        self.update(revision, [*changed.items(), *deleted.items()])

    def update(
        self, revision: int, changes: Iterable[tuple[str, InstanceValue]]
    ) -> None:
        """Apply differences up to ``revision``, unless older than the table."""
        if revision < self.revision:
            return
        for name, value in changes:
            self._revision_and_value_by_name.pop(name, None)
            self._revision_and_value_by_name[name] = revision, _readable(name, value)
        self.revision = revision
        self._drop_tombstones()

    def changes_since(self, revision: int) -> list[tuple[str, InstanceValue]] | None:
        """Return differences since a revision; None if a complete list is needed."""
        if revision < self._min_base_revision:
            return None
        return [
            (name, value)
            for name, (changed, value) in self._revision_and_value_by_name.items()
            if changed > revision
        ]

    def _drop_tombstones(self) -> None:
        deleted = [
            n for n, (_, v) in self._revision_and_value_by_name.items() if v is None
        ]
        if len(deleted) > MAX_TOMBSTONES:
            for name in deleted:
                del self._revision_and_value_by_name[name]
            self._min_base_revision = self.revision


__all__ = ["InstanceTable"]
