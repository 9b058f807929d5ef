"""Frees parts of replaced weight versions in the KV stores.

Stores drop nothing on their own. A part may be freed once no server can read it: every
server runs a newer version, and has done so for longer than a transfer takes.
"""

from collections.abc import Callable, Sequence
from typing import Protocol

from chivesaddle.cachemap.index import CacheIndex, PartKey
from chivesaddle.core.aio import Clock
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.logs import PartLogger

# Transfers that would wait for more than 2 s are not started by the servers, and one
# part takes less than a second.
QUARANTINE_S = 4.0
BATCH = 256
CALL_S = 1.0

log = PartLogger("cache")


class StoreFreer(Protocol):
    """Call of the adapter that frees parts."""

    async def free_parts(
        self, address: str, epoch: int, keys: Sequence[PartKey], deadline: float
    ) -> None:
        """Free parts of a store that has not restarted since ``epoch``."""


class Cleaner:
    """Frees parts of old versions, on the daemon that gives orders.

    Parameters
    ----------
    clock : Clock
        Clock of the quarantine.
    index : CacheIndex
        What the stores hold.
    freer : StoreFreer
        Makes the calls.
    oldest_version : callable
        Returns the oldest version that any listed server runs, or None.
    """

    def __init__(
        self,
        clock: Clock,
        index: CacheIndex,
        freer: StoreFreer,
        oldest_version: Callable[[], int | None],
    ) -> None:
        self._clock = clock
        self._index = index
        self._freer = freer
        self._oldest_version = oldest_version
        self._seen: int | None = None
        self._seen_since = 0.0

    async def step(self, stores: Sequence[str], may_act: bool) -> None:
        """Free what is due; call about once a second."""
        now = self._clock.seconds()
        oldest = self._oldest_version()
        if oldest is None or oldest != self._seen:
            self._seen, self._seen_since = oldest, now
            return
        if not may_act or now - self._seen_since < QUARANTINE_S:
            return
        for address in stores:
            if self._index.is_known(address):
                await self._free(address, oldest)

    async def _free(self, address: str, oldest: int) -> None:
        keys = [
            (scope, part)
            for scope, parts in self._index.scopes(address).items()
            if scope_version(scope) < oldest
            for part in parts
        ][:BATCH]
        if not keys:
            return
        deadline = self._clock.seconds() + CALL_S
        epoch = self._index.epoch(address)
        try:
            await self._freer.free_parts(address, epoch, keys, deadline)
        except ChivesaddleError as error:
            log.info("parts not freed", extra={"store": address, "cause": str(error)})
            return
        log.info(
            "parts freed",
            extra={"store": address, "parts": len(keys), "older_than": oldest},
        )


def scope_version(scope: str) -> int:
    """Return the weight version of a cache scope.

    Examples
    --------
    >>> scope_version("12.acme"), scope_version("7")
    (12, 7)
    """
    version = scope.partition(".")[0]
    # A scope of another writer is never freed.
    return int(version) if version.isdigit() else 1 << 62


__all__ = ["Cleaner", "scope_version"]
