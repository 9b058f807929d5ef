"""Finds, imports and exports the KV blocks of prompts."""

import uuid
from collections import OrderedDict
from collections.abc import Coroutine, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol, TypeVar

from twisted.internet.defer import Deferred, gatherResults

from chivesaddle.core.aio import Clock, log_failure, start, with_deadline
from chivesaddle.core.errors import ChivesaddleError, DeadlineExceeded
from chivesaddle.core.events import EventKind, EventRing
from chivesaddle.core.ids import BlockKey, StoreId
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.metrics import Metrics, NoMetrics
from chivesaddle.core.model import BackendServer, ConfigState, Store
from chivesaddle.kv.identity import TOKENS_PER_BLOCK, checkpoint_depths, home_key
from chivesaddle.kv.link import LinkId, LinkScheduler
from chivesaddle.kv.manifests import (
    BlockRecord,
    BlocksMismatch,
    Manifest,
    check_staged_blocks,
    parse_blocks,
)
from chivesaddle.kv.replicas import home_stores
from chivesaddle.kv.store import (
    ManifestRejected,
    NotInStore,
    StoreClient,
    StoreUnavailable,
)

T = TypeVar("T")

SAVE_TIMEOUT_S = 30.0
DISCARD_TIMEOUT_S = 5.0
# A store in the same region returns a manifest in about 2 ms. An unresponsive store
# must not use up the target of 0.36 s for the time to the first token.
PROBE_TIMEOUT_S = 0.05
# Calls to a store that failed are suspended for this time.
SUSPEND_S = 2.0
MAX_KNOWN_PREFIXES = 8_192
MAX_SAVES = 64
# Assumed length in bytes of a block's KV data until a block has been exported.
INITIAL_BLOCK_LENGTH = 2 * 1024 * 1024

log = ComponentLogger("kv")


class EngineKvClient(Protocol):
    """The calls of `engines.EngineClient` for KV blocks.

    The sequences returned are the ``blocks`` of the engine's responses. Failed calls
    raise `ChivesaddleError`.
    """

    async def stage_import(
        self,
        url: str,
        import_id: str,
        source: str,
        cache_salt: str,
        block_keys: Sequence[BlockKey],
        deadline: float,
    ) -> Sequence[Any]:
        """Make the engine pull blocks from a store, without using them yet."""

    async def commit_import(self, url: str, import_id: str, deadline: float) -> None:
        """Make the engine use the staged blocks."""

    async def discard_import(self, url: str, import_id: str, deadline: float) -> None:
        """Make the engine drop the staged blocks."""

    async def export(
        self,
        url: str,
        target: str,
        cache_salt: str,
        block_keys: Sequence[BlockKey],
        deadline: float,
    ) -> Sequence[Any]:
        """Make the engine push blocks to a store."""


@dataclass(frozen=True, slots=True)
class StoredPrefix:
    """The longest stored prefix of a prompt and the predicted time to load it.

    ``wait_s`` is the predicted wait for the link and ``block_s`` the predicted transfer
    time of one block, both in seconds.
    """

    store: Store
    manifest: Manifest
    wait_s: float
    block_s: float

    @property
    def store_id(self) -> StoreId:
        """The store that holds the prefix."""
        return self.store.id

    @property
    def tier(self) -> str:
        """The store's tier that holds the prefix."""
        return self.manifest.tier

    @property
    def blocks(self) -> int:
        """Number of blocks in the prefix."""
        return len(self.manifest.blocks)

    @property
    def predicted_load_s(self) -> float:
        """Predicted seconds to load all blocks."""
        return self.wait_s + self.blocks * self.block_s


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Number of leading blocks on the server; the rest of the prompt is recomputed.

    ``error`` is the reason if not all blocks of the prefix were loaded.
    """

    blocks: int
    error: ChivesaddleError | None = None


@dataclass(frozen=True, slots=True)
class SaveResult:
    """Stores that hold the whole prefix now, and the errors of the others."""

    store_ids: tuple[StoreId, ...] = ()
    errors_by_store_id: dict[StoreId, ChivesaddleError] = field(default_factory=dict)


class SavesBusy(ChivesaddleError):
    """The limit of concurrent saves is reached, so this prompt is not saved."""

    code = "saves_busy"
    status = 503


class KvService:
    """Finds, loads and saves KV blocks for one daemon.

    Engines and stores transfer the bytes between them; this class requests transfers
    and verifies the blocks reported. Blocks that fail to load are recomputed; blocks
    that fail verification are never used. Memory holds at most 8,192 known prefix keys
    and 64 saves in progress.
    """

    def __init__(
        self,
        stores: StoreClient,
        engine: EngineKvClient,
        clock: Clock,
        *,
        links: LinkScheduler | None = None,
        events: EventRing | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        self.links = links or LinkScheduler(clock)
        self._stores = stores
        self._engine = engine
        self._clock = clock
        self._events = events
        self._metrics = metrics or NoMetrics()
        self._stores_by_id: dict[StoreId, Store] = {}
        self._suspended_until: dict[StoreId, float] = {}
        self._known_prefixes: OrderedDict[BlockKey, None] = OrderedDict()
        self._saving_keys: set[BlockKey] = set()
        self._in_progress: set[Deferred[Any]] = set()
        self._mean_block_length = float(INITIAL_BLOCK_LENGTH)
        self._closed = False

    def update_config(self, state: ConfigState) -> None:
        """Use the stores of a new configuration."""
        self._stores_by_id = dict(state.stores_by_id)
        self.links.retain(set(self._stores_by_id))
        for store_id in self._suspended_until.keys() - self._stores_by_id.keys():
            del self._suspended_until[store_id]

    async def refresh_status(self, deadline: float) -> None:
        """Update the links' bandwidths from the status of all stores."""
        for store in list(self._stores_by_id.values()):
            try:
                status = await self._stores.status(store, deadline=deadline)
            except ChivesaddleError as error:
                self._handle_store_failure(store, error)
                continue
            for tier, tier_status in status.tiers.items():
                self.links.set_reported_bandwidth(
                    LinkId(store.id, tier), tier_status.bytes_per_s
                )

    async def close(self) -> None:
        """Cancel the loads and saves in progress; their imports are discarded."""
        self._closed = True
        for running in list(self._in_progress):
            running.cancel()

    # Find

    async def find(
        self, scope: str, keys: Sequence[BlockKey], deadline: float
    ) -> StoredPrefix | None:
        """Return the longest stored prefix of ``keys``, or None.

        Looks up the whole prompt, then the longest prefix that this daemon has found or
        saved before, then the checkpoint depths by binary search. A store that fails is
        treated as having no prefix.
        """
        if not keys or self._closed:
            return None
        homes = home_stores(home_key(tuple(keys)), self._stores_by_id.values())
        best: StoredPrefix | None = None
        found_depth = 0
        known_depths = [
            d for d in range(1, len(keys)) if keys[d - 1] in self._known_prefixes
        ]
        for depth in [len(keys), *known_depths[-1:]]:
            best = await self._probe(homes, scope, keys, depth, deadline)
            if best is not None:
                found_depth = depth
                break
        depths = [d for d in checkpoint_depths(len(keys))[:-1] if d > found_depth]
        if found_depth == len(keys):
            depths = []
        while depths and self._clock.seconds() < deadline:
            middle = len(depths) // 2
            found = await self._probe(homes, scope, keys, depths[middle], deadline)
            best = found or best
            depths = depths[middle + 1 :] if found else depths[:middle]
        if best is not None:
            self._add_known_prefix(best.manifest.prefix_key)
        return best

    async def _probe(
        self,
        homes: Sequence[Store],
        scope: str,
        keys: Sequence[BlockKey],
        depth: int,
        deadline: float,
    ) -> StoredPrefix | None:
        manifests = await gatherResults(
            [
                start(self._fetch_manifest(s, scope, keys, depth, deadline))
                for s in homes
            ]
        )
        found = [
            self._stored_prefix(store, manifest)
            for store, manifest in zip(homes, manifests, strict=True)
            if manifest is not None
        ]
        return min(found, key=lambda prefix: prefix.predicted_load_s, default=None)

    async def _fetch_manifest(
        self,
        store: Store,
        scope: str,
        keys: Sequence[BlockKey],
        depth: int,
        deadline: float,
    ) -> Manifest | None:
        """Return the manifest of a prefix, or None if the store has none that fits."""
        now = self._clock.seconds()
        if now < self._suspended_until.get(store.id, now):
            return None
        try:
            manifest = await self._stores.get_manifest(
                store, keys[depth - 1], deadline=min(deadline, now + PROBE_TIMEOUT_S)
            )
        except NotInStore:
            return None
        except DeadlineExceeded as error:
            # Only the store can have caused this timeout, so it counts as unavailable.
            # A timeout elsewhere may come from an engine.
            self._handle_store_failure(store, StoreUnavailable(error.message))
            return None
        except ChivesaddleError as error:
            self._handle_store_failure(store, error)
            return None
        if manifest.scope != scope or manifest.keys != tuple(keys[:depth]):
            log.warning(
                "store %s has a manifest %s of another prefix",
                store.id,
                keys[depth - 1],
            )
            return None
        return manifest

    def _stored_prefix(self, store: Store, manifest: Manifest) -> StoredPrefix:
        link = LinkId(store.id, manifest.tier)
        block_length = manifest.length / len(manifest.blocks)
        return StoredPrefix(
            store,
            manifest,
            self.links.wait_s(link, interactive=True),
            block_length / self.links.bandwidth(link),
        )

    def _handle_store_failure(self, store: Store, error: ChivesaddleError) -> None:
        if isinstance(error, StoreUnavailable):
            self._suspended_until[store.id] = self._clock.seconds() + SUSPEND_S
        log.warning("KV operation with store %s failed: %s", store.id, error)

    # Load

    async def load(
        self,
        prefix: StoredPrefix,
        server: BackendServer,
        deadline: float,
        *,
        interactive: bool = True,
        cached_blocks: int = 0,
    ) -> LoadResult:
        """Import the blocks of ``prefix`` after the first ``cached_blocks``.

        The blocks are imported in parts that fit the link's window. Each part is
        verified and committed separately, so that a failure keeps the earlier parts.
        """
        first_block = loaded_blocks = min(cached_blocks, prefix.blocks)
        try:
            for part in self._split_into_parts(prefix, first_block):
                await self._run_cancellable(
                    self._import_part(prefix, part, server, deadline, interactive)
                )
                loaded_blocks += len(part)
        except ChivesaddleError as error:
            self._handle_store_failure(prefix.store, error)
            self._record_event(EventKind.KV_IMPORT_REJECTED, prefix, server, error.code)
            self._metrics.incr("kv.import.rejected")
            return LoadResult(loaded_blocks, error)
        self._record_event(EventKind.KV_IMPORTED, prefix, server)
        self._metrics.incr("kv.import.blocks", loaded_blocks - first_block)
        return LoadResult(loaded_blocks)

    def _split_into_parts(
        self, prefix: StoredPrefix, first: int
    ) -> Iterator[list[BlockRecord]]:
        link = LinkId(prefix.store_id, prefix.tier)
        part: list[BlockRecord] = []
        length = 0
        for block in prefix.manifest.blocks[first:]:
            if part and length + block.length > self.links.window_bytes(link):
                yield part
                part, length = [], 0
            part.append(block)
            length += block.length
        if part:
            yield part

    async def _import_part(
        self,
        prefix: StoredPrefix,
        part: list[BlockRecord],
        server: BackendServer,
        deadline: float,
        interactive: bool,
    ) -> None:
        """Stage, verify and commit one part; discard it if any step fails."""
        import_id = uuid.uuid4().hex
        try:
            await self._stage_part(
                prefix, part, server, import_id, deadline, interactive
            )
            await self._recheck_manifest(prefix, deadline)
            await self._call_engine(
                self._engine.commit_import(server.url, import_id, deadline),
                deadline,
                "commit of an import",
            )
        except BaseException:
            # BaseException includes cancellation. The discard has its own deadline and
            # isn't awaited, so that recomputing can begin at once.
            self._discard(server, import_id)
            raise

    async def _stage_part(
        self,
        prefix: StoredPrefix,
        part: list[BlockRecord],
        server: BackendServer,
        import_id: str,
        deadline: float,
        interactive: bool,
    ) -> None:
        keys = [block.key for block in part]
        length = sum(block.length for block in part)
        link = LinkId(prefix.store_id, prefix.tier)
        transfer = await self.links.acquire(
            link, length, interactive=interactive, deadline=deadline
        )
        moved_bytes, timed_out = None, False
        try:
            reported = await self._call_engine(
                self._engine.stage_import(
                    server.url,
                    import_id,
                    prefix.store.url,
                    prefix.manifest.scope,
                    keys,
                    deadline,
                ),
                deadline,
                "staging of an import",
            )
            check_staged_blocks(parse_blocks(reported, keys), part)
            moved_bytes = length
        except DeadlineExceeded:
            timed_out = True
            raise
        finally:
            self.links.release(transfer, moved_bytes=moved_bytes, timed_out=timed_out)

    async def _recheck_manifest(self, prefix: StoredPrefix, deadline: float) -> None:
        """Raise `BlocksMismatch` if the manifest's blocks changed during the import.

        A store that frees or replaces a block removes the manifests that list it, so
        this read then raises `NotInStore`.
        """
        current = await self._stores.get_manifest(
            prefix.store, prefix.manifest.prefix_key, deadline=deadline
        )
        if not current.same_blocks(prefix.manifest):
            raise BlocksMismatch(
                f"Manifest {prefix.manifest.prefix_key} changed during the import",
                remedy="The blocks are recomputed",
            )

    def _discard(self, server: BackendServer, import_id: str) -> None:
        deadline = self._clock.seconds() + DISCARD_TIMEOUT_S
        discarded = start(
            self._call_engine(
                self._engine.discard_import(server.url, import_id, deadline),
                deadline,
                "discard of an import",
            )
        )
        discarded.addErrback(log_failure(log, f"discard of import {import_id}"))

    # Save

    async def save(
        self, scope: str, keys: Sequence[BlockKey], server: BackendServer
    ) -> SaveResult:
        """Export the blocks of a prompt to its home stores.

        Only the blocks after the longest prefix found in a store are exported to it.
        Errors are returned per store; `ChivesaddleError` is never raised.
        """
        if not keys or self._closed or keys[-1] in self._saving_keys:
            return SaveResult()
        homes = home_stores(home_key(tuple(keys)), self._stores_by_id.values())
        if len(self._saving_keys) >= MAX_SAVES:
            busy = SavesBusy(f"{len(self._saving_keys)} prompts are being saved")
            return SaveResult((), {store.id: busy for store in homes})
        self._saving_keys.add(keys[-1])
        deadline = self._clock.seconds() + SAVE_TIMEOUT_S
        saved: list[StoreId] = []
        errors: dict[StoreId, ChivesaddleError] = {}
        try:
            for store in homes:
                try:
                    await self._run_cancellable(
                        self._save_to(store, scope, keys, server, deadline)
                    )
                    saved.append(store.id)
                except ChivesaddleError as error:
                    errors[store.id] = error
                    self._handle_store_failure(store, error)
                    self._metrics.incr("kv.export.failed")
        finally:
            self._saving_keys.discard(keys[-1])
        if saved:
            self._add_known_prefix(keys[-1])
            if self._events:
                self._events.record(
                    EventKind.KV_EXPORTED, object=keys[-1], stores=list(saved)
                )
        return SaveResult(tuple(saved), errors)

    async def _save_to(
        self,
        store: Store,
        scope: str,
        keys: Sequence[BlockKey],
        server: BackendServer,
        deadline: float,
    ) -> None:
        prior = await self._longest_stored_prefix(store, scope, keys, deadline)
        if prior is not None and len(prior.blocks) == len(keys):
            return
        if self._clock.seconds() < self._suspended_until.get(store.id, 0.0):
            raise StoreUnavailable(
                f"Store {store.id} failed less than {SUSPEND_S} s ago"
            )
        try:
            await self._export(store, scope, keys, server, deadline, prior)
        except ManifestRejected:
            if prior is None:
                raise
            # A block of the prior prefix was freed or replaced during the export.
            await self._export(store, scope, keys, server, deadline, None)

    async def _longest_stored_prefix(
        self, store: Store, scope: str, keys: Sequence[BlockKey], deadline: float
    ) -> Manifest | None:
        depths = {d for d in range(1, len(keys)) if keys[d - 1] in self._known_prefixes}
        for depth in sorted(depths | {*checkpoint_depths(len(keys))}, reverse=True):
            manifest = await self._fetch_manifest(store, scope, keys, depth, deadline)
            if manifest is not None:
                return manifest
        return None

    async def _export(
        self,
        store: Store,
        scope: str,
        keys: Sequence[BlockKey],
        server: BackendServer,
        deadline: float,
        prior: Manifest | None,
    ) -> None:
        """Push the missing blocks, then write the missing manifests, longest last."""
        records = list(prior.blocks) if prior else []
        prior_blocks = len(records)
        while len(records) < len(keys):
            records += await self._push_part(
                store, scope, keys[len(records) :], server, deadline
            )
        for depth in checkpoint_depths(len(keys)):
            if depth > prior_blocks:
                manifest = Manifest(
                    scope=scope,
                    blocks=tuple(records[:depth]),
                    tokens=depth * TOKENS_PER_BLOCK,
                )
                await self._stores.put_manifest(store, manifest, deadline=deadline)

    async def _push_part(
        self,
        store: Store,
        scope: str,
        keys: Sequence[BlockKey],
        server: BackendServer,
        deadline: float,
    ) -> tuple[BlockRecord, ...]:
        """Push as many leading blocks as fit the link's window, at least one."""
        link = LinkId(store.id, "memory")
        count = max(1, int(self.links.window_bytes(link) / self._mean_block_length))
        part = list(keys[:count])
        transfer = await self.links.acquire(
            link,
            int(len(part) * self._mean_block_length),
            interactive=False,
            deadline=deadline,
        )
        moved_bytes, timed_out = None, False
        try:
            reported = await self._call_engine(
                self._engine.export(server.url, store.url, scope, part, deadline),
                deadline,
                "export",
            )
            records = parse_blocks(reported, part)
            moved_bytes = sum(record.length for record in records)
        except DeadlineExceeded:
            timed_out = True
            raise
        finally:
            self.links.release(transfer, moved_bytes=moved_bytes, timed_out=timed_out)
        # Exponential moving average with a weight of 1/4.
        self._mean_block_length += (
            moved_bytes / len(part) - self._mean_block_length
        ) / 4
        return records

    # Helpers

    async def _call_engine(
        self, call: Coroutine[Any, Any, T], deadline: float, operation: str
    ) -> T:
        return await with_deadline(self._clock, deadline, call, operation)

    async def _run_cancellable(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Await a coroutine that `close` can cancel."""
        running = start(coroutine)
        self._in_progress.add(running)
        try:
            return await running
        finally:
            self._in_progress.discard(running)

    def _add_known_prefix(self, key: BlockKey) -> None:
        self._known_prefixes[key] = None
        self._known_prefixes.move_to_end(key)
        if len(self._known_prefixes) > MAX_KNOWN_PREFIXES:
            self._known_prefixes.popitem(last=False)

    def _record_event(
        self,
        kind: EventKind,
        prefix: StoredPrefix,
        server: BackendServer,
        reason: str = "",
    ) -> None:
        if self._events:
            self._events.record(
                kind,
                object=prefix.manifest.prefix_key,
                store=prefix.store_id,
                server=server.id,
                reason=reason,
            )


__all__ = [
    "EngineKvClient",
    "KvService",
    "LoadResult",
    "SaveResult",
    "SavesBusy",
    "StoredPrefix",
]
