"""Bounds the memory of long bodies that are received and processed at once.

A process that was suspended finds the uploads of all that time in its kernel.
"""

from collections.abc import Callable, Hashable

# Shorter bodies are not counted.
LONG_BODY_BYTES = 65_536
# Ten of the longest bodies under default limits, and twice that while they are sent on.
MAX_HELD_BYTES = 42_000_000


class BodyBudget:
    """Admits long bodies one after the other while there is memory for them.

    Parameters
    ----------
    limit_bytes : int
        Sum of the bodies admitted at a time. A longer one is admitted alone.

    Attributes
    ----------
    held_bytes : int
        Sum of the bodies that are admitted.
    """

    def __init__(self, limit_bytes: int = MAX_HELD_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self.held_bytes = 0
        self._size_by_owner: dict[Hashable, int] = {}
        self._waiting_by_owner: dict[Hashable, tuple[int, Callable[[], None]]] = {}

    def admit(
        self, owner: Hashable, size: int, on_admitted: Callable[[], None]
    ) -> bool:
        """Admit a body of ``size`` bytes at once, or call ``on_admitted`` later.

        Each owner has one body at a time.
        """
        if not self._waiting_by_owner and self._fits(size):
            self._hold(owner, size)
            return True
        self._waiting_by_owner[owner] = (size, on_admitted)
        return False

    def shrink(self, owner: Hashable, size: int) -> None:
        """Record that an admitted body is no longer than ``size`` bytes."""
        if owner in self._size_by_owner:
            self.held_bytes += size - self._size_by_owner[owner]
            self._size_by_owner[owner] = size
            self._admit_waiting()

    def release(self, owner: Hashable) -> None:
        """Forget the body of an owner, if it has any."""
        self._waiting_by_owner.pop(owner, None)
        self.held_bytes -= self._size_by_owner.pop(owner, 0)
        self._admit_waiting()

    def _fits(self, size: int) -> bool:
        return not self.held_bytes or self.held_bytes + size <= self._limit_bytes

    def _hold(self, owner: Hashable, size: int) -> None:
        self._size_by_owner[owner] = size
        self.held_bytes += size

    def _admit_waiting(self) -> None:
        while self._waiting_by_owner:
            owner, (size, on_admitted) = next(iter(self._waiting_by_owner.items()))
            if not self._fits(size):
                return
            del self._waiting_by_owner[owner]
            self._hold(owner, size)
            on_admitted()


__all__ = ["LONG_BODY_BYTES", "MAX_HELD_BYTES", "BodyBudget"]
