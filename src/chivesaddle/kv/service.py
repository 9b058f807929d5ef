"""Finds, loads and saves the KV blocks of prompts."""

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
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.metrics import Metrics, NoMetrics
from chivesaddle.core.model import BackendServer, ConfigState, Store
from chivesaddle.kv.copies import home_stores
from chivesaddle.kv.identity import TOKENS_PER_BLOCK, checkpoint_depths, home_key
from chivesaddle.kv.link import LinkId, LinkScheduler
from chivesaddle.kv.manifests import (
    BlockRecord,
    BlocksMismatch,
    Manifest,
    check_staged,
    parse_blocks,
)
from chivesaddle.kv.store import (
    ManifestRejected,
    NotInStore,
    StoreClient,
    StoreUnavailable,
)

T = TypeVar("T")

SAVE_TIMEOUT_S = 30.0
DISCARD_TIMEOUT_S = 5.0
# A store in the region answers a manifest in about 2 ms; a silent one must not use up
# the first-token target of 0.36 s.
PROBE_TIMEOUT_S = 0.05
# A store that failed is not asked again for this long.
SUSPEND_S = 2.0
MAX_KNOWN_PREFIXES = 8_192
MAX_SAVES = 64
# Assumed length of a block before one was seen.
DEFAULT_BLOCK_LENGTH = 2 * 1024 * 1024

log = PartLogger("kv")


class EngineKv(Protocol):
    """What `engines.EngineClient` offers for KV blocks.

    The lists are the ``blocks`` of the engine's answers. Failures are
    `ChivesaddleError`.
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
        """Let the engine pull blocks from a store, without using them yet."""

    async def commit_import(self, url: str, import_id: str, deadline: float) -> None:
        """Let the engine use the staged blocks."""

    async def discard_import(self, url: str, import_id: str, deadline: float) -> None:
        """Let the engine drop the staged blocks."""

    async def export(
        self,
        url: str,
        target: str,
        cache_salt: str,
        block_keys: Sequence[BlockKey],
        deadline: float,
    ) -> Sequence[Any]:
        """Let the engine push blocks to a store."""


@dataclass(frozen=True, slots=True)
class StoredPrefix:
    """The longest committed prefix of a prompt and the predicted time to load it.

    ``wait_s`` is the wait for the link, ``block_s`` the transfer time of one block.
    """

    store: Store
    manifest: Manifest
    wait_s: float
    block_s: float

    @property
    def store_id(self) -> StoreId:
        """The store that holds it."""
        return self.store.id

    @property
    def tier(self) -> str:
        """The tier that holds it."""
        return self.manifest.tier

    @property
    def blocks(self) -> int:
        """Number of its blocks."""
        return len(self.manifest.blocks)

    @property
    def predicted_load_s(self) -> float:
        """Predicted seconds to load all blocks."""
        return self.wait_s + self.blocks * self.block_s


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Leading blocks that are committed on the server; the rest is recomputed.

    ``error`` says why it is fewer than the prefix has.
    """

    blocks: int
    error: ChivesaddleError | None = None


@dataclass(frozen=True, slots=True)
class SaveResult:
    """Stores that hold the prefix now, and why others do not."""

    store_ids: tuple[StoreId, ...] = ()
    errors_by_store_id: dict[StoreId, ChivesaddleError] = field(default_factory=dict)


class SavesBusy(ChivesaddleError):
    """Too many prompts are being saved; this one is not."""

    code = "saves_busy"
    status = 503


class KvService:
    """KV blocks in the stores, as one daemon uses them.

    Bytes flow between engine and store; this class orders and verifies. Every failure
    of a load means recomputing, never a wrong block. Holds at most 8,192 known prefix
    keys and 64 saves at a time.
    """

    def __init__(
        self,
        stores: StoreClient,
        engine: EngineKv,
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
        self._known: OrderedDict[BlockKey, None] = OrderedDict()
        self._saving: set[BlockKey] = set()
        self._running: set[Deferred[Any]] = set()
        self._block_length = float(DEFAULT_BLOCK_LENGTH)
        self._closed = False

    def update_config(self, state: ConfigState) -> None:
        """Take over the configured stores."""
        self._stores_by_id = dict(state.stores_by_id)
        self.links.retain(set(self._stores_by_id))
        for store_id in self._suspended_until.keys() - self._stores_by_id.keys():
            del self._suspended_until[store_id]

    async def refresh_status(self, deadline: float) -> None:
        """Read the links' bandwidths from all stores."""
        for store in list(self._stores_by_id.values()):
            try:
                status = await self._stores.status(store, deadline=deadline)
            except ChivesaddleError as error:
                self._note_failure(store, error)
                continue
            for tier, tier_status in status.tiers.items():
                self.links.report(LinkId(store.id, tier), tier_status.bytes_per_s)

    async def close(self) -> None:
        """Cancel everything in progress; imports in progress are discarded."""
        self._closed = True
        for running in list(self._running):
            running.cancel()

    # Find

    async def find(
        self, scope: str, keys: Sequence[BlockKey], deadline: float
    ) -> StoredPrefix | None:
        """Return the longest committed prefix of ``keys``, or None.

        Asks for the whole prompt, then for the longest prefix that this daemon knows,
        then searches the checkpoint depths. A store that fails counts as empty.
        """
        if not keys or self._closed:
            return None
        homes = home_stores(home_key(tuple(keys)), self._stores_by_id.values())
        best: StoredPrefix | None = None
        low = 0
        known = [d for d in range(1, len(keys)) if keys[d - 1] in self._known]
        for depth in [len(keys), *known[-1:]]:
            best = await self._probe(homes, scope, keys, depth, deadline)
            if best is not None:
                low = depth
                break
        depths = [d for d in checkpoint_depths(len(keys))[:-1] if d > low]
        if low == len(keys):
            depths = []
        while depths and self._clock.seconds() < deadline:
            middle = len(depths) // 2
            found = await self._probe(homes, scope, keys, depths[middle], deadline)
            best = found or best
            depths = depths[middle + 1 :] if found else depths[:middle]
        if best is not None:
            self._remember(best.manifest.prefix_key)
        return best

    async def _probe(
        self,
        homes: Sequence[Store],
        scope: str,
        keys: Sequence[BlockKey],
        depth: int,
        deadline: float,
    ) -> StoredPrefix | None:
        answers = await gatherResults(
            [start(self._manifest(s, scope, keys, depth, deadline)) for s in homes]
        )
        found = [
            self._predict(store, manifest)
            for store, manifest in zip(homes, answers, strict=True)
            if manifest is not None
        ]
        return min(found, key=lambda prefix: prefix.predicted_load_s, default=None)

    async def _manifest(
        self,
        store: Store,
        scope: str,
        keys: Sequence[BlockKey],
        depth: int,
        deadline: float,
    ) -> Manifest | None:
        """Return the manifest of a prefix if the store has the right one."""
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
            # Only here is the store alone to blame; other calls also wait for engines.
            self._note_failure(store, StoreUnavailable(error.message))
            return None
        except ChivesaddleError as error:
            self._note_failure(store, error)
            return None
        if manifest.scope != scope or manifest.keys != tuple(keys[:depth]):
            log.warning("store %s has a wrong manifest %s", store.id, keys[depth - 1])
            return None
        return manifest

    def _predict(self, store: Store, manifest: Manifest) -> StoredPrefix:
        link = LinkId(store.id, manifest.tier)
        block_length = manifest.length / len(manifest.blocks)
        return StoredPrefix(
            store,
            manifest,
            self.links.wait_s(link, interactive=True),
            block_length / self.links.bandwidth(link),
        )

    def _note_failure(self, store: Store, error: ChivesaddleError) -> None:
        if isinstance(error, StoreUnavailable):
            self._suspended_until[store.id] = self._clock.seconds() + SUSPEND_S
        log.warning("store %s: %s", store.id, error)

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

        The blocks go in parts that fit the link's bound; each part is verified and
        committed by itself, so that a failure keeps the parts before it.
        """
        done = min(cached_blocks, prefix.blocks)
        try:
            for part in self._parts(prefix, done):
                await self._tracked(
                    self._import(prefix, part, server, deadline, interactive)
                )
                done += len(part)
        except ChivesaddleError as error:
            self._note_failure(prefix.store, error)
            self._record(EventKind.KV_IMPORT_REJECTED, prefix, server, error.code)
            self._metrics.incr("kv.import.rejected")
            return LoadResult(done, error)
        self._record(EventKind.KV_IMPORTED, prefix, server)
        self._metrics.incr("kv.import.blocks", done - cached_blocks)
        return LoadResult(done)

    def _parts(self, prefix: StoredPrefix, first: int) -> Iterator[list[BlockRecord]]:
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

    async def _import(
        self,
        prefix: StoredPrefix,
        part: list[BlockRecord],
        server: BackendServer,
        deadline: float,
        interactive: bool,
    ) -> None:
        """Stage, verify and commit one part; discard it unless all of that succeeds."""
        import_id = uuid.uuid4().hex
        try:
            await self._stage(prefix, part, server, import_id, deadline, interactive)
            await self._check_manifest_again(prefix, deadline)
            await self._engine_call(
                self._engine.commit_import(server.url, import_id, deadline),
                deadline,
                "commit of an import",
            )
        except BaseException:
            # Also on cancellation. The discard has its own deadline and is not waited
            # for: the request is recomputed meanwhile.
            self._discard(server, import_id)
            raise

    async def _stage(
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
        moved, timed_out = None, False
        try:
            answer = await self._engine_call(
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
            check_staged(parse_blocks(answer, keys), part)
            moved = length
        except DeadlineExceeded:
            timed_out = True
            raise
        finally:
            self.links.release(transfer, moved=moved, timed_out=timed_out)

    async def _check_manifest_again(
        self, prefix: StoredPrefix, deadline: float
    ) -> None:
        """Raise unless the manifest is still the one that the import started from.

        A block that was freed or replaced during the transfer takes its manifest away.
        """
        again = await self._stores.get_manifest(
            prefix.store, prefix.manifest.prefix_key, deadline=deadline
        )
        if not again.same_blocks(prefix.manifest):
            raise BlocksMismatch(
                f"Manifest {prefix.manifest.prefix_key} changed during the import",
                remedy="The blocks are recomputed",
            )

    def _discard(self, server: BackendServer, import_id: str) -> None:
        deadline = self._clock.seconds() + DISCARD_TIMEOUT_S
        discarding = start(
            self._engine_call(
                self._engine.discard_import(server.url, import_id, deadline),
                deadline,
                "discard of an import",
            )
        )
        discarding.addErrback(log_failure(log, f"discard of import {import_id}"))

    # Save

    async def save(
        self, scope: str, keys: Sequence[BlockKey], server: BackendServer
    ) -> SaveResult:
        """Export the blocks of a prompt to its home stores.

        Only blocks after the longest prefix that a store already has are exported.
        Fails per store; never raises `ChivesaddleError`.
        """
        if not keys or self._closed or keys[-1] in self._saving:
            return SaveResult()
        homes = home_stores(home_key(tuple(keys)), self._stores_by_id.values())
        if len(self._saving) >= MAX_SAVES:
            busy = SavesBusy(f"{len(self._saving)} prompts are being saved")
            return SaveResult((), {store.id: busy for store in homes})
        self._saving.add(keys[-1])
        deadline = self._clock.seconds() + SAVE_TIMEOUT_S
        saved: list[StoreId] = []
        errors: dict[StoreId, ChivesaddleError] = {}
        try:
            for store in homes:
                try:
                    await self._tracked(
                        self._save_to(store, scope, keys, server, deadline)
                    )
                    saved.append(store.id)
                except ChivesaddleError as error:
                    errors[store.id] = error
                    self._note_failure(store, error)
                    self._metrics.incr("kv.export.failed")
        finally:
            self._saving.discard(keys[-1])
        if saved:
            self._remember(keys[-1])
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
        prior = await self._longest_in(store, scope, keys, deadline)
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
            # A block of the prior prefix was replaced meanwhile.
            await self._export(store, scope, keys, server, deadline, None)

    async def _longest_in(
        self, store: Store, scope: str, keys: Sequence[BlockKey], deadline: float
    ) -> Manifest | None:
        depths = {d for d in range(1, len(keys)) if keys[d - 1] in self._known}
        for depth in sorted(depths | {*checkpoint_depths(len(keys))}, reverse=True):
            manifest = await self._manifest(store, scope, keys, depth, deadline)
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
        """Push the missing blocks, then write the manifests, the longest last."""
        records = list(prior.blocks) if prior else []
        known = len(records)
        while len(records) < len(keys):
            records += await self._push(
                store, scope, keys[len(records) :], server, deadline
            )
        for depth in checkpoint_depths(len(keys)):
            if depth > known:
                manifest = Manifest(
                    scope=scope,
                    blocks=tuple(records[:depth]),
                    tokens=depth * TOKENS_PER_BLOCK,
                )
                await self._stores.put_manifest(store, manifest, deadline=deadline)

    async def _push(
        self,
        store: Store,
        scope: str,
        keys: Sequence[BlockKey],
        server: BackendServer,
        deadline: float,
    ) -> tuple[BlockRecord, ...]:
        """Push as many leading blocks as fit the link's bound, at least one."""
        link = LinkId(store.id, "memory")
        count = max(1, int(self.links.window_bytes(link) / self._block_length))
        part = list(keys[:count])
        transfer = await self.links.acquire(
            link,
            int(len(part) * self._block_length),
            interactive=False,
            deadline=deadline,
        )
        moved, timed_out = None, False
        try:
            answer = await self._engine_call(
                self._engine.export(server.url, store.url, scope, part, deadline),
                deadline,
                "export",
            )
            records = parse_blocks(answer, part)
            moved = sum(record.length for record in records)
        except DeadlineExceeded:
            timed_out = True
            raise
        finally:
            self.links.release(transfer, moved=moved, timed_out=timed_out)
        self._block_length += (moved / len(part) - self._block_length) / 4
        return records

    # Shared

    async def _engine_call(
        self, call: Coroutine[Any, Any, T], deadline: float, what: str
    ) -> T:
        return await with_deadline(self._clock, deadline, call, what)

    async def _tracked(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Await a coroutine that `close` cancels."""
        running = start(coroutine)
        self._running.add(running)
        try:
            return await running
        finally:
            self._running.discard(running)

    def _remember(self, key: BlockKey) -> None:
        self._known[key] = None
        self._known.move_to_end(key)
        if len(self._known) > MAX_KNOWN_PREFIXES:
            self._known.popitem(last=False)

    def _record(
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
    "EngineKv",
    "KvService",
    "LoadResult",
    "SaveResult",
    "SavesBusy",
    "StoredPrefix",
]
