"""What a request's prompt costs at a server, and which parts to move.

A part that the server lacks is fetched from a KV store that holds it whole, or else
from another server; otherwise the server reads it, and saves it to a store if there is
room. Fetching beats reading in time and in price while the link is not slow.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

from chivesaddle.cachemap.index import CacheIndex
from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import ZoneId
from chivesaddle.core.serving_model import EngineFigures, KvStore, PartId

PREFILL_TOKENS_PER_MS = 61.2
# Transfers between zones take twice as long.
OTHER_ZONE_FACTOR = 2.0
# Below this, reading costs less than the wait before a transfer.
MIN_MOVED_TOKENS = 64
# A save that was asked for is not repeated before its event could arrive.
SAVE_AGAIN_S = 5.0
# Part of a store's space that stays free, since several daemons save at once.
FILL_SHARE = 0.97
MAX_SAVES = 4_096


@dataclass(frozen=True, slots=True)
class PromptPlan:
    """How a prompt reaches a server.

    Attributes
    ----------
    read_tokens : int
        Tokens that the server has to read.
    shared_read_tokens : int
        Those of them that belong to parts which other requests share.
    transfer_ms : float
        Predicted time of transfers.
    fetch_from, save_to : tuple of str
        An address for each part, empty where nothing is moved.
    """

    read_tokens: int
    transfer_ms: float
    fetch_from: tuple[str, ...] = ()
    save_to: tuple[str, ...] = ()
    shared_read_tokens: int = 0


class Transfers:
    """Plans transfers of cached parts.

    Parameters
    ----------
    clock : Clock
        Clock of saves asked for.
    index : CacheIndex
        Who holds which parts.
    """

    def __init__(self, clock: Clock, index: CacheIndex) -> None:
        self._clock = clock
        self._index = index
        self._stores_by_address: dict[str, KvStore] = {}
        self._asked: dict[tuple[str, PartId], float] = {}

    def set_stores(self, stores: Mapping[str, KvStore]) -> None:
        """Use these stores, by address."""
        self._stores_by_address = dict(stores)

    def knows(self, address: str) -> bool:
        """Tell whether cache events of a holder are being read."""
        return self._index.is_known(address)

    def plan(
        self,
        parts: Sequence[tuple[PartId, int]],
        scope: str,
        address: str,
        zone: ZoneId,
        engine: EngineFigures,
        servers_by_address: Mapping[str, ZoneId],
        assumed: frozenset[PartId] = frozenset(),
    ) -> PromptPlan:
        """Plan a prompt at one server.

        Parameters
        ----------
        parts : sequence of (part, tokens)
            The prompt in order; the last part is the request's own.
        assumed : frozenset of PartId
            Parts that the server is about to hold.
        """
        fetch: list[str] = []
        save: list[str] = []
        read_tokens = 0
        transfer_ms = 0.0
        for part, tokens in parts[:-1]:
            key = (scope, part)
            source, ms = self._source(
                key, tokens, address, zone, engine, servers_by_address
            )
            fetch.append(source)
            if part in assumed or self._holds(address, key, tokens):
                # Nothing moves while the server keeps the part. If it evicts the part
                # before the request begins, it is fetched instead of read again.
                save.append("")
            elif source:
                transfer_ms += ms
                save.append("")
            else:
                read_tokens += tokens
                save.append(self._save_target(key, tokens))
        shared_read_tokens = read_tokens
        if parts:
            read_tokens += parts[-1][1]
            fetch.append("")
            save.append("")
        return PromptPlan(
            read_tokens, transfer_ms, tuple(fetch), tuple(save), shared_read_tokens
        )

    def record_saves(
        self, parts: Sequence[tuple[PartId, int]], scope: str, plan: PromptPlan
    ) -> None:
        """Note saves that a request asks for."""
        until = self._clock.seconds() + SAVE_AGAIN_S
        for (part, _), target in zip(parts, plan.save_to, strict=False):
            if target:
                self._asked[(scope, part)] = until
        while len(self._asked) > MAX_SAVES:
            del self._asked[next(iter(self._asked))]

    def _holds(self, address: str, key: tuple[str, PartId], tokens: int) -> bool:
        # Memory goes by blocks, so the last tokens of a part may not be kept.
        return self._index.tokens(address, key) > 0.9 * tokens

    def _source(
        self,
        key: tuple[str, PartId],
        tokens: int,
        address: str,
        zone: ZoneId,
        engine: EngineFigures,
        servers_by_address: Mapping[str, ZoneId],
    ) -> tuple[str, float]:
        """Return where to fetch a part from, and the time; empty to read it."""
        if tokens < MIN_MOVED_TOKENS:
            return "", 0.0
        read_ms = tokens / PREFILL_TOKENS_PER_MS
        best = ("", 2.0 * read_ms)
        for holder in self._index.holders(key):
            held = self._index.tokens(holder, key)
            if holder == address or held < 0.9 * tokens:
                continue
            store = self._stores_by_address.get(holder)
            if store is not None:
                link = min(store.link_mbit_s, engine.link_mbit_s)
                is_near, first_ms = store.zone == zone, store.first_s * 1_000
                source = f"{holder}/{held}"
            elif holder in servers_by_address:
                link, first_ms = engine.link_mbit_s, 0.0
                is_near = servers_by_address[holder] == zone
                source = holder
            else:
                continue
            ms = first_ms + held * engine.token_bytes * 8 / (link * 1_000.0)
            ms *= 1.0 if is_near else OTHER_ZONE_FACTOR
            if ms < best[1]:
                best = (source, ms)
        return best if best[0] else ("", 0.0)

    def _save_target(self, key: tuple[str, PartId], tokens: int) -> str:
        """Return the store to save a part to, the same on all daemons; or empty."""
        if tokens < MIN_MOVED_TOKENS:
            return ""
        if self._asked.get(key, 0.0) > self._clock.seconds():
            return ""
        with_room = [
            store
            for store in self._stores_by_address.values()
            if self._index.is_known(store.address)
            and self._index.used_tokens(store.address) + tokens
            <= FILL_SHARE * store.memory_tokens
        ]
        if not with_room:
            return ""
        return max(with_room, key=lambda store: _weight(key, store)).address


def _weight(key: tuple[str, PartId], store: KvStore) -> float:
    """Weighted rendezvous hashing: stores get parts in proportion to their space."""
    digest = xxhash.xxh3_64_intdigest(f"{key[0]}|{key[1]}|{store.address}".encode())
    return -store.memory_tokens / math.log((digest + 1) / (2**64 + 2))


__all__ = ["PREFILL_TOKENS_PER_MS", "PromptPlan", "Transfers"]
