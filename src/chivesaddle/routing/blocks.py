"""Index of the KV blocks that servers are known to hold."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from chivesaddle.core.ids import BackendServerId, BlockKey

# The index takes 13 MB with one holder per block and 18 MB with five, of a daemon's
# memory budget of 64 MB. It need not cover all stored prompts, because rendezvous
# hashing finds the home servers of blocks that it lacks.
MAX_BLOCKS = 32_768
MAX_BLOCK_HOLDER_PAIRS = 65_536
# Bounds the number of servers that one routing decision compares.
MAX_HOLDERS_PER_BLOCK = 16


class BlockIndex:
    """Servers that hold a block, for up to 32,768 blocks and 65,536 block-server pairs.

    A block key includes the weight version, so blocks of another version never match a
    request.
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._pair_count = 0
        self._holders_by_key: OrderedDict[BlockKey, set[BackendServerId]] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._holders_by_key)

    def add(self, server_id: BackendServerId, keys: Iterable[BlockKey]) -> None:
        """Record that ``server_id`` holds ``keys``; evict the oldest blocks."""
        for key in keys:
            holders = self._holders_by_key.setdefault(key, set())
            self._holders_by_key.move_to_end(key)
            if len(holders) < MAX_HOLDERS_PER_BLOCK and server_id not in holders:
                holders.add(server_id)
                self._pair_count += 1
            self._evict_oldest()

    def discard(self, server_id: BackendServerId, keys: Iterable[BlockKey]) -> None:
        """Record that ``server_id`` no longer holds ``keys``."""
        for key in keys:
            holders = self._holders_by_key.get(key)
            if holders is not None and server_id in holders:
                holders.remove(server_id)
                self._pair_count -= 1
                if not holders:
                    del self._holders_by_key[key]

    def drop_servers(self, server_ids: set[BackendServerId]) -> None:
        """Remove all blocks of ``server_ids``."""
        for key, holders in list(self._holders_by_key.items()):
            self._pair_count -= len(holders & server_ids)
            holders -= server_ids
            if not holders:
                del self._holders_by_key[key]

    def _evict_oldest(self) -> None:
        while len(self) > self._max_blocks or self._pair_count > MAX_BLOCK_HOLDER_PAIRS:
            _, holders = self._holders_by_key.popitem(last=False)
            self._pair_count -= len(holders)

    def leading_blocks(self, keys: Sequence[BlockKey]) -> dict[BackendServerId, int]:
        """Return the count of leading blocks of ``keys`` per server that holds any."""
        leading_blocks: dict[BackendServerId, int] = {}
        prefix_holders: set[BackendServerId] | None = None
        for count, key in enumerate(keys):
            holders = self._holders_by_key.get(key, set())
            if prefix_holders is None:
                prefix_holders = set(holders)
            elif not prefix_holders <= holders:
                for server_id in prefix_holders - holders:
                    leading_blocks[server_id] = count
                prefix_holders &= holders
            if not prefix_holders:
                return leading_blocks
        for server_id in prefix_holders or ():
            leading_blocks[server_id] = len(keys)
        return leading_blocks


__all__ = [
    "MAX_BLOCKS",
    "MAX_BLOCK_HOLDER_PAIRS",
    "MAX_HOLDERS_PER_BLOCK",
    "BlockIndex",
]
