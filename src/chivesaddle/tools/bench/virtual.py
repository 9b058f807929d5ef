"""Stand-in engines and stores on a virtual clock, called without HTTP."""

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
from chivesaddle.standins.engine_transfers import StagedImport, manifest_entry
from chivesaddle.standins.errors import Rejected
from chivesaddle.standins.store_core import MEMORY, TIERS, StoreConfig, StoreCore
from chivesaddle.tools.bench.workload import Scenario
from chivesaddle.tools.kursuskoda import Speeds

MODEL, WEIGHT_VERSION = "assistant", "v1"
# Network round trip between zones, used for both deployments: it is 1.5 ms at
# Kursuskoda and 1 ms at Kitami.
ZONE_ROUND_TRIP_S = 0.0015


class EventClock(Clock):
    """Virtual clock that runs each delayed call exactly at its scheduled time."""

    def run_until(self, end: float) -> None:
        """Run all calls that are due by ``end``, then set the time to ``end``."""
        while self.calls and self.calls[0].getTime() <= end:
            self.rightNow = max(self.rightNow, self.calls[0].getTime())
            self.advance(0)
        self.rightNow = end


@dataclass
class LinkTraffic:
    """Bytes moved over one store link, and the longest wait of a transfer for it."""

    bytes_moved: int = 0
    longest_wait_s: float = 0.0


class VirtualStores:
    """In-memory replacement of the store client, backed by `StoreCore`.

    Payloads are 64 bytes instead of ``Speeds.bytes_per_block``. Bandwidths and
    capacities are scaled down by the same factor, so that transfers take as long as
    those of full blocks.
    """

    def __init__(self, clock: EventClock, scenario: Scenario) -> None:
        speeds = Speeds()
        payload_scale = PAYLOAD_BYTES / speeds.bytes_per_block
        self.clock = clock
        self._config = StoreConfig(
            memory_bytes=scenario.store_memory_blocks * PAYLOAD_BYTES,
            disk_bytes=scenario.store_disk_blocks * PAYLOAD_BYTES,
            memory_bytes_per_s=speeds.memory_bytes_per_s * payload_scale,
            disk_bytes_per_s=speeds.disk_bytes_per_s * payload_scale,
            bytes_per_block=PAYLOAD_BYTES,
        )
        self.cores_by_url: dict[str, StoreCore] = {}
        self.traffic_by_link: dict[tuple[str, str], LinkTraffic] = {}
        for n in range(len(scenario.store_zones)):
            self.replace_store(f"store-{n}")
        self.reset_traffic()

    def replace_store(self, url: str) -> None:
        """Create the store at ``url``, or replace it by an empty one after its loss."""
        self.cores_by_url[url] = StoreCore(self.clock, self._config)

    def reset_traffic(self) -> None:
        """Reset the traffic counters of all links."""
        self.traffic_by_link = {
            (url, tier): LinkTraffic() for url in self.cores_by_url for tier in TIERS
        }

    def bandwidth(self, tier: str) -> float:
        """Return the bandwidth of the tier's link of a store, in scaled bytes/s."""
        if tier == MEMORY:
            return self._config.memory_bytes_per_s
        return self._config.disk_bytes_per_s

    async def transfer(self, url: str, tier: str) -> None:
        """Wait for the transfer of one block over a link and count it."""
        done_at = self.cores_by_url[url].transfer(tier)
        traffic, now = self.traffic_by_link[url, tier], self.clock.seconds()
        traffic.bytes_moved += PAYLOAD_BYTES
        transfer_s = PAYLOAD_BYTES / self.bandwidth(tier)
        traffic.longest_wait_s = max(traffic.longest_wait_s, done_at - now - transfer_s)
        await sleep_until(self.clock, done_at)

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
        await sleep_until(self.clock, self.clock.seconds() + ZONE_ROUND_TRIP_S)
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
        await sleep_until(self.clock, self.clock.seconds() + ZONE_ROUND_TRIP_S)
        try:
            core = self.cores_by_url[store.url]
            core.put_manifest(manifest.prefix_key, manifest.to_json())
        except Rejected as error:
            raise ManifestRejected(str(error)) from None

    async def list_manifests(
        self, store: Store, *, after: str, limit: int, deadline: float
    ) -> list[Manifest]:
        """Read one page of manifests."""
        await sleep_until(self.clock, self.clock.seconds() + ZONE_ROUND_TRIP_S)
        page = self.cores_by_url[store.url].list_manifests(after, limit)
        return [Manifest.model_validate(item) for item in page["manifests"]]

    async def status(self, store: Store, *, deadline: float) -> StoreStatus:
        """Read the used capacity and the link state of a store."""
        return StoreStatus.model_validate(self.cores_by_url[store.url].status())


class VirtualEngines:
    """In-memory replacement of the engine client, backed by `EngineCore`.

    It has the methods that the engine poller and the KV service call.
    """

    def __init__(
        self, clock: EventClock, scenario: Scenario, stores: VirtualStores
    ) -> None:
        self._stores = stores
        self._staged_by_id: dict[str, StagedImport] = {}
        self.cores_by_url = {
            f"engine-{n}": EngineCore(
                clock,
                EngineConfig(
                    cache_blocks=scenario.engine_cache_blocks,
                    prefill_tokens_per_s=Speeds().prefill_tokens_per_s,
                    decode_tokens_per_s=Speeds().decode_tokens_per_s,
                    retention_s=0.0,
                ),
                LoadedModels.from_config([f"{MODEL}:{WEIGHT_VERSION}"], False),
                lambda: None,
            )
            for n in range(len(scenario.engine_zones))
        }

    async def load(self, url: str, deadline: float) -> LoadReport:
        """Return the load report, which is as old as `EngineConfig.load_lag_s`."""
        return LoadReport(**self.cores_by_url[url].load())

    async def state(self, url: str, deadline: float) -> EngineState:
        """Return the loaded models and adapters."""
        return EngineState.from_json(self.cores_by_url[url].models.to_json())

    async def events(self, url: str, after: int, deadline: float) -> CacheEvents:
        """Return cache events, which arrive `EngineConfig.events_lag_s` late."""
        return CacheEvents(**self.cores_by_url[url].events.after(after))

    async def blocks(self, url: str, deadline: float) -> CachedBlocks:
        """Return the keys of all cached blocks."""
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
        store, read = self._stores.cores_by_url[source], []
        staged = StagedImport(cache_salt, {})
        try:
            for key in block_keys:
                await self._stores.transfer(source, store.block_tier(key))
                block = store.read_block(key)
                staged.payloads_by_key[key] = block.payload
                read.append(manifest_entry(key, block.payload, block.generation))
        except Rejected as error:
            raise ChivesaddleError(str(error)) from None
        self._staged_by_id[import_id] = staged
        return read

    async def commit_import(self, url: str, import_id: str, deadline: float) -> None:
        """Put staged blocks into the cache."""
        staged = self._staged_by_id.pop(import_id)
        cache = self.cores_by_url[url].cache
        cache.store(staged.cache_salt, staged.payloads_by_key.items())

    async def discard_import(self, url: str, import_id: str, deadline: float) -> None:
        """Drop staged blocks."""
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
        store, written = self._stores.cores_by_url[target], []
        for key in block_keys:
            data = self.cores_by_url[url].cache.payload(cache_salt, key)
            if data is None:
                raise ChivesaddleError(f"Block {key} is not cached")
            await self._stores.transfer(target, MEMORY)
            try:
                generation = store.put_block(key, data, len(data), checksum(data))
            except Rejected as error:
                raise StoreFull(str(error)) from None
            written.append(manifest_entry(key, data, generation))
        return written


__all__ = ["MODEL", "WEIGHT_VERSION", "EventClock", "VirtualEngines", "VirtualStores"]
