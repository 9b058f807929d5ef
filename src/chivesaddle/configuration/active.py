"""The active configuration of this daemon."""

from collections import deque
from collections.abc import Callable

from chivesaddle.configuration.errors import RevisionGap
from chivesaddle.configuration.operations import apply_operations
from chivesaddle.configuration.plan import Change
from chivesaddle.core.ids import ChangeId, Revision
from chivesaddle.core.model import ConfigState

# Twice the number of changes that the head lists, so that most peers can catch up
# without reading the platform.
MAX_RECENT_CHANGES = 128


class ActiveConfig:
    """Applies configuration changes in order; the revision only increases."""

    def __init__(self) -> None:
        self._state = ConfigState.empty()
        self._listeners: list[Callable[[ConfigState], None]] = []
        self._recent_changes: deque[Change] = deque(maxlen=MAX_RECENT_CHANGES)

    @property
    def state(self) -> ConfigState:
        """The active configuration."""
        return self._state

    @property
    def revision(self) -> Revision:
        """Revision of the active configuration."""
        return self._state.revision

    def add_listener(self, listener: Callable[[ConfigState], None]) -> None:
        """Call ``listener(state)`` after each new state."""
        self._listeners.append(listener)

    def apply(self, change: Change) -> bool:
        """Apply the next change; return False if it is already applied.

        Raises
        ------
        RevisionGap
            Changes before this one are missing.
        """
        if change.revision <= self.revision:
            return False
        if change.parent != self.revision or change.revision != change.parent + 1:
            raise RevisionGap(
                f"Change {change.id} leads from revision {change.parent} to "
                f"{change.revision}, but revision {self.revision} is active",
                remedy="Read the changes after the active revision",
            )
        state = apply_operations(self._state, change.operations, change.revision)
        self._recent_changes.append(change)
        self._set_state(state)
        return True

    def replace(self, state: ConfigState) -> bool:
        """Replace the whole state; return False unless the new revision is higher."""
        if state.revision <= self.revision:
            return False
        self._recent_changes.clear()
        self._set_state(state)
        return True

    def recent_changes_after(self, revision: Revision) -> tuple[Change, ...] | None:
        """Return the changes after a revision, or None if some are not in memory."""
        if revision >= self.revision:
            return ()
        changes = tuple(c for c in self._recent_changes if c.revision > revision)
        return changes if changes and changes[0].parent == revision else None

    def has_recent_change(self, change_id: ChangeId) -> bool:
        """Return whether a change is among the recent changes in memory."""
        return any(change.id == change_id for change in self._recent_changes)

    def _set_state(self, state: ConfigState) -> None:
        self._state = state
        for listener in list(self._listeners):
            listener(state)


__all__ = ["ActiveConfig"]
