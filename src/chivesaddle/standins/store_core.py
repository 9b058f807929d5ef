"""State machine of a store: blocks in two tiers, manifests and links."""

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
from chivesaddle.standins.rates import Link

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
        Size that a block counts as for capacity and transfer time, whatever the length
        of its payload.
    """

    memory_bytes: int = 1 << 30
    disk_bytes: int = 8 << 30
    memory_bytes_per_s: float = 2e9
    disk_bytes_per_s: float = 5e8
    bytes_per_block: int = 1 << 20


@dataclass
class StoredBlock:
    """A block; ``length`` and ``checksum`` are what its writer declared."""

    payload: bytes
    length: int
    checksum: str
    generation: int
    tier: str = MEMORY

    def matches(self, entry: dict[str, Any]) -> bool:
        """Tell whether a manifest entry names exactly this block."""
        return (self.length, self.checksum, self.generation) == (
            entry.get("length"),
            entry.get("checksum"),
            entry.get("generation"),
        )


class StoreCore:
    """Blocks, manifests and the links to both tiers, on a given clock.

    Blocks enter the memory tier; the least recently used move to disk. When both are
    full, blocks that no manifest names are freed, oldest first, and then writes are
    refused.
    """

    def __init__(self, clock: Clock, config: StoreConfig) -> None:
        self.config = config
        self.faults = StoreFaults()
        self.counters: Counter[str] = Counter()
        self._links = {
            MEMORY: Link(clock, config.memory_bytes_per_s),
            DISK: Link(clock, config.disk_bytes_per_s),
        }
        self._blocks: OrderedDict[BlockKey, StoredBlock] = OrderedDict()
        # Keys of the blocks in memory, in the order of ``_blocks``; counting the tier
        # of every block at each transfer took most of the time of a bench run.
        self._in_memory: OrderedDict[BlockKey, None] = OrderedDict()
        self._manifests: dict[str, dict[str, Any]] = {}
        self._references: Counter[BlockKey] = Counter()
        self._generations = itertools.count(1)

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace all fault switches."""
        self.faults = faults
        rates = {
            MEMORY: self.config.memory_bytes_per_s,
            DISK: self.config.disk_bytes_per_s,
        }
        for tier, link in self._links.items():
            link.bytes_per_s = rates[tier] / faults.link_slowdown

    def transfer(self, tier: str) -> float:
        """Queue the transfer of one block and return the time at which it ends."""
        self.counters[f"{tier}_link_bytes"] += self.config.bytes_per_block
        return self._links[tier].add(self.config.bytes_per_block)

    def put_block(self, key: BlockKey, data: bytes, length: int, declared: str) -> int:
        """Keep a block and return its generation.

        Writing the same content again keeps the generation, so that manifests that name
        it stay valid.

        Raises
        ------
        Rejected
            422 if the bytes differ from their declared length or checksum, 507 if full.
        """
        if len(data) != length or checksum(data) != declared:
            raise Rejected(
                422, "block_mismatch", f"Block {key} differs from its declaration"
            )
        if self.faults.full:
            raise Rejected(507, "store_full", "The store is full")
        existing = self._blocks.get(key)
        if existing and existing.checksum == declared and existing.payload == data:
            self._blocks.move_to_end(key)
            if existing.tier == MEMORY:
                self._in_memory.move_to_end(key)
            return existing.generation
        if existing is None and not self._make_room():
            raise Rejected(507, "store_full", "The store is full")
        if self.faults.use("torn_write_next"):
            data = data[: len(data) // 2]
        block = StoredBlock(data, length, declared, next(self._generations))
        self._blocks[key] = block
        self._blocks.move_to_end(key)
        self._note_in_memory(key)
        self._demote()
        self.counters["blocks_written"] += 1
        return block.generation

    def block_tier(self, key: BlockKey) -> str:
        """Return the tier of a block; raises `Rejected` 404."""
        return self._block(key).tier

    def read_block(self, key: BlockKey) -> StoredBlock:
        """Return a block as a reader receives it, faults included."""
        if self.faults.use("missing_next"):
            self._free(key)
        block = self._block(key)
        if self.faults.use("freed_next"):
            # The freed space is reused at once by an unrelated block.
            data = block.payload[::-1]
            block = StoredBlock(
                data, len(data), checksum(data), next(self._generations), block.tier
            )
            self._blocks[key] = block
        self._blocks.move_to_end(key)
        block.tier = MEMORY
        self._note_in_memory(key)
        self._demote()
        self.counters["blocks_read"] += 1
        data = block.payload
        if self.faults.use("truncate_next"):
            data = data[: len(data) // 2]
        if self.faults.use("corrupt_next"):
            data = bytes(byte ^ 0xFF for byte in data)
        return StoredBlock(data, block.length, block.checksum, block.generation)

    def put_manifest(self, prefix_key: str, record: dict[str, Any]) -> None:
        """Commit a prefix; raises `Rejected` 409 if a block is missing or differs."""
        drop = self.faults.use("manifest_without_blocks_next")
        entries = record["blocks"]
        for entry in entries:
            block = self._blocks.get(entry["key"])
            if not drop and (block is None or not block.matches(entry)):
                raise Rejected(
                    409,
                    "block_differs",
                    f"Block {entry['key']} of {prefix_key} is missing or differs",
                )
        if prefix_key in self._manifests:
            self._unreference(prefix_key, free=False)
        self._manifests[prefix_key] = record
        for entry in entries:
            self._references[entry["key"]] += 1
            if drop:
                self._free(entry["key"])
        self.counters["manifests_written"] += 1

    def get_manifest(self, prefix_key: str) -> dict[str, Any]:
        """Return a manifest with the slowest tier of its blocks; raises `Rejected`."""
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
        more = start + limit < len(names)
        return {
            "manifests": [self.get_manifest(name) for name in page],
            "next": page[-1] if more and page else None,
        }

    def delete_manifest(self, prefix_key: str) -> None:
        """Delete a manifest and free the blocks that no other one names."""
        if prefix_key not in self._manifests:
            raise Rejected(404, "unknown_manifest", f"No manifest {prefix_key}")
        self._unreference(prefix_key, free=True)
        del self._manifests[prefix_key]

    def status(self) -> dict[str, Any]:
        """Return use of both tiers and their links."""
        return {
            "memory_bytes": self.config.memory_bytes,
            "memory_used": self._used(MEMORY),
            "disk_bytes": self.config.disk_bytes,
            "disk_used": self._used(DISK),
            "tiers": {
                tier: {
                    "bytes_per_s": self._links[tier].bytes_per_s,
                    "queued_bytes": self._links[tier].queued_bytes,
                }
                for tier in TIERS
            },
        }

    def _block(self, key: BlockKey) -> StoredBlock:
        block = self._blocks.get(key)
        if block is None:
            raise Rejected(404, "unknown_block", f"No block {key}")
        return block

    def _used(self, tier: str) -> int:
        count = len(self._in_memory)
        if tier == DISK:
            count = len(self._blocks) - count
        return count * self.config.bytes_per_block

    def _note_in_memory(self, key: BlockKey) -> None:
        self._in_memory[key] = None
        self._in_memory.move_to_end(key)

    def _make_room(self) -> bool:
        size = self.config.bytes_per_block
        capacity = sum(
            limit // size
            for limit in (self.config.memory_bytes, self.config.disk_bytes)
        )
        if len(self._blocks) < capacity:
            return True
        for key in self._blocks:
            if not self._references[key]:
                self._free(key)
                return True
        return False

    def _demote(self) -> None:
        while self._used(MEMORY) > self.config.memory_bytes:
            key, _ = self._in_memory.popitem(last=False)
            self._blocks[key].tier = DISK

    def _unreference(self, prefix_key: str, *, free: bool) -> None:
        for entry in self._manifests[prefix_key]["blocks"]:
            key = entry["key"]
            self._references[key] -= 1
            if self._references[key] <= 0:
                del self._references[key]
                if free:
                    self._free(key)

    def _free(self, key: BlockKey) -> None:
        self._in_memory.pop(key, None)
        if self._blocks.pop(key, None) is not None:
            self.counters["blocks_freed"] += 1


__all__ = ["DISK", "MEMORY", "StoreConfig", "StoreCore", "StoredBlock"]
