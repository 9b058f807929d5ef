"""Restores missing replicas by copying blocks from one home store to the other.

The store protocol has no copy operation, so each block passes through this daemon, one
at a time. Repair never deletes: the store protocol gives no proof that a block or
manifest is orphaned, and stores evict unused blocks themselves.
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
from chivesaddle.core.logs import ComponentLogger
from chivesaddle.core.model import Store
from chivesaddle.kv.identity import checkpoint_depths, home_key
from chivesaddle.kv.link import LinkId, LinkScheduler
from chivesaddle.kv.manifests import BlockRecord, BlocksMismatch, Manifest
from chivesaddle.kv.pacing import Pace, copy_rate, round_deadline
from chivesaddle.kv.replicas import home_stores
from chivesaddle.kv.store import NotInStore, StoreClient

PAGE_SIZE = 100
# Missing replicas collected in one round; later rounds find the others.
MAX_MISSING_REPLICAS = 4_096
CALL_TIMEOUT_S = 5.0
LEASE_POLL_S = 1.0
ROUND_PAUSE_S = 30.0
# Pause after each page of manifests, to limit the load that a scan puts on the stores.
PAGE_PAUSE_S = 0.05

log = ComponentLogger("repair")


class Lease(Protocol):
    """The part of `objects.Lease` that repair uses."""

    def is_held_at(self, now: float) -> bool:
        """Return whether this process holds the lease at ``now``."""


class LeaseLost(ChivesaddleError):
    """The lease was lost during a round."""

    code = "lease_lost"


@dataclass(frozen=True, slots=True)
class MissingReplica:
    """A prefix that the store ``source`` has and its home store ``target`` lacks."""

    source: Store
    target: Store
    prefix_key: BlockKey
    blocks: int
    length: int


@dataclass(slots=True)
class RoundResult:
    """Counts of one round of repair."""

    manifests_read: int = 0
    copied: int = 0
    copied_bytes: int = 0
    failed: int = 0


class Repair:
    """Periodic task that one daemon runs, the holder of lease ``repair/{region}``.

    A round starts only while the lease is held, and the lease is checked before every
    write. Memory holds one page of manifests, one block and at most 4,096 missing
    replicas, plus those found on the last page.
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
        self._task: Deferred[Any] | None = None

    def start(self) -> None:
        """Start the task."""
        self._task = start(self._run())
        self._task.addErrback(log_failure(log, "repair task ended"))

    def stop(self) -> None:
        """Cancel the task; blocks copied without their manifest are never used."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _run(self) -> None:
        while True:
            pause_s = LEASE_POLL_S
            if self._lease.is_held_at(self._clock.seconds()):
                try:
                    await self.run_round()
                    pause_s = ROUND_PAUSE_S
                except ChivesaddleError as error:
                    log.warning("repair round aborted: %s", error)
            await sleep_until(self._clock, self._clock.seconds() + pause_s)

    async def run_round(self) -> RoundResult:
        """Scan the manifests of all stores once and copy the missing replicas.

        Raises
        ------
        LeaseLost
            If the lease was lost; its next holder copies the rest.
        """
        result = RoundResult()
        deadline = round_deadline(self._pace, self._clock.seconds())
        # Short prefixes first: longer prefixes of the same prompt reuse their blocks.
        missing = sorted(
            await self._scan(result), key=lambda m: (m.blocks, m.prefix_key)
        )
        remaining_bytes = sum(replica.length for replica in missing)
        for replica in missing:
            try:
                copied_bytes = await self._copy_prefix(
                    replica, remaining_bytes, deadline
                )
                result.copied += 1
                result.copied_bytes += copied_bytes
            except LeaseLost:
                raise
            except ChivesaddleError as error:
                result.failed += 1
                log.warning("copying prefix %s failed: %s", replica.prefix_key, error)
            remaining_bytes -= replica.length
        return result

    async def _scan(self, result: RoundResult) -> list[MissingReplica]:
        missing: OrderedDict[tuple[str, str], MissingReplica] = OrderedDict()
        for source in self._configured_stores():
            after = ""
            while len(missing) < MAX_MISSING_REPLICAS:
                self._check_lease()
                try:
                    page = await self._stores.list_manifests(
                        source,
                        after=after,
                        limit=PAGE_SIZE,
                        deadline=self._call_deadline(),
                    )
                except ChivesaddleError as error:
                    log.warning(
                        "listing manifests of store %s failed: %s", source.id, error
                    )
                    break
                # Without the second check, a store that repeats a page would be read
                # forever.
                if not page or page[-1].prefix_key <= after:
                    break
                for manifest in page:
                    result.manifests_read += 1
                    await self._add_missing_replicas(source, manifest, missing)
                after = page[-1].prefix_key
                await sleep_until(self._clock, self._clock.seconds() + PAGE_PAUSE_S)
        return list(missing.values())

    async def _add_missing_replicas(
        self,
        source: Store,
        manifest: Manifest,
        missing: OrderedDict[tuple[str, str], MissingReplica],
    ) -> None:
        homes = home_stores(home_key(manifest.keys), self._configured_stores())
        for target in homes:
            key = (target.id, manifest.prefix_key)
            if target.id == source.id or key in missing:
                continue
            try:
                await self._stores.get_manifest(
                    target, manifest.prefix_key, deadline=self._call_deadline()
                )
            except NotInStore:
                missing[key] = MissingReplica(
                    source,
                    target,
                    manifest.prefix_key,
                    len(manifest.blocks),
                    manifest.length,
                )
            except ChivesaddleError as error:
                # A failed call does not show that the store lacks the manifest.
                log.warning(
                    "reading a manifest from store %s failed: %s", target.id, error
                )

    async def _copy_prefix(
        self, replica: MissingReplica, remaining_bytes: int, deadline: float
    ) -> int:
        """Copy the missing blocks, write the manifest, return the bytes copied."""
        manifest = await self._stores.get_manifest(
            replica.source, replica.prefix_key, deadline=self._call_deadline()
        )
        records = await self._existing_records(replica.target, manifest)
        copied_bytes = 0
        for block in manifest.blocks[len(records) :]:
            await self._throttle(
                replica, block.length, remaining_bytes - copied_bytes, deadline
            )
            records.append(await self._copy_block(replica, manifest, block))
            copied_bytes += block.length
        self._check_lease()
        await self._stores.put_manifest(
            replica.target,
            manifest.model_copy(update={"blocks": tuple(records)}),
            deadline=self._call_deadline(),
        )
        if self._events:
            self._events.record(
                EventKind.KV_REPAIRED,
                object=replica.prefix_key,
                source=replica.source.id,
                target=replica.target.id,
            )
        return copied_bytes

    async def _existing_records(
        self, target: Store, manifest: Manifest
    ) -> list[BlockRecord]:
        """Return the block records of the longest prefix that the target has."""
        keys = manifest.keys
        for depth in reversed(checkpoint_depths(len(keys))[:-1]):
            try:
                prior = await self._stores.get_manifest(
                    target, keys[depth - 1], deadline=self._call_deadline()
                )
            except NotInStore:
                continue
            prefix = manifest.model_copy(update={"blocks": manifest.blocks[:depth]})
            if prior.same_content(prefix):
                return list(prior.blocks)
        return []

    async def _copy_block(
        self, replica: MissingReplica, manifest: Manifest, block: BlockRecord
    ) -> BlockRecord:
        transfer = await self._links.acquire(
            LinkId(replica.source.id, manifest.tier),
            block.length,
            interactive=False,
            deadline=self._call_deadline(),
        )
        moved_bytes = None
        try:
            stored = await self._stores.get_block(
                replica.source, block.key, deadline=self._call_deadline()
            )
            moved_bytes = len(stored.data)
        finally:
            self._links.release(transfer, moved_bytes=moved_bytes)
        if (len(stored.data), stored.checksum, stored.generation) != (
            block.length,
            block.checksum,
            block.generation,
        ):
            raise BlocksMismatch(
                f"Block {block.key} in store {replica.source.id} differs from its "
                "manifest"
            )
        self._check_lease()
        generation = await self._stores.put_block(
            replica.target, block.key, stored.data, deadline=self._call_deadline()
        )
        return block.model_copy(update={"generation": generation})

    async def _throttle(
        self,
        replica: MissingReplica,
        length: int,
        remaining_bytes: int,
        deadline: float,
    ) -> None:
        link = LinkId(replica.source.id, "memory")
        now = self._clock.seconds()
        bytes_per_s = copy_rate(
            self._pace,
            remaining_bytes=remaining_bytes,
            deadline=deadline,
            now=now,
            bandwidth=self._links.bandwidth(link),
            utilisation=self._links.utilisation(link),
        )
        await sleep_until(self._clock, now + length / bytes_per_s)
        self._check_lease()

    def _check_lease(self) -> None:
        if not self._lease.is_held_at(self._clock.seconds()):
            raise LeaseLost("The repair lease is no longer held")

    def _call_deadline(self) -> float:
        return self._clock.seconds() + CALL_TIMEOUT_S


__all__ = ["Lease", "LeaseLost", "MissingReplica", "Repair", "RoundResult"]
