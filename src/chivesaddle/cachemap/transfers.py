"""Plans the transfers of prompt parts, and predicts what a prompt costs at a server.

A part that the server lacks is fetched from a KV store or another server that holds it
whole, whichever is faster. Otherwise the server reads it, which means that it computes
the prefill, and saves it to a store with space for it. Fetching takes less time and
costs less than reading unless the link is slow.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

from chivesaddle.cachemap.index import CacheIndex, PartKey
from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import ZoneId
from chivesaddle.core.serving_model import EngineSpec, KvStore, PromptPartId

PREFILL_TOKENS_PER_MS = 61.2
# Transfers between zones take twice as long.
CROSS_ZONE_TIME_FACTOR = 2.0
# For smaller parts, reading costs less than the wait before a transfer.
MIN_TRANSFER_TOKENS = 64
# A requested save is not requested again before its cache event could arrive.
SAVE_RETRY_S = 5.0
# Fill limit of a store; the rest stays free because several daemons save at once.
MAX_STORE_FILL_RATIO = 0.97
MAX_PENDING_SAVES = 4_096


@dataclass(frozen=True, slots=True)
class PromptPlan:
    """Reads and transfers of a prompt at one server.

    Attributes
    ----------
    read_tokens : int
        Tokens that the server has to read, that is, to prefill.
    shared_read_tokens : int
        Tokens among these of parts that other requests share.
    transfer_ms : float
        Predicted time of the transfers.
    fetch_from, save_to : tuple of str
        One address per part, empty if the part is not transferred.
    """

    read_tokens: int
    transfer_ms: float
    fetch_from: tuple[str, ...] = ()
    save_to: tuple[str, ...] = ()
    shared_read_tokens: int = 0


@dataclass(frozen=True, slots=True)
class PartSource:
    """A holder from which servers can fetch a part.

    Attributes
    ----------
    reference : str
        How a server is told to fetch from it.
    fetch_ms : float
        Predicted time of the transfer to a server in the same zone.
    """

    address: str
    reference: str
    zone: ZoneId
    fetch_ms: float


class TransferPlanner:
    """Plans transfers of cached parts.

    Parameters
    ----------
    clock : Clock
        Clock that limits repeated saves.
    index : CacheIndex
        Holders of the parts.
    """

    def __init__(self, clock: Clock, index: CacheIndex) -> None:
        self._clock = clock
        self._index = index
        self._stores_by_address: dict[str, KvStore] = {}
        self._pending_saves: dict[tuple[str, PromptPartId], float] = {}

    def set_stores(self, stores: Mapping[str, KvStore]) -> None:
        """Replace the stores to use, by address."""
        self._stores_by_address = dict(stores)

    def knows(self, address: str) -> bool:
        """Return whether a holder has a recent view in the index."""
        return self._index.is_known(address)

    def plan(
        self,
        parts: Sequence[tuple[PromptPartId, int]],
        scope: str,
        address: str,
        zone: ZoneId,
        engine: EngineSpec,
        zone_by_server_address: Mapping[str, ZoneId],
        assumed_parts: frozenset[PromptPartId] = frozenset(),
        sources_by_key: dict[PartKey, tuple[PartSource, ...]] | None = None,
    ) -> PromptPlan:
        """Plan the transfers of a prompt for one server.

        Parameters
        ----------
        parts : sequence of (part, tokens)
            The prompt in order; the last part is the request's own.
        assumed_parts : frozenset of PromptPartId
            Parts that the server is about to hold.
        sources_by_key : dict or None
            Sources found by earlier calls for the same prompt, which differ in the
            server only; this call adds those that are missing.
        """
        known_sources = {} if sources_by_key is None else sources_by_key
        fetch: list[str] = []
        save: list[str] = []
        read_tokens = 0
        transfer_ms = 0.0
        for part, tokens in parts[:-1]:
            key = (scope, part)
            if key not in known_sources:
                known_sources[key] = self._find_sources(
                    key, tokens, engine, zone_by_server_address
                )
            source, fetch_ms = _choose_source(known_sources[key], tokens, address, zone)
            fetch.append(source)
            if part in assumed_parts or self._holds(address, key, tokens):
                # Nothing is transferred while the server holds the part. The source is
                # still set, so that the part is fetched instead of read if the server
                # evicts it before the request starts.
                save.append("")
            elif source:
                transfer_ms += fetch_ms
                save.append("")
            else:
                read_tokens += tokens
                save.append(self._choose_save_target(key, tokens))
        shared_read_tokens = read_tokens
        if parts:
            read_tokens += parts[-1][1]
            fetch.append("")
            save.append("")
        return PromptPlan(
            read_tokens, transfer_ms, tuple(fetch), tuple(save), shared_read_tokens
        )

    def record_saves(
        self, parts: Sequence[tuple[PromptPartId, int]], scope: str, plan: PromptPlan
    ) -> None:
        """Record the saves that a request is sent with."""
        retry_at = self._clock.seconds() + SAVE_RETRY_S
        for (part, _), target in zip(parts, plan.save_to, strict=False):
            if target:
                self._pending_saves[(scope, part)] = retry_at
        while len(self._pending_saves) > MAX_PENDING_SAVES:
            del self._pending_saves[next(iter(self._pending_saves))]

    def _holds(self, address: str, key: tuple[str, PromptPartId], tokens: int) -> bool:
        # Memory is allocated in blocks, so the last tokens of a part may not be cached.
        return self._index.tokens(address, key) > 0.9 * tokens

    def _find_sources(
        self,
        key: tuple[str, PromptPartId],
        tokens: int,
        engine: EngineSpec,
        zone_by_server_address: Mapping[str, ZoneId],
    ) -> tuple[PartSource, ...]:
        """Return the holders from which a part can be fetched as a whole."""
        sources = []
        for holder in self._index.holders(key):
            held_tokens = self._index.tokens(holder, key)
            if held_tokens < 0.9 * tokens:
                continue
            store = self._stores_by_address.get(holder)
            if store is not None:
                link_mbit_s = min(store.link_mbit_s, engine.link_mbit_s)
                zone, first_ms = store.zone, store.initial_latency_s * 1_000
                reference = f"{holder}/{held_tokens}"
            elif holder in zone_by_server_address:
                link_mbit_s, first_ms = engine.link_mbit_s, 0.0
                zone, reference = zone_by_server_address[holder], holder
            else:
                continue
            fetch_ms = first_ms + held_tokens * engine.token_bytes * 8 / (
                link_mbit_s * 1_000.0
            )
            sources.append(PartSource(holder, reference, zone, fetch_ms))
        return tuple(sources)

    def _choose_save_target(self, key: tuple[str, PromptPartId], tokens: int) -> str:
        """Return the store to save a part to, or empty; all daemons choose the same."""
        if tokens < MIN_TRANSFER_TOKENS:
            return ""
        if self._pending_saves.get(key, 0.0) > self._clock.seconds():
            return ""
        stores_with_space = [
            store
            for store in self._stores_by_address.values()
            if self._index.is_known(store.address)
            and self._index.used_tokens(store.address) + tokens
            <= MAX_STORE_FILL_RATIO * store.memory_tokens
        ]
        if not stores_with_space:
            return ""
        return max(
            stores_with_space, key=lambda store: _rendezvous_score(key, store)
        ).address


def _choose_source(
    sources: Sequence[PartSource], tokens: int, address: str, zone: ZoneId
) -> tuple[str, float]:
    """Return the fastest source and its time; empty if the server reads the part.

    A fetch may take up to twice the time of reading.
    """
    if tokens < MIN_TRANSFER_TOKENS:
        return "", 0.0
    best = ("", 2.0 * tokens / PREFILL_TOKENS_PER_MS)
    for source in sources:
        if source.address == address:
            continue
        factor = 1.0 if source.zone == zone else CROSS_ZONE_TIME_FACTOR
        fetch_ms = factor * source.fetch_ms
        if fetch_ms < best[1]:
            best = (source.reference, fetch_ms)
    return best if best[0] else ("", 0.0)


def _rendezvous_score(key: tuple[str, PromptPartId], store: KvStore) -> float:
    """Weighted rendezvous hashing: stores get parts in proportion to their size."""
    digest = xxhash.xxh3_64_intdigest(f"{key[0]}|{key[1]}|{store.address}".encode())
    return -store.memory_tokens / math.log((digest + 1) / (2**64 + 2))


__all__ = ["PREFILL_TOKENS_PER_MS", "PromptPlan", "TransferPlanner"]
