"""In-memory stores and an engine that let tests inject faults at any step."""

from collections import Counter

import pytest
import xxhash
from twisted.internet.defer import Deferred

from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.model import BackendServer, ConfigState, Store
from chivesaddle.kv import (
    BlockRecord,
    KvService,
    ManifestRejected,
    NotInStore,
    StoreFull,
    StoreUnavailable,
    block_keys,
    scope,
)
from chivesaddle.kv.store import StoredBlock, StoreStatus

SERVER = BackendServer(id="s", url="engine", zone="z0", models=("m",))
SCOPE = scope("a", "m", "v1", None)


def digest(data):
    return xxhash.xxh3_128_hexdigest(data)


def record(key, data, generation):
    return {
        "key": key,
        "length": len(data),
        "checksum": digest(data),
        "generation": generation,
    }


class Hooks:
    """Calls functions that a test has set for named steps."""

    def __init__(self):
        self.functions_by_step = {}
        self.calls = Counter()

    def on(self, step, function, call=1):
        """Run ``function`` at the ``call``-th time that ``step`` is reached."""
        self.functions_by_step[step, call] = function

    async def reach(self, step):
        self.calls[step] += 1
        hook = self.functions_by_step.get((step, self.calls[step]))
        result = hook() if hook else None
        if isinstance(result, Deferred):
            await result


class FakeStores:
    def __init__(self, hooks):
        self.hooks, self.generation = hooks, 0
        self.blocks = {f"u{i}": {} for i in range(3)}
        self.manifests = {f"u{i}": {} for i in range(3)}
        self.down, self.capacity = set(), 10_000

    def put(self, url, key, data):
        if url in self.down:
            raise StoreUnavailable(url)
        if len(self.blocks[url]) >= self.capacity and key not in self.blocks[url]:
            raise StoreFull(url)
        self.generation += 1
        self.blocks[url][key] = (data, self.generation)
        return self.generation

    async def _enter(self, step, store):
        await self.hooks.reach(step)
        if store.url in self.down:
            raise StoreUnavailable(store.url)

    async def get_block(self, store, key, *, deadline):
        await self._enter("get_block", store)
        if key not in self.blocks[store.url]:
            raise NotInStore(key)
        data, generation = self.blocks[store.url][key]
        return StoredBlock(data, generation, digest(data))

    async def put_block(self, store, key, data, *, deadline):
        await self._enter("put_block", store)
        return self.put(store.url, key, data)

    async def get_manifest(self, store, key, *, deadline):
        await self._enter("get_manifest", store)
        if key not in self.manifests[store.url]:
            raise NotInStore(key)
        return self.manifests[store.url][key]

    async def put_manifest(self, store, manifest, *, deadline):
        await self._enter("put_manifest", store)
        for block in manifest.blocks:
            data, generation = self.blocks[store.url].get(block.key, (b"", 0))
            if BlockRecord(**record(block.key, data or b"-", generation)) != block:
                raise ManifestRejected(block.key)
        self.manifests[store.url][manifest.prefix_key] = manifest

    async def list_manifests(self, store, *, after, limit, deadline):
        await self._enter("list_manifests", store)
        keys = sorted(k for k in self.manifests[store.url] if k > after)
        return [self.manifests[store.url][k] for k in keys[:limit]]

    async def status(self, store, *, deadline):
        await self._enter("status", store)
        tiers = {"memory": {"bytes_per_s": 5e6}, "disk": {"bytes_per_s": 1e6}}
        return StoreStatus(
            memory_bytes=1, memory_used=0, disk_bytes=1, disk_used=0, tiers=tiers
        )


class FakeEngine:
    """Engine that holds blocks by key and commits imports without any checks."""

    def __init__(self, stores, hooks):
        self.stores, self.hooks = stores, hooks
        self.blocks, self.staged, self.discarded = {}, {}, []
        self.corrupt = None

    async def stage_import(self, url, import_id, source, salt, keys, deadline):
        await self.hooks.reach("stage")
        if source in self.stores.down:
            raise ChivesaddleError("the store does not answer")
        stored = self.stores.blocks[source]
        if not stored.keys() >= set(keys):
            raise ChivesaddleError("the store lacks a block")
        pulled = {k: stored[k] for k in keys}
        if self.corrupt:
            pulled = self.corrupt(pulled)
        self.staged[import_id] = {k: data for k, (data, _) in pulled.items()}
        answer = [record(k, *item) for k, item in pulled.items()]
        await self.hooks.reach("staged")
        return answer

    async def commit_import(self, url, import_id, deadline):
        await self.hooks.reach("commit")
        self.blocks.update(self.staged.pop(import_id))
        await self.hooks.reach("committed")

    async def discard_import(self, url, import_id, deadline):
        self.discarded.append(import_id)
        self.staged.pop(import_id, None)

    async def export(self, url, target, salt, keys, deadline):
        await self.hooks.reach("export")
        answer = []
        for key in keys:
            if key not in self.blocks:
                raise ChivesaddleError("the block was freed")
            await self.hooks.reach("push")
            data = self.blocks[key]
            answer.append(record(key, data, self.stores.put(target, key, data)))
        await self.hooks.reach("exported")
        return answer


class KvEnvironment:
    """Three stores, an engine that has computed a prompt, and the `KvService`."""

    def __init__(self, clock, run):
        self.run, self.clock, self.hooks = run, clock, Hooks()
        self.stores = FakeStores(self.hooks)
        self.engine = FakeEngine(self.stores, self.hooks)
        self.configured_stores = tuple(
            Store(id=f"st{i}", url=f"u{i}", zone=f"z{i}") for i in range(3)
        )
        self.service = KvService(self.stores, self.engine, clock)
        self.service.update_config(
            ConfigState(
                revision=1, stores_by_id={s.id: s for s in self.configured_stores}
            )
        )
        self.keys, self.expected_blocks = self.compute_prompt(b"x", 10)

    def compute_prompt(self, tag, blocks):
        data = b"".join(tag + bytes([n]) * 1023 for n in range(blocks))
        keys = block_keys(SCOPE, data)
        # KV data: any bytes that differ between blocks.
        expected_blocks = {k: k.encode() * 8 for k in keys}
        self.engine.blocks.update(expected_blocks)
        return keys, expected_blocks

    def save(self):
        return self.run(self.service.save(SCOPE, self.keys, SERVER))

    def saved_prefix(self):
        """Save the prompt, clear the engine's blocks and find the prompt again."""
        self.save()
        self.engine.blocks.clear()
        self.hooks.calls.clear()
        return self.run(self.service.find(SCOPE, self.keys, 1.0))

    def assert_only_correct_blocks(self):
        assert self.engine.blocks.items() <= self.expected_blocks.items()

    def replace_block(self, prefix, index=0, data=None):
        key = self.keys[index]
        self.stores.put(prefix.store.url, key, data or self.expected_blocks[key])


@pytest.fixture
def env(clock, run):
    return KvEnvironment(clock, run)


@pytest.fixture
def server():
    return SERVER


@pytest.fixture
def never_completes():
    """Return the function of a step that never completes."""
    return Deferred
