"""Copies missing second replicas between stores.

Stores have no call to copy from each other, so each block passes through this daemon,
one at a time. Repair never deletes: nothing in the store protocol proves that a block
or manifest is orphaned, and stores evict by themselves.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from chivesaddle.core.aio import Clock, log_failure, sleep_until, start
from chivesaddle.core.errors import ChivesaddleError
from chivesaddle.core.events import EventKind, EventRing
from chivesaddle.core.ids import BlockKey
from chivesaddle.core.logs import PartLogger
from chivesaddle.core.model import Store
from chivesaddle.kv.copies import home_stores
from chivesaddle.kv.identity import checkpoint_depths, home_key
from chivesaddle.kv.link import LinkId, LinkScheduler
from chivesaddle.kv.manifests import BlockRecord, BlocksMismatch, Manifest
from chivesaddle.kv.pacing import Pace, deadline_of_round, rate
from chivesaddle.kv.store import NotInStore, StoreClient

PAGE_SIZE = 100
# Missing copies noted in one round; the next round finds the others.
MAX_MISSING = 4_096
CALL_TIMEOUT_S = 5.0
LEASE_POLL_S = 1.0
ROUND_PAUSE_S = 30.0
# Pause after each page, so that a scan of all manifests does not load the stores.
PAGE_PAUSE_S = 0.05

log = PartLogger("repair")


class Lease(Protocol):
    """What repair needs of `platform.Lease`."""

    def held_at(self, now: float) -> bool:
        """Tell whether this process holds the lease."""


class LeaseLost(ChivesaddleError):
    """The lease ended during a round."""

    code = "lease_lost"


@dataclass(frozen=True, slots=True)
class MissingCopy:
    """A manifest that one of its home stores lacks."""

    source: Store
    target: Store
    prefix_key: BlockKey
    blocks: int
    length: int


@dataclass(slots=True)
class RoundResult:
    """What one round of repair did."""

    manifests_seen: int = 0
    copied: int = 0
    copied_bytes: int = 0
    failed: int = 0


class Repair:
    """The singleton task under lease ``repair/{region}``.

    Acts only while the lease is held and checks it before every write. Holds one page
    of manifests, one block, and at most 4,096 missing copies.
    """

    def __init__(
        self,
        lease: Lease,
        stores: StoreClient,
        links: LinkScheduler,
        clock: Clock,
        pace: Pace,
        configured_stores: Callable[[], tuple[Store, ...]],
        *,
        events: EventRing | None = None,
    ) -> None:
        self._lease = lease
        self._stores = stores
        self._links = links
        self._clock = clock
        self._pace = pace
        self._configured_stores = configured_stores
        self._events = events
        self._running: Deferred[Any] | None = None

    def start(self) -> None:
        """Start the task."""
        self._running = start(self._run())
        self._running.addErrback(log_failure(log, "repair ended"))

    def stop(self) -> None:
        """Stop the task at once; a copy without its manifest is never used."""
        if self._running is not None:
            self._running.cancel()
            self._running = None

    async def _run(self) -> None:
        while True:
            pause_s = LEASE_POLL_S
            if self._lease.held_at(self._clock.seconds()):
                try:
                    await self.run_round()
                    pause_s = ROUND_PAUSE_S
                except ChivesaddleError as error:
                    log.warning("round ended early: %s", error)
            await sleep_until(self._clock, self._clock.seconds() + pause_s)

    async def run_round(self) -> RoundResult:
        """Walk all manifests once and copy what is missing.

        Raises
        ------
        LeaseLost
            If the lease ended; the rest is left to the next holder.
        """
        result = RoundResult()
        deadline = deadline_of_round(self._pace, self._clock.seconds())
        # Short prefixes first: longer ones of the same prompt then reuse their blocks.
        missing = sorted(
            await self._scan(result), key=lambda m: (m.blocks, m.prefix_key)
        )
        remaining = sum(copy.length for copy in missing)
        for copy in missing:
            try:
                copied = await self._copy(copy, remaining, deadline)
                result.copied += 1
                result.copied_bytes += copied
            except LeaseLost:
                raise
            except ChivesaddleError as error:
                result.failed += 1
                log.warning("copy of %s failed: %s", copy.prefix_key, error)
            remaining -= copy.length
        return result

    async def _scan(self, result: RoundResult) -> list[MissingCopy]:
        missing: OrderedDict[tuple[str, str], MissingCopy] = OrderedDict()
        for source in self._configured_stores():
            after = ""
            while len(missing) < MAX_MISSING:
                self._check_lease()
                try:
                    page = await self._stores.list_manifests(
                        source, after=after, limit=PAGE_SIZE, deadline=self._soon()
                    )
                except ChivesaddleError as error:
                    log.warning("store %s cannot be read: %s", source.id, error)
                    break
                # A store that repeats a page would otherwise be read forever.
                if not page or page[-1].prefix_key <= after:
                    break
                for manifest in page:
                    result.manifests_seen += 1
                    await self._note_missing(source, manifest, missing)
                after = page[-1].prefix_key
                await sleep_until(self._clock, self._clock.seconds() + PAGE_PAUSE_S)
        return list(missing.values())

    async def _note_missing(
        self,
        source: Store,
        manifest: Manifest,
        missing: OrderedDict[tuple[str, str], MissingCopy],
    ) -> None:
        homes = home_stores(home_key(manifest.keys), self._configured_stores())
        for target in homes:
            key = (target.id, manifest.prefix_key)
            if target.id == source.id or key in missing:
                continue
            try:
                await self._stores.get_manifest(
                    target, manifest.prefix_key, deadline=self._soon()
                )
            except NotInStore:
                missing[key] = MissingCopy(
                    source,
                    target,
                    manifest.prefix_key,
                    len(manifest.blocks),
                    manifest.length,
                )
            except ChivesaddleError as error:
                # A store that does not answer is not known to lack anything.
                log.warning("store %s cannot be asked: %s", target.id, error)

    async def _copy(self, copy: MissingCopy, remaining: int, deadline: float) -> int:
        """Copy the blocks that the target lacks, then write its manifest."""
        manifest = await self._stores.get_manifest(
            copy.source, copy.prefix_key, deadline=self._soon()
        )
        records = await self._prior_records(copy.target, manifest)
        copied = 0
        for block in manifest.blocks[len(records) :]:
            await self._keep_pace(copy, block.length, remaining - copied, deadline)
            records.append(await self._copy_block(copy, manifest, block))
            copied += block.length
        self._check_lease()
        await self._stores.put_manifest(
            copy.target,
            manifest.model_copy(update={"blocks": tuple(records)}),
            deadline=self._soon(),
        )
        if self._events:
            self._events.record(
                EventKind.KV_REPAIRED,
                object=copy.prefix_key,
                source=copy.source.id,
                target=copy.target.id,
            )
        return copied

    async def _prior_records(
        self, target: Store, manifest: Manifest
    ) -> list[BlockRecord]:
        """Return the records of the longest prefix that the target has already."""
        keys = manifest.keys
        for depth in reversed(checkpoint_depths(len(keys))[:-1]):
            try:
                prior = await self._stores.get_manifest(
                    target, keys[depth - 1], deadline=self._soon()
                )
            except NotInStore:
                continue
            prefix = manifest.model_copy(update={"blocks": manifest.blocks[:depth]})
            if prior.same_content(prefix):
                return list(prior.blocks)
        return []

    async def _copy_block(
        self, copy: MissingCopy, manifest: Manifest, block: BlockRecord
    ) -> BlockRecord:
        transfer = await self._links.acquire(
            LinkId(copy.source.id, manifest.tier),
            block.length,
            interactive=False,
            deadline=self._soon(),
        )
        moved = None
        try:
            found = await self._stores.get_block(
                copy.source, block.key, deadline=self._soon()
            )
            moved = len(found.data)
        finally:
            self._links.release(transfer, moved=moved)
        if (len(found.data), found.checksum, found.generation) != (
            block.length,
            block.checksum,
            block.generation,
        ):
            raise BlocksMismatch(
                f"Block {block.key} of store {copy.source.id} differs from its manifest"
            )
        self._check_lease()
        generation = await self._stores.put_block(
            copy.target, block.key, found.data, deadline=self._soon()
        )
        return block.model_copy(update={"generation": generation})

    async def _keep_pace(
        self, copy: MissingCopy, length: int, remaining: int, deadline: float
    ) -> None:
        link = LinkId(copy.source.id, "memory")
        now = self._clock.seconds()
        bytes_per_s = rate(
            self._pace,
            remaining_bytes=remaining,
            deadline=deadline,
            now=now,
            bandwidth=self._links.bandwidth(link),
            utilisation=self._links.utilisation(link),
        )
        await sleep_until(self._clock, now + length / bytes_per_s)
        self._check_lease()

    def _check_lease(self) -> None:
        if not self._lease.held_at(self._clock.seconds()):
            raise LeaseLost("The repair lease is no longer held")

    def _soon(self) -> float:
        return self._clock.seconds() + CALL_TIMEOUT_S


__all__ = ["Lease", "LeaseLost", "MissingCopy", "Repair", "RoundResult"]
