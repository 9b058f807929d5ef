"""Engines and stores of the stand-ins on a virtual clock, without HTTP."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from twisted.internet.task import Clock

from chivesaddle.core.aio import sleep_until
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.ids import BlockKey
from chivesaddle.core.model import Store
from chivesaddle.engines.reports import (
    CachedBlocks,
    CacheEvents,
    EngineState,
    LoadReport,
)
from chivesaddle.kv import Manifest, ManifestRejected, NotInStore, StoreFull
from chivesaddle.kv.store import StoredBlock, StoreStatus
from chivesaddle.standins.blocks import PAYLOAD_BYTES, checksum
from chivesaddle.standins.engine_core import EngineConfig, EngineCore
from chivesaddle.standins.engine_models import LoadedModels
from chivesaddle.standins.engine_transfers import StagedImport, describe
from chivesaddle.standins.errors import Rejected
from chivesaddle.standins.store_core import MEMORY, TIERS, StoreConfig, StoreCore
from chivesaddle.tools.bench.workload import Shape
from chivesaddle.tools.kursuskoda import Speeds

MODEL, VERSION = "assistant", "v1"
# Round trip between zones; 1.5 ms at Kursuskoda, 1 ms at Kitami.
ROUND_TRIP_S = 0.0015


class EventClock(Clock):
    """Clock that stops at every call, so that each runs at its own time."""

    def run_until(self, end: float) -> None:
        """Run all calls that are due until ``end``."""
        while self.calls and self.calls[0].getTime() <= end:
            self.rightNow = max(self.rightNow, self.calls[0].getTime())
            self.advance(0)
        self.rightNow = end


@dataclass
class LinkUse:
    """Bytes moved over one link and the longest wait of a transfer for it, in s."""

    moved: int = 0
    longest_wait_s: float = 0.0


class VirtualStores:
    """The client of the stores, answered by `StoreCore`.

    The stores' payloads are 64 bytes. Bandwidths and capacities are scaled by the same
    factor from those of a block of ``Speeds.bytes_per_block``, so that all times are
    those of full blocks.
    """

    def __init__(self, clock: EventClock, shape: Shape) -> None:
        speeds = Speeds()
        scale = PAYLOAD_BYTES / speeds.bytes_per_block
        self.clock = clock
        self._config = StoreConfig(
            memory_bytes=shape.store_memory_blocks * PAYLOAD_BYTES,
            disk_bytes=shape.store_disk_blocks * PAYLOAD_BYTES,
            memory_bytes_per_s=speeds.memory_bytes_per_s * scale,
            disk_bytes_per_s=speeds.disk_bytes_per_s * scale,
            bytes_per_block=PAYLOAD_BYTES,
        )
        self.cores_by_url: dict[str, StoreCore] = {}
        self.use_by_link: dict[tuple[str, str], LinkUse] = {}
        for n in range(len(shape.store_zones)):
            self.replace(f"store-{n}")
        self.reset_use()

    def replace(self, url: str) -> None:
        """Put an empty store in the place of one that died."""
        self.cores_by_url[url] = StoreCore(self.clock, self._config)

    def reset_use(self) -> None:
        """Start the measurement of the links' use."""
        self.use_by_link = {
            (url, tier): LinkUse() for url in self.cores_by_url for tier in TIERS
        }

    def bandwidth(self, tier: str) -> float:
        """Return the bandwidth of a tier's links in scaled bytes/s."""
        if tier == MEMORY:
            return self._config.memory_bytes_per_s
        return self._config.disk_bytes_per_s

    async def transfer(self, url: str, tier: str) -> None:
        """Move one block over a link."""
        ends = self.cores_by_url[url].transfer(tier)
        use, now = self.use_by_link[url, tier], self.clock.seconds()
        use.moved += PAYLOAD_BYTES
        own_s = PAYLOAD_BYTES / self.bandwidth(tier)
        use.longest_wait_s = max(use.longest_wait_s, ends - now - own_s)
        await sleep_until(self.clock, ends)

    async def get_block(
        self, store: Store, key: BlockKey, *, deadline: float
    ) -> StoredBlock:
        """Read a block."""
        core = self.cores_by_url[store.url]
        try:
            await self.transfer(store.url, core.block_tier(key))
            block = core.read_block(key)
        except Rejected as error:
            raise NotInStore(str(error)) from None
        return StoredBlock(block.payload, block.generation, block.checksum)

    async def put_block(
        self, store: Store, key: BlockKey, data: bytes, *, deadline: float
    ) -> int:
        """Write a block and return its generation."""
        await self.transfer(store.url, MEMORY)
        try:
            return self.cores_by_url[store.url].put_block(
                key, data, len(data), checksum(data)
            )
        except Rejected as error:
            raise StoreFull(str(error)) from None

    async def get_manifest(
        self, store: Store, key: BlockKey, *, deadline: float
    ) -> Manifest:
        """Read a manifest."""
        await sleep_until(self.clock, self.clock.seconds() + ROUND_TRIP_S)
        try:
            return Manifest.model_validate(
                self.cores_by_url[store.url].get_manifest(key)
            )
        except Rejected as error:
            raise NotInStore(str(error)) from None

    async def put_manifest(
        self, store: Store, manifest: Manifest, *, deadline: float
    ) -> None:
        """Write a manifest."""
        await sleep_until(self.clock, self.clock.seconds() + ROUND_TRIP_S)
        try:
            core = self.cores_by_url[store.url]
            core.put_manifest(manifest.prefix_key, manifest.to_json())
        except Rejected as error:
            raise ManifestRejected(str(error)) from None

    async def list_manifests(
        self, store: Store, *, after: str, limit: int, deadline: float
    ) -> list[Manifest]:
        """Read one page of manifests."""
        await sleep_until(self.clock, self.clock.seconds() + ROUND_TRIP_S)
        page = self.cores_by_url[store.url].list_manifests(after, limit)
        return [Manifest.model_validate(item) for item in page["manifests"]]

    async def status(self, store: Store, *, deadline: float) -> StoreStatus:
        """Read the fill and the links of a store."""
        return StoreStatus.model_validate(self.cores_by_url[store.url].status())


class VirtualEngines:
    """What decisions need of the engines' client, answered by `EngineCore`."""

    def __init__(self, clock: EventClock, shape: Shape, stores: VirtualStores) -> None:
        self._stores = stores
        self._staged_by_id: dict[str, StagedImport] = {}
        self.cores_by_url = {
            f"engine-{n}": EngineCore(
                clock,
                EngineConfig(
                    cache_blocks=shape.engine_cache_blocks,
                    prefill_tokens_per_s=Speeds().prefill_tokens_per_s,
                    decode_tokens_per_s=Speeds().decode_tokens_per_s,
                    retention_s=0.0,
                ),
                LoadedModels.from_config([f"{MODEL}:{VERSION}"], False),
                lambda: None,
            )
            for n in range(len(shape.engine_zones))
        }

    async def load(self, url: str, deadline: float) -> LoadReport:
        """Return the lagging load report."""
        return LoadReport(**self.cores_by_url[url].load())

    async def state(self, url: str, deadline: float) -> EngineState:
        """Return what is loaded."""
        return EngineState.from_json(self.cores_by_url[url].models.to_json())

    async def events(self, url: str, after: int, deadline: float) -> CacheEvents:
        """Return the late cache events."""
        return CacheEvents(**self.cores_by_url[url].events.after(after))

    async def blocks(self, url: str, deadline: float) -> CachedBlocks:
        """Return all cached blocks."""
        core = self.cores_by_url[url]
        return CachedBlocks(
            seq=core.events.seq, block_keys=tuple(core.cache.block_keys())
        )

    async def stage_import(
        self,
        url: str,
        import_id: str,
        source: str,
        cache_salt: str,
        block_keys: Sequence[BlockKey],
        deadline: float,
    ) -> Sequence[Any]:
        """Read blocks from a store into the staging area."""
        store, answer = self._stores.cores_by_url[source], []
        staged = StagedImport(cache_salt, {})
        try:
            for key in block_keys:
                await self._stores.transfer(source, store.block_tier(key))
                block = store.read_block(key)
                staged.payloads_by_key[key] = block.payload
                answer.append(describe(key, block.payload, block.generation))
        except Rejected as error:
            raise ChivesaddleError(str(error)) from None
        self._staged_by_id[import_id] = staged
        return answer

    async def commit_import(self, url: str, import_id: str, deadline: float) -> None:
        """Put staged blocks into the cache."""
        staged = self._staged_by_id.pop(import_id)
        cache = self.cores_by_url[url].cache
        cache.store(staged.cache_salt, staged.payloads_by_key.items())

    async def discard_import(self, url: str, import_id: str, deadline: float) -> None:
        """Forget staged blocks."""
        self._staged_by_id.pop(import_id, None)

    async def export(
        self,
        url: str,
        target: str,
        cache_salt: str,
        block_keys: Sequence[BlockKey],
        deadline: float,
    ) -> Sequence[Any]:
        """Write cached blocks to a store."""
        store, answer = self._stores.cores_by_url[target], []
        for key in block_keys:
            data = self.cores_by_url[url].cache.payload(cache_salt, key)
            if data is None:
                raise ChivesaddleError(f"Block {key} is not cached")
            await self._stores.transfer(target, MEMORY)
            try:
                generation = store.put_block(key, data, len(data), checksum(data))
            except Rejected as error:
                raise StoreFull(str(error)) from None
            answer.append(describe(key, data, generation))
        return answer


__all__ = ["MODEL", "VERSION", "EventClock", "VirtualEngines", "VirtualStores"]
