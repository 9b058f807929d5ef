"""Plans the transfers of prompt parts, and predicts what a prompt costs at a server.

A part that the server lacks is fetched from a KV store or another server that holds it
whole, whichever is faster. Otherwise the server reads it, which means that it computes
the prefill, and saves it to a store with space for it. Fetching takes less time and
costs less than reading unless the link is slow.
"""

import math
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import TypeVar

import xxhash

from chivesaddle.cachemap.index import CacheIndex, PartKey
from chivesaddle.cachemap.sources import (
    MIN_TRANSFER_TOKENS,
    PREFILL_TOKENS_PER_MS,
    Fetch,
    PartSource,
    PartSources,
)
from chivesaddle.core.aio import Clock
from chivesaddle.core.ids import ZoneId
from chivesaddle.core.serving_model import EngineSpec, KvStore, PromptPartId

# A requested save is not requested again before its cache event could arrive.
SAVE_RETRY_S = 5.0
# Fill limit of a store; the rest stays free because several daemons save at once.
MAX_STORE_FILL_RATIO = 0.97
MAX_PENDING_SAVES = 4_096
# Parts whose sources or store order are remembered between requests.
MAX_REMEMBERED_PARTS = 1_024


Key = TypeVar("Key")
Value = TypeVar("Value")


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


class _Part:
    """A shared part of a prompt in one cache scope, and what is known of it."""

    __slots__ = ("holders", "id", "min_held_tokens", "sources", "tokens")

    def __init__(
        self,
        id: PromptPartId,
        tokens: int,
        holders: Mapping[str, int],
        sources: PartSources,
    ) -> None:
        self.id = id
        self.tokens = tokens
        self.holders = holders
        self.sources = sources
        # Memory is allocated in blocks, so the last tokens may not be cached.
        self.min_held_tokens = 0.9 * tokens


class _ZonePlans:
    """Plans of one prompt at the servers of one zone in one cache scope.

    Attributes
    ----------
    source_addresses : frozenset of str
        Servers that are the fastest source of a part for their zone, and have to fetch
        it from another one.
    by_held_parts : dict
        Plans at all other servers, by the parts that they hold: bit ``n`` stands for
        part ``n``.
    """

    __slots__ = ("by_held_parts", "source_addresses")

    def __init__(self, parts: Sequence[_Part], zone: ZoneId) -> None:
        self.source_addresses = frozenset(
            [part.sources.best_address(zone) for part in parts]
        )
        self.by_held_parts: dict[int, PromptPlan] = {}


class PromptTransfers:
    """Plans one prompt at the servers of a service, all at the same time.

    Servers whose transfers are the same share one plan: those that hold the same parts
    differ only in their zone, unless they are the source of a part.
    """

    def __init__(
        self,
        planner: "TransferPlanner",
        parts: Sequence[tuple[PromptPartId, int]],
        engine: EngineSpec,
        zone_by_server_address: Mapping[str, ZoneId],
    ) -> None:
        self._planner = planner
        self._parts = parts
        self._engine = engine
        self._zones = zone_by_server_address
        self._parts_by_scope: dict[str, list[_Part]] = {}
        self._plans: dict[tuple[str, tuple[tuple[bool, Fetch], ...]], PromptPlan] = {}
        self._plans_by_zone: dict[tuple[str, ZoneId], _ZonePlans] = {}

    def plan(
        self,
        scope: str,
        address: str,
        zone: ZoneId,
        assumed_parts: frozenset[PromptPartId] = frozenset(),
    ) -> PromptPlan:
        """Plan the transfers for one server; see `TransferPlanner.plan`."""
        parts = self._parts_by_scope.get(scope)
        if parts is None:
            parts = self._parts_by_scope[scope] = self._planner.find_parts(
                self._parts[:-1], scope, self._engine, self._zones
            )
        zone_plans = self._plans_by_zone.get((scope, zone))
        if zone_plans is None:
            zone_plans = _ZonePlans(parts, zone)
            self._plans_by_zone[(scope, zone)] = zone_plans
        held, bit = 0, 1
        for part in parts:
            if (
                part.id in assumed_parts
                or part.holders.get(address, 0) > part.min_held_tokens
            ):
                held |= bit
            bit <<= 1
        if address in zone_plans.source_addresses:
            return self._plan_transfers(scope, parts, held, address, zone)
        plan = zone_plans.by_held_parts.get(held)
        if plan is None:
            plan = self._plan_transfers(scope, parts, held, address, zone)
            zone_plans.by_held_parts[held] = plan
        return plan

    def _plan_transfers(
        self,
        scope: str,
        parts: Sequence[_Part],
        held: int,
        address: str,
        zone: ZoneId,
    ) -> PromptPlan:
        transfers = tuple(
            [
                (bool(held & 1 << number), part.sources.choose(address, zone))
                for number, part in enumerate(parts)
            ]
        )
        plan = self._plans.get((scope, transfers))
        if plan is None:
            plan = self._build_plan(scope, parts, transfers)
            self._plans[(scope, transfers)] = plan
        return plan

    def _build_plan(
        self,
        scope: str,
        parts: Sequence[_Part],
        transfers: Sequence[tuple[bool, Fetch]],
    ) -> PromptPlan:
        fetch: list[str] = []
        save: list[str] = []
        read_tokens = 0
        transfer_ms = 0.0
        for part, (is_held, (source, fetch_ms)) in zip(parts, transfers, strict=True):
            fetch.append(source)
            target = ""
            # Nothing is transferred while the server holds the part. The source is
            # still set, so that the part is fetched instead of read if the server
            # evicts it before the request starts.
            if not is_held and source:
                transfer_ms += fetch_ms
            elif not is_held:
                read_tokens += part.tokens
                target = self._planner.choose_save_target((scope, part.id), part.tokens)
            save.append(target)
        shared_read_tokens = read_tokens
        if self._parts:
            read_tokens += self._parts[-1][1]
            fetch.append("")
            save.append("")
        return PromptPlan(
            read_tokens, transfer_ms, tuple(fetch), tuple(save), shared_read_tokens
        )


@dataclass(frozen=True, slots=True)
class _KnownSources:
    """Sources of a part, and what they were found from."""

    holders: Mapping[str, int]
    engine: EngineSpec
    zone_by_server_address: Mapping[str, ZoneId]
    sources: PartSources


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
        self._sources_by_part: OrderedDict[tuple[PartKey, int], _KnownSources] = (
            OrderedDict()
        )
        self._store_order_by_part: OrderedDict[PartKey, list[KvStore]] = OrderedDict()

    def set_stores(self, stores: Mapping[str, KvStore]) -> None:
        """Replace the stores to use, by address."""
        self._stores_by_address = dict(stores)
        self._sources_by_part.clear()
        self._store_order_by_part.clear()

    def knows(self, address: str) -> bool:
        """Return whether a holder has a recent view in the index."""
        return self._index.is_known(address)

    def for_prompt(
        self,
        parts: Sequence[tuple[PromptPartId, int]],
        engine: EngineSpec,
        zone_by_server_address: Mapping[str, ZoneId],
    ) -> PromptTransfers:
        """Return a plan of one prompt at many servers, for use at the current time.

        Parameters
        ----------
        parts : sequence of (part, tokens)
            The prompt in order; the last part is the request's own.
        zone_by_server_address : mapping
            Servers from which parts can be fetched. It must not be modified: sources
            are remembered for the same object.
        """
        return PromptTransfers(self, parts, engine, zone_by_server_address)

    def plan(
        self,
        parts: Sequence[tuple[PromptPartId, int]],
        scope: str,
        address: str,
        zone: ZoneId,
        engine: EngineSpec,
        zone_by_server_address: Mapping[str, ZoneId],
        assumed_parts: frozenset[PromptPartId] = frozenset(),
    ) -> PromptPlan:
        """Plan the transfers of a prompt for one server.

        Parameters
        ----------
        parts : sequence of (part, tokens)
            The prompt in order; the last part is the request's own.
        assumed_parts : frozenset of PromptPartId
            Parts that the server is about to hold.
        """
        prompt = self.for_prompt(parts, engine, dict(zone_by_server_address))
        return prompt.plan(scope, address, zone, assumed_parts)

    def find_parts(
        self,
        parts: Sequence[tuple[PromptPartId, int]],
        scope: str,
        engine: EngineSpec,
        zone_by_server_address: Mapping[str, ZoneId],
    ) -> list[_Part]:
        """Return holders and sources of shared parts."""
        found = []
        for id, tokens in parts:
            key = (scope, id)
            holders = self._index.tokens_by_holder(key)
            sources = self._find_sources(
                key, tokens, holders, engine, zone_by_server_address
            )
            found.append(_Part(id, tokens, holders, sources))
        return found

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

    def _find_sources(
        self,
        key: PartKey,
        tokens: int,
        holders: Mapping[str, int],
        engine: EngineSpec,
        zone_by_server_address: Mapping[str, ZoneId],
    ) -> PartSources:
        """Return the holders from which a part can be fetched as a whole."""
        known = self._sources_by_part.get((key, tokens))
        if (
            known is not None
            and known.holders is holders
            and known.engine is engine
            and known.zone_by_server_address is zone_by_server_address
        ):
            return known.sources
        sources = PartSources(
            tokens,
            self._list_sources(tokens, holders, engine, zone_by_server_address),
        )
        _remember(
            self._sources_by_part,
            (key, tokens),
            _KnownSources(holders, engine, zone_by_server_address, sources),
        )
        return sources

    def _list_sources(
        self,
        tokens: int,
        holders: Mapping[str, int],
        engine: EngineSpec,
        zone_by_server_address: Mapping[str, ZoneId],
    ) -> list[PartSource]:
        sources = []
        for holder, held_tokens in holders.items():
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
        return sources

    def choose_save_target(self, key: PartKey, tokens: int) -> str:
        """Return the store to save a part to, or empty; all daemons choose the same."""
        if tokens < MIN_TRANSFER_TOKENS:
            return ""
        if self._pending_saves.get(key, 0.0) > self._clock.seconds():
            return ""
        for store in self._stores_in_order(key):
            if (
                self._index.is_known(store.address)
                and self._index.used_tokens(store.address) + tokens
                <= MAX_STORE_FILL_RATIO * store.memory_tokens
            ):
                return store.address
        return ""

    def _stores_in_order(self, key: PartKey) -> list[KvStore]:
        """Return the stores, the best one for a part first."""
        order = self._store_order_by_part.get(key)
        if order is None:
            order = sorted(
                self._stores_by_address.values(),
                key=lambda store: _rendezvous_score(key, store),
                reverse=True,
            )
            _remember(self._store_order_by_part, key, order)
        return order


def _remember(known: OrderedDict[Key, Value], key: Key, value: Value) -> None:
    known[key] = value
    known.move_to_end(key)
    while len(known) > MAX_REMEMBERED_PARTS:
        known.popitem(last=False)


def _rendezvous_score(key: tuple[str, PromptPartId], store: KvStore) -> float:
    """Weighted rendezvous hashing: stores get parts in proportion to their size."""
    digest = xxhash.xxh3_64_intdigest(f"{key[0]}|{key[1]}|{store.address}".encode())
    return -store.memory_tokens / math.log((digest + 1) / (2**64 + 2))


__all__ = ["PREFILL_TOKENS_PER_MS", "PromptPlan", "PromptTransfers", "TransferPlanner"]
