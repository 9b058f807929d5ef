"""The configuration that this daemon applies."""

from collections import deque
from collections.abc import Callable

from chivesaddle.configuration.errors import RevisionGap
from chivesaddle.configuration.operations import apply_operations
from chivesaddle.configuration.plan import Change
from chivesaddle.core.ids import ChangeId, Revision
from chivesaddle.core.model import ConfigState

# As many as the head names twice over, so that peers rarely need the platform.
REMEMBERED_CHANGES = 128


class ConfigHolder:
    """Applies changes in order; its revision only increases."""

    def __init__(self) -> None:
        self._state = ConfigState.empty()
        self._listeners: list[Callable[[ConfigState], None]] = []
        self._recent: deque[Change] = deque(maxlen=REMEMBERED_CHANGES)

    @property
    def state(self) -> ConfigState:
        """The state in force."""
        return self._state

    @property
    def revision(self) -> Revision:
        """Revision of the state in force."""
        return self._state.revision

    def add_listener(self, listener: Callable[[ConfigState], None]) -> None:
        """Call ``listener(state)`` after each new state."""
        self._listeners.append(listener)

    def apply(self, change: Change) -> bool:
        """Apply the next change; return False for one that is already included.

        Raises
        ------
        RevisionGap
            Changes before this one are missing.
        """
        if change.revision <= self.revision:
            return False
        if change.parent != self.revision or change.revision != change.parent + 1:
            raise RevisionGap(
                f"Change {change.id} makes revision {change.revision} from "
                f"{change.parent}, but {self.revision} is in force",
                remedy="Read the changes after the revision in force",
            )
        state = apply_operations(self._state, change.operations, change.revision)
        self._recent.append(change)
        self._enter(state)
        return True

    def replace(self, state: ConfigState) -> bool:
        """Take over a whole state; return False unless its revision is higher."""
        if state.revision <= self.revision:
            return False
        self._recent.clear()
        self._enter(state)
        return True

    def remembered_after(self, revision: Revision) -> tuple[Change, ...] | None:
        """Return the changes after a revision, or None if some are not remembered."""
        if revision >= self.revision:
            return ()
        known = tuple(c for c in self._recent if c.revision > revision)
        return known if known and known[0].parent == revision else None

    def remembers(self, change_id: ChangeId) -> bool:
        """Tell whether a change is among the remembered ones."""
        return any(change.id == change_id for change in self._recent)

    def _enter(self, state: ConfigState) -> None:
        self._state = state
        for listener in list(self._listeners):
            listener(state)


__all__ = ["ConfigHolder"]
