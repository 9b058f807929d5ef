"""Simulated model engine: batching, chunked prefill, KV cache memory and its link."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from chivesaddle.cachemap.transfers import PREFILL_TOKENS_PER_MS
from chivesaddle.core.aio import Clock
from chivesaddle.core.serving_model import PromptPartId


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Published figures of Kursuskoda's engines; times in milliseconds.

    Attributes
    ----------
    slots : int
        Requests that run at once.
    memory_tokens : int
        Tokens of KV cache that fit into memory.
    step_ms, step_ms_per_request, step_ms_per_1000_tokens : float
        Time of one decoding step: fixed, for each running request, and for each 1,000
        tokens that they hold in memory.
    prefill_tokens_per_ms : float
        Prefill rate without the time for attention.
    attention_ms_per_million_pairs : float
        Attention time of prefill, for each million pairs of prompt tokens.
    chunk_tokens : int
        Prompt tokens that one step prefills at most.
    link_tokens_per_ms : float
        Rate at which a part is fetched from a KV store.
    """

    slots: int = 64
    memory_tokens: int = 99_503
    step_ms: float = 3.37
    step_ms_per_request: float = 0.0109
    step_ms_per_1000_tokens: float = 0.0034
    prefill_tokens_per_ms: float = PREFILL_TOKENS_PER_MS
    attention_ms_per_million_pairs: float = 0.324
    chunk_tokens: int = 2_048
    # 260 Gbit/s with 163.84 KB of KV cache a token.
    link_tokens_per_ms: float = 198.0


@dataclass(eq=False, slots=True)
class EngineRequest:
    """A request that was sent to an engine.

    Attributes
    ----------
    part : PromptPartId
        Part of the prompt that other requests share.
    shared_tokens, own_tokens : int
        Prompt tokens of that part, and those of this request alone.
    output_tokens : int
        Tokens that it will generate.
    rank : int
        0 is most urgent.
    on_first_token, on_finished : callable
        Called at the first token, and at the last one.
    is_fetched : bool
        Whether the shared part is fetched from a KV store.
    tokens_to_prefill, prefilled_tokens : int
        Prompt tokens that are still to be prefilled, and those that are in the cache.
    output_tokens_done : int
        Tokens generated so far.
    fetch_done_at : float
        When the fetch of its shared part is complete.
    """

    part: PromptPartId
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    rank: int
    on_first_token: Callable[[], None]
    on_finished: Callable[[], None]
    is_fetched: bool = False
    tokens_to_prefill: int = 0
    prefilled_tokens: int = 0
    output_tokens_done: int = 0
    fetch_done_at: float = 0.0

    @property
    def own_memory_tokens(self) -> int:
        """Memory that it uses besides the shared part, in tokens."""
        return self.own_tokens + self.output_tokens_done


@dataclass(slots=True)
class EngineCounts:
    """Prompt tokens that an engine prefilled.

    Attributes
    ----------
    prefilled_tokens : int
        All of them.
    recomputed_tokens : int
        Those of shared parts that the engine had held before.
    known_parts : set of PromptPartId
        Shared parts that the engine has held.
    """

    prefilled_tokens: int = 0
    recomputed_tokens: int = 0
    known_parts: set[PromptPartId] = field(default_factory=set)


class SimulatedEngine:
    """One engine on a virtual clock.

    Parameters
    ----------
    clock : Clock
        Virtual clock.
    figures : EngineSpec
        Speeds and sizes.
    on_cache_change : callable
        Called with a part and its tokens when it is cached, or 0 when it is evicted.
    """

    def __init__(
        self,
        clock: Clock,
        figures: EngineSpec,
        on_cache_change: Callable[[PromptPartId, int], None],
    ) -> None:
        self._clock = clock
        self.figures = figures
        self._on_cache_change = on_cache_change
        self.waiting: list[EngineRequest] = []
        self.running: list[EngineRequest] = []
        self._cached_parts: OrderedDict[PromptPartId, int] = OrderedDict()
        self._users_by_part: dict[PromptPartId, int] = {}
        self._link_free_at = 0.0
        self._is_step_scheduled = False
        self.counts = EngineCounts()

    def submit(self, request: EngineRequest) -> None:
        """Queue a request; the fetch of its shared part starts at once."""
        now = self._clock.seconds()
        if request.is_fetched and request.part not in self._cached_parts:
            transfer_s = request.shared_tokens / self.figures.link_tokens_per_ms / 1_000
            self._link_free_at = max(now, self._link_free_at) + transfer_s
            request.fetch_done_at = self._link_free_at
            self._clock.callLater(self._link_free_at - now, self._finish_fetch, request)
        self.waiting.append(request)
        self.waiting.sort(key=lambda waiting: waiting.rank)
        self._schedule_step()

    def cancel(self, request: EngineRequest) -> None:
        """Remove a request whose caller disconnected."""
        if request in self.waiting:
            self.waiting.remove(request)
        elif request in self.running:
            self._remove_running(request)

    def _finish_fetch(self, request: EngineRequest) -> None:
        if request in self.waiting and self._evict_until_free(request.shared_tokens):
            self._cache_part(request.part, request.shared_tokens)
        self._schedule_step()

    def _schedule_step(self) -> None:
        if not self._is_step_scheduled:
            self._is_step_scheduled = True
            self._clock.callLater(0, self._step)

    def _step(self) -> None:
        self._admit()
        if not self.running:
            self._is_step_scheduled = False
            return
        figures = self.figures
        chunk_tokens_left = figures.chunk_tokens
        step_ms_total = 0.0
        for request in self.running:
            chunk = min(chunk_tokens_left, request.tokens_to_prefill)
            if chunk:
                chunk_tokens_left -= chunk
                request.tokens_to_prefill -= chunk
                token_pairs = chunk * (request.prefilled_tokens + chunk / 2)
                request.prefilled_tokens += chunk
                step_ms_total += chunk / figures.prefill_tokens_per_ms
                step_ms_total += (
                    figures.attention_ms_per_million_pairs * token_pairs / 1e6
                )
                self.counts.prefilled_tokens += chunk
        tokens = sum(
            request.own_memory_tokens + request.shared_tokens
            for request in self.running
        )
        step_ms_total += figures.step_ms + figures.step_ms_per_request * len(
            self.running
        )
        step_ms_total += figures.step_ms_per_1000_tokens * tokens / 1_000
        self._clock.callLater(step_ms_total / 1_000, self._finish_step)

    def _finish_step(self) -> None:
        for request in list(self.running):
            if request.tokens_to_prefill:
                continue
            if request.output_tokens_done == 0:
                if request.part not in self._cached_parts:
                    self._cache_part(request.part, request.shared_tokens)
                request.on_first_token()
            request.output_tokens_done += 1
            if (
                request.output_tokens_done >= request.output_tokens
                and request in self.running
            ):
                self._remove_running(request)
                request.on_finished()
        self._step()

    def _admit(self) -> None:
        now = self._clock.seconds()
        for request in list(self.waiting):
            if len(self.running) >= self.figures.slots:
                return
            if request.fetch_done_at > now:
                continue
            is_cached = request.part in self._cached_parts
            needed_tokens = request.own_tokens + request.output_tokens
            needed_tokens += 0 if is_cached else request.shared_tokens
            # Marks the part as used, so that it is not evicted for its own request.
            self._users_by_part[request.part] = (
                self._users_by_part.get(request.part, 0) + 1
            )
            if not self._evict_until_free(needed_tokens):
                self._release_part(request.part)
                # Requests behind one that does not fit wait as well, even smaller ones.
                return
            self.waiting.remove(request)
            request.prefilled_tokens = request.shared_tokens if is_cached else 0
            request.tokens_to_prefill = request.own_tokens + (
                0 if is_cached else request.shared_tokens
            )
            if is_cached:
                self._cached_parts.move_to_end(request.part)
            elif request.part in self.counts.known_parts:
                self.counts.recomputed_tokens += request.shared_tokens
            self.counts.known_parts.add(request.part)
            self.running.append(request)

    def _remove_running(self, request: EngineRequest) -> None:
        self.running.remove(request)
        self._release_part(request.part)

    def _release_part(self, part: PromptPartId) -> None:
        self._users_by_part[part] -= 1
        if not self._users_by_part[part]:
            del self._users_by_part[part]

    def _cache_part(self, part: PromptPartId, tokens: int) -> None:
        self._cached_parts[part] = tokens
        self._cached_parts.move_to_end(part)
        self._on_cache_change(part, tokens)

    def _evict_until_free(self, needed_tokens: int) -> bool:
        """Evict unused parts until ``needed_tokens`` fit; return whether they do."""
        reserved_tokens = sum(
            request.own_tokens + request.output_tokens for request in self.running
        )
        # Parts that running requests are still prefilling are not in the cache yet.
        prefilling_tokens = sum(
            request.shared_tokens
            for request in self.running
            if request.part not in self._cached_parts
        )
        free_tokens = self.figures.memory_tokens - reserved_tokens - prefilling_tokens
        free_tokens -= sum(self._cached_parts.values())
        for part in list(self._cached_parts):
            if free_tokens >= needed_tokens:
                break
            if part not in self._users_by_part:
                tokens = self._cached_parts.pop(part)
                free_tokens += tokens
                self._on_cache_change(part, 0)
        return free_tokens >= needed_tokens


__all__ = ["EngineRequest", "EngineSpec", "SimulatedEngine"]
