"""Frees prompt parts of replaced weight versions in the KV stores.

Stores evict nothing on their own. A part may be freed once no server can fetch it:
every server has been running a newer version for longer than a transfer takes.
"""

from collections.abc import Callable, Sequence
from typing import Protocol

from chivesaddle.cachemap.index import CacheIndex, PartKey
from chivesaddle.core.aio import Clock
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.logs import ComponentLogger

# Servers start no transfer that would wait for more than 2 s, and the transfer of one
# part takes less than 1 s.
QUARANTINE_S = 4.0
MAX_PARTS_PER_CALL = 256
CALL_TIMEOUT_S = 1.0

log = ComponentLogger("cache")


class PartFreer(Protocol):
    """Adapter that frees parts in a store."""

    async def free_parts(
        self, address: str, epoch: int, keys: Sequence[PartKey], deadline: float
    ) -> None:
        """Free parts of a store if it has not restarted since ``epoch``."""


class StoreCleaner:
    """Frees parts of old versions, on the daemon that holds the rollout lease.

    Parameters
    ----------
    clock : Clock
        Clock that measures the quarantine.
    index : CacheIndex
        Parts that the stores hold.
    freer : PartFreer
        Calls the stores.
    oldest_version : callable
        Returns the oldest version that any listed server runs, or None if unknown.
    """

    def __init__(
        self,
        clock: Clock,
        index: CacheIndex,
        freer: PartFreer,
        oldest_version: Callable[[], int | None],
    ) -> None:
        self._clock = clock
        self._index = index
        self._freer = freer
        self._oldest_version = oldest_version
        self._oldest_running: int | None = None
        self._oldest_running_since = 0.0

    async def step(self, stores: Sequence[str], may_free: bool) -> None:
        """Free the parts that are due; call about once a second.

        ``may_free`` is false on a daemon that does not hold the rollout lease.
        """
        now = self._clock.seconds()
        oldest_version = self._oldest_version()
        if oldest_version is None or oldest_version != self._oldest_running:
            self._oldest_running, self._oldest_running_since = oldest_version, now
            return
        if not may_free or now - self._oldest_running_since < QUARANTINE_S:
            return
        for address in stores:
            if self._index.is_known(address):
                await self._free_old_parts(address, oldest_version)

    async def _free_old_parts(self, address: str, oldest_version: int) -> None:
        keys = [
            (scope, part)
            for scope, parts in self._index.scopes(address).items()
            if scope_version(scope) < oldest_version
            for part in parts
        ][:MAX_PARTS_PER_CALL]
        if not keys:
            return
        deadline = self._clock.seconds() + CALL_TIMEOUT_S
        epoch = self._index.epoch(address)
        try:
            await self._freer.free_parts(address, epoch, keys, deadline)
        except ChivesaddleError as error:
            log.info("parts not freed", extra={"store": address, "cause": str(error)})
            return
        log.info(
            "parts freed",
            extra={"store": address, "parts": len(keys), "older_than": oldest_version},
        )


def scope_version(scope: str) -> int:
    """Return the weight version of a cache scope.

    Examples
    --------
    >>> scope_version("12.acme"), scope_version("7")
    (12, 7)
    """
    version = scope.partition(".")[0]
    # A scope of another writer has no version. It counts as newer than any version,
    # so that its parts are never freed.
    return int(version) if version.isdigit() else 1 << 62


__all__ = ["StoreCleaner", "scope_version"]
