"""Eras of the platform's store.

After a failure the store may return from a copy that is some seconds old. It then gives
out revisions again that it gave out before, and counts an era that it names in every
response. Revisions inside chivesaddle contain the era (`core.objects.make_revision`),
so that any revision of a later era is higher.
"""

from collections.abc import Callable

from chivesaddle.core.aio import Clock
from chivesaddle.core.logs import ComponentLogger

log = ComponentLogger("store era")


class StoreEra:
    """Highest era of the store that this process knows of.

    Parameters
    ----------
    clock : Clock
        Clock of `rose_at`.

    Attributes
    ----------
    current : int
        The era; 0 before the first response, and for a store that names none.
    rose_at : float or None
        When this process learned that the store had returned from a copy, in seconds
        on the clock; None if that did not happen.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # When the first era was learned, None before.
        self._known_since: float | None = None
        self._listeners: list[Callable[[], None]] = []
        self.current = 0
        self.rose_at: float | None = None

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener()`` after each rise; learning the first era is none."""
        self._listeners.append(listener)

    def observe(self, era: int) -> None:
        """Record an era that the store, or a peer, named."""
        was_known = self._known_since is not None
        if not was_known:
            self._known_since = self._clock.seconds()
        if era <= self.current:
            return
        previous, self.current = self.current, era
        if not was_known:
            return
        self.rose_at = self._clock.seconds()
        log.warning(
            "store returned from a copy", extra={"era": era, "previous": previous}
        )
        for listener in list(self._listeners):
            listener()

    def rose_within(self, seconds: float) -> bool:
        """Return whether the store returned from a copy less than that long ago."""
        return (
            self.rose_at is not None and self._clock.seconds() - self.rose_at < seconds
        )

    def may_have_risen_within(self, seconds: float) -> bool:
        """Return whether the store may have returned from a copy less than that ago.

        A process that has just learned its first era cannot tell since when it counts.
        """
        if self.rose_within(seconds):
            return True
        return (
            self.current > 0
            and self._known_since is not None
            and self._clock.seconds() - self._known_since < seconds
        )


__all__ = ["StoreEra"]
