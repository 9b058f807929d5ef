"""Which servers are known to hold which KV blocks."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from chivesaddle.core.ids import BackendServerId, BlockKey

# Measured: 13 MB with one holder each, 18 MB with five, of a daemon's 64 MB.
# Rendezvous hashing finds the home of every other block, so that the index need not
# hold all stored prompts.
MAX_BLOCKS = 32_768
MAX_ENTRIES = 65_536
# Bounds the servers that one choice compares.
MAX_HOLDERS = 16


class BlockIndex:
    """Bounded index: 32,768 blocks and 65,536 pairs of a block and its holder.

    A block key includes the weight version, so knowledge of another version never
    matches a request.
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._entries = 0
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
            if len(holders) < MAX_HOLDERS and server not in holders:
                holders.add(server)
                self._entries += 1
            self._drop_oldest()

    def discard(self, server: BackendServerId, keys: Iterable[BlockKey]) -> None:
        """Record that ``server`` no longer holds ``keys``."""
        for key in keys:
            holders = self._holders_by_key.get(key)
            if holders is not None and server in holders:
                holders.remove(server)
                self._entries -= 1
                if not holders:
                    del self._holders_by_key[key]

    def drop_servers(self, servers: set[BackendServerId]) -> None:
        """Forget all blocks of ``servers``."""
        for key, holders in list(self._holders_by_key.items()):
            self._entries -= len(holders & servers)
            holders -= servers
            if not holders:
                del self._holders_by_key[key]

    def _drop_oldest(self) -> None:
        while len(self) > self._max_blocks or self._entries > MAX_ENTRIES:
            _, holders = self._holders_by_key.popitem(last=False)
            self._entries -= len(holders)

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


__all__ = ["MAX_BLOCKS", "MAX_ENTRIES", "MAX_HOLDERS", "BlockIndex"]
