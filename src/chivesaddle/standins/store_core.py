"""State machine of the fake store: blocks in two tiers, manifests and links."""

import itertools
from bisect import bisect_right
from collections import Counter, OrderedDict
from dataclasses import dataclass
from typing import Any

from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import BlockKey
from chivesaddle.standins.blocks import checksum
from chivesaddle.standins.errors import Rejected
from chivesaddle.standins.faults import StoreFaults
from chivesaddle.standins.rate_limiting import RateLimitedLink

MEMORY = "memory"
DISK = "disk"
TIERS = (MEMORY, DISK)


@dataclass(frozen=True)
class StoreConfig:
    """Size and speed of a store.

    Attributes
    ----------
    memory_bytes, disk_bytes : int
        Capacity of each tier.
    memory_bytes_per_s, disk_bytes_per_s : float
        Bandwidth of each tier's link.
    bytes_per_block : int
        Size that each block counts for capacity and transfer time, independent of the
        length of its payload.
    """

    memory_bytes: int = 1 << 30
    disk_bytes: int = 8 << 30
    memory_bytes_per_s: float = 2e9
    disk_bytes_per_s: float = 5e8
    bytes_per_block: int = 1 << 20


@dataclass
class StoredBlock:
    """A block with the ``length`` and ``checksum`` that its writer declared."""

    payload: bytes
    length: int
    checksum: str
    generation: int
    tier: str = MEMORY

    def matches(self, entry: dict[str, Any]) -> bool:
        """Return whether a manifest entry describes exactly this block."""
        return (self.length, self.checksum, self.generation) == (
            entry.get("length"),
            entry.get("checksum"),
            entry.get("generation"),
        )


class StoreCore:
    """Blocks, manifests and the links to both tiers, on a given clock.

    Blocks are written to the memory tier; the least recently used move to disk. When
    both tiers are full, a write frees the least recently used block that no manifest
    references, and is refused if there is none.
    """

    def __init__(self, clock: Clock, config: StoreConfig) -> None:
        self.config = config
        self.faults = StoreFaults()
        self.counters: Counter[str] = Counter()
        self._links = {
            MEMORY: RateLimitedLink(clock, config.memory_bytes_per_s),
            DISK: RateLimitedLink(clock, config.disk_bytes_per_s),
        }
        self._blocks: OrderedDict[BlockKey, StoredBlock] = OrderedDict()
        # Keys of the blocks in memory, in the order of ``_blocks``. Counting the blocks
        # of a tier at each transfer instead took most of the time of a benchmark run.
        self._in_memory: OrderedDict[BlockKey, None] = OrderedDict()
        self._manifests: dict[str, dict[str, Any]] = {}
        self._reference_counts: Counter[BlockKey] = Counter()
        self._generations = itertools.count(1)

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace all fault switches."""
        self.faults = faults
        bandwidths = {
            MEMORY: self.config.memory_bytes_per_s,
            DISK: self.config.disk_bytes_per_s,
        }
        for tier, link in self._links.items():
            link.bytes_per_s = bandwidths[tier] / faults.link_slowdown

    def transfer(self, tier: str) -> float:
        """Queue the transfer of one block and return the time at which it ends."""
        self.counters[f"{tier}_link_bytes"] += self.config.bytes_per_block
        return self._links[tier].queue_transfer(self.config.bytes_per_block)

    def put_block(
        self, key: BlockKey, data: bytes, length: int, declared_checksum: str
    ) -> int:
        """Store a block and return its generation.

        Writing the same content again keeps the generation, so that manifests that
        reference it stay valid.

        Raises
        ------
        Rejected
            422 if the bytes differ from their declared length or checksum, 507 if full.
        """
        if len(data) != length or checksum(data) != declared_checksum:
            raise Rejected(
                422,
                "block_mismatch",
                f"Block {key} differs from its declared length or checksum",
            )
        if self.faults.full:
            raise Rejected(507, "store_full", "The store is full")
        existing = self._blocks.get(key)
        if (
            existing
            and existing.checksum == declared_checksum
            and existing.payload == data
        ):
            self._blocks.move_to_end(key)
            if existing.tier == MEMORY:
                self._in_memory.move_to_end(key)
            return existing.generation
        if existing is None and not self._ensure_capacity():
            raise Rejected(507, "store_full", "The store is full")
        if self.faults.consume("torn_write_next"):
            data = data[: len(data) // 2]
        block = StoredBlock(data, length, declared_checksum, next(self._generations))
        self._blocks[key] = block
        self._blocks.move_to_end(key)
        self._mark_in_memory(key)
        self._demote()
        self.counters["blocks_written"] += 1
        return block.generation

    def block_tier(self, key: BlockKey) -> str:
        """Return the tier of a block; raises `Rejected` 404."""
        return self._require_block(key).tier

    def read_block(self, key: BlockKey) -> StoredBlock:
        """Return a block as a reader receives it, with read faults applied."""
        if self.faults.consume("missing_next"):
            self._free_block(key)
        block = self._require_block(key)
        if self.faults.consume("freed_next"):
            # Simulates a freed block whose space was reused for an unrelated block.
            data = block.payload[::-1]
            block = StoredBlock(
                data, len(data), checksum(data), next(self._generations), block.tier
            )
            self._blocks[key] = block
        self._blocks.move_to_end(key)
        block.tier = MEMORY
        self._mark_in_memory(key)
        self._demote()
        self.counters["blocks_read"] += 1
        data = block.payload
        if self.faults.consume("truncate_next"):
            data = data[: len(data) // 2]
        if self.faults.consume("corrupt_next"):
            data = bytes(byte ^ 0xFF for byte in data)
        return StoredBlock(data, block.length, block.checksum, block.generation)

    def put_manifest(self, prefix_key: str, record: dict[str, Any]) -> None:
        """Store a manifest; raises `Rejected` 409 if a block is missing or differs."""
        drop_blocks = self.faults.consume("manifest_without_blocks_next")
        entries = record["blocks"]
        for entry in entries:
            block = self._blocks.get(entry["key"])
            if not drop_blocks and (block is None or not block.matches(entry)):
                raise Rejected(
                    409,
                    "block_differs",
                    f"Block {entry['key']} of {prefix_key} is missing or differs",
                )
        if prefix_key in self._manifests:
            self._remove_references(prefix_key, free=False)
        self._manifests[prefix_key] = record
        for entry in entries:
            self._reference_counts[entry["key"]] += 1
            if drop_blocks:
                self._free_block(entry["key"])
        self.counters["manifests_written"] += 1

    def get_manifest(self, prefix_key: str) -> dict[str, Any]:
        """Return a manifest and its blocks' slowest tier; raises `Rejected` 404."""
        record = self._manifests.get(prefix_key)
        if record is None:
            raise Rejected(404, "unknown_manifest", f"No manifest {prefix_key}")
        keys = [entry["key"] for entry in record["blocks"]]
        on_disk = any(k in self._blocks and self._blocks[k].tier == DISK for k in keys)
        return {"prefix_key": prefix_key, **record, "tier": DISK if on_disk else MEMORY}

    def list_manifests(self, after: str, limit: int) -> dict[str, Any]:
        """Return a page of manifests in key order; ``next`` is null on the last one."""
        names = sorted(self._manifests)
        start = bisect_right(names, after) if after else 0
        page = names[start : start + limit]
        has_more = start + limit < len(names)
        return {
            "manifests": [self.get_manifest(name) for name in page],
            "next": page[-1] if has_more and page else None,
        }

    def delete_manifest(self, prefix_key: str) -> None:
        """Delete a manifest and free blocks that no other manifest references."""
        if prefix_key not in self._manifests:
            raise Rejected(404, "unknown_manifest", f"No manifest {prefix_key}")
        self._remove_references(prefix_key, free=True)
        del self._manifests[prefix_key]

    def status(self) -> dict[str, Any]:
        """Return the usage of both tiers and the state of their links."""
        return {
            "memory_bytes": self.config.memory_bytes,
            "memory_used": self._used_bytes(MEMORY),
            "disk_bytes": self.config.disk_bytes,
            "disk_used": self._used_bytes(DISK),
            "tiers": {
                tier: {
                    "bytes_per_s": self._links[tier].bytes_per_s,
                    "queued_bytes": self._links[tier].queued_bytes,
                }
                for tier in TIERS
            },
        }

    def _require_block(self, key: BlockKey) -> StoredBlock:
        block = self._blocks.get(key)
        if block is None:
            raise Rejected(404, "unknown_block", f"No block {key}")
        return block

    def _used_bytes(self, tier: str) -> int:
        count = len(self._in_memory)
        if tier == DISK:
            count = len(self._blocks) - count
        return count * self.config.bytes_per_block

    def _mark_in_memory(self, key: BlockKey) -> None:
        self._in_memory[key] = None
        self._in_memory.move_to_end(key)

    def _ensure_capacity(self) -> bool:
        size = self.config.bytes_per_block
        capacity = sum(
            limit // size
            for limit in (self.config.memory_bytes, self.config.disk_bytes)
        )
        if len(self._blocks) < capacity:
            return True
        for key in self._blocks:
            if not self._reference_counts[key]:
                self._free_block(key)
                return True
        return False

    def _demote(self) -> None:
        while self._used_bytes(MEMORY) > self.config.memory_bytes:
            key, _ = self._in_memory.popitem(last=False)
            self._blocks[key].tier = DISK

    def _remove_references(self, prefix_key: str, *, free: bool) -> None:
        for entry in self._manifests[prefix_key]["blocks"]:
            key = entry["key"]
            self._reference_counts[key] -= 1
            if self._reference_counts[key] <= 0:
                del self._reference_counts[key]
                if free:
                    self._free_block(key)

    def _free_block(self, key: BlockKey) -> None:
        self._in_memory.pop(key, None)
        if self._blocks.pop(key, None) is not None:
            self.counters["blocks_freed"] += 1


__all__ = ["DISK", "MEMORY", "StoreConfig", "StoreCore", "StoredBlock"]
