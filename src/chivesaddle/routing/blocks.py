"""Which servers are known to hold which KV blocks."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from chivesaddle.core.ids import BackendServerId, BlockKey

# About 10 MB. Rendezvous hashing finds the home of every other block, so that the
# index need not hold all stored prompts.
MAX_BLOCKS = 32_768
# More holders of a block than this do not improve a choice.
MAX_HOLDERS = 16


class BlockIndex:
    """Bounded index of blocks by key: ``MAX_BLOCKS`` x ``MAX_HOLDERS`` entries.

    A block key includes the weight version, so knowledge of another version never
    matches a request.
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._holders_by_key: OrderedDict[BlockKey, set[BackendServerId]] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._holders_by_key)

    def add(self, server: BackendServerId, keys: Iterable[BlockKey]) -> None:
        """Record that ``server`` holds ``keys``; the oldest blocks are dropped."""
        for key in keys:
            holders = self._holders_by_key.setdefault(key, set())
            self._holders_by_key.move_to_end(key)
            if len(holders) < MAX_HOLDERS:
                holders.add(server)
        while len(self._holders_by_key) > self._max_blocks:
            self._holders_by_key.popitem(last=False)

    def discard(self, server: BackendServerId, keys: Iterable[BlockKey]) -> None:
        """Record that ``server`` no longer holds ``keys``."""
        for key in keys:
            holders = self._holders_by_key.get(key)
            if holders is not None:
                holders.discard(server)
                if not holders:
                    del self._holders_by_key[key]

    def drop_servers(self, servers: set[BackendServerId]) -> None:
        """Forget all blocks of ``servers``."""
        for key, holders in list(self._holders_by_key.items()):
            holders -= servers
            if not holders:
                del self._holders_by_key[key]

    def depths(self, keys: Sequence[BlockKey]) -> dict[BackendServerId, int]:
        """Return how many leading blocks each server holds, if any."""
        depths: dict[BackendServerId, int] = {}
        holding: set[BackendServerId] | None = None
        for depth, key in enumerate(keys):
            holders = self._holders_by_key.get(key, set())
            if holding is None:
                holding = set(holders)
            elif not holding <= holders:
                for server in holding - holders:
                    depths[server] = depth
                holding &= holders
            if not holding:
                return depths
        for server in holding or ():
            depths[server] = len(keys)
        return depths


__all__ = ["MAX_BLOCKS", "MAX_HOLDERS", "BlockIndex"]
