"""State machine of the fake engine: queue, batches, streams, cache, load reports."""

import bisect
import itertools
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

from chivesaddle.core.aio import Clock, Signal
from chivesaddle.standins.blocks import (
    BLOCK_TOKENS,
    block_keys,
    payload,
    token_count,
)
from chivesaddle.standins.engine_models import LoadedModels
from chivesaddle.standins.errors import Rejected
from chivesaddle.standins.faults import EngineFaults
from chivesaddle.standins.prefix_cache import CacheEventLog, PrefixCache
from chivesaddle.standins.text import TextSource, count_generated_tokens

# Load reports are kept this long, the maximum of the fault switch ``load_lag_s``.
LOAD_HISTORY_S = 60.0


@dataclass(frozen=True)
class EngineConfig:
    """Size and speed of an engine.

    Attributes
    ----------
    prefill_tokens_per_s : float
        Prompt tokens prefilled per second; one prompt is prefilled at a time.
    decode_tokens_per_s : float
        Tokens generated per second in each running stream.
    max_running, max_queued : int
        Maximum numbers of running and of queued requests.
    cache_blocks : int
        Capacity of the prefix cache in blocks.
    events_lag_s, load_lag_s : float
        Delay until cache events are visible, and age of load reports.
    retention_s : float
        Time for which a finished stream can be resumed.
    """

    prefill_tokens_per_s: float = 20_000.0
    decode_tokens_per_s: float = 100.0
    max_running: int = 8
    max_queued: int = 64
    cache_blocks: int = 1_024
    events_lag_s: float = 0.2
    load_lag_s: float = 0.2
    retention_s: float = 60.0


@dataclass(frozen=True)
class Completion:
    """A completion request; ``max_tokens`` excludes those of ``resume_text``."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    weight_version: str = ""
    adapter: str = ""
    cache_salt: str = ""
    priority: int = 0
    resume_text: str = ""
    chat: bool = False


class StreamState(Enum):
    """State of a stream."""

    QUEUED = "queued"
    PREFILLING = "prefilling"
    DECODING = "decoding"
    FINISHED = "finished"
    CANCELLED = "cancelled"


class Stream:
    """State of one request and the tokens generated for it so far.

    Attributes
    ----------
    tokens : list of str
        Tokens generated so far; the first has the index ``first_index``.
    first_index : int
        Number of tokens in the request's ``resume_text``.
    cached_tokens : int
        Prompt tokens whose KV data came from the cache.
    changed : Signal
        Set after each token and when the stream ends.
    """

    def __init__(self, completion: Completion, arrival_number: int) -> None:
        self.completion = completion
        self.queue_key = (completion.priority, arrival_number)
        self.state = StreamState.QUEUED
        self.tokens: list[str] = []
        self.first_index = count_generated_tokens(completion.resume_text)
        self.prompt_tokens = token_count(completion.prompt)
        self.cached_tokens = 0
        self.changed = Signal()
        self.text_source: TextSource | None = None

    @property
    def end_index(self) -> int:
        """Index that the next token will have."""
        return self.first_index + len(self.tokens)

    @property
    def has_ended(self) -> bool:
        """Whether the stream is finished or cancelled."""
        return self.state in (StreamState.FINISHED, StreamState.CANCELLED)

    @property
    def context_tokens(self) -> int:
        """Tokens that prefill computes if no block is cached."""
        return self.prompt_tokens + self.first_index

    def usage(self) -> dict[str, Any]:
        """Return token counts in the format of the OpenAI API."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.end_index,
            "total_tokens": self.prompt_tokens + self.end_index,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }


class EngineCore:
    """Engine with continuous batching that runs on the given clock.

    Requests are queued by priority, then by arrival. At most ``max_running`` requests
    run at a time, and one of them is prefilled at a time; each running stream decodes
    at a fixed rate.

    Parameters
    ----------
    on_crash : callable
        Called when prefill starts for a prompt that contains the crash marker.
    """

    def __init__(
        self,
        clock: Clock,
        config: EngineConfig,
        models: LoadedModels,
        on_crash: Callable[[], None],
    ) -> None:
        self.clock = clock
        self.config = config
        self.models = models
        self.faults = EngineFaults()
        self.events = CacheEventLog(clock, config.events_lag_s, self.faults)
        self.cache = PrefixCache(config.cache_blocks, self.events)
        self.streams_by_id: dict[str, Stream] = {}
        self.counters: Counter[str] = Counter()
        self._on_crash = on_crash
        self._arrival_numbers = itertools.count()
        self._queue: list[Stream] = []
        self._running: list[Stream] = []
        self._prefilling: Stream | None = None
        self._suspended_calls: list[Callable[[], None]] = []
        self._load_history: deque[tuple[float, dict[str, Any]]] = deque()
        self._record_load()

    def set_faults(self, faults: EngineFaults) -> None:
        """Replace all fault switches; clearing ``frozen`` runs the suspended calls."""
        self.faults = self.events.faults = faults
        if not faults.frozen:
            suspended_calls, self._suspended_calls = self._suspended_calls, []
            for call in suspended_calls:
                call()
        self._record_load()

    def submit(self, completion: Completion) -> Stream:
        """Queue a request.

        For a known request id, its stream is returned instead of a new one, unless it
        was cancelled.

        Raises
        ------
        Rejected
            503 if draining, 404 for an unknown model or adapter, 409 if the version is
            not loaded or the request id is in use with another cache salt, 429 if the
            queue is full.
        InvalidValue
            If the cache salt is not hexadecimal.
        """
        if self.faults.draining:
            raise Rejected(503, "draining", "The engine is draining", retry_after_s=1)
        version = self.models.resolve(
            completion.model, completion.weight_version, completion.adapter
        )
        block_keys(completion.cache_salt, b"")  # raises if the salt is invalid
        existing = self.streams_by_id.get(completion.request_id)
        if existing and existing.completion.cache_salt != completion.cache_salt:
            raise Rejected(
                409,
                "request_id_in_use",
                f"Request id {completion.request_id} is in use with another cache salt",
            )
        if existing and existing.state is not StreamState.CANCELLED:
            return existing
        if len(self._queue) >= self.config.max_queued:
            raise Rejected(
                429,
                "engine_full",
                f"{len(self._queue)} requests are waiting",
                retry_after_s=1,
            )
        stream = Stream(
            replace(completion, weight_version=version), next(self._arrival_numbers)
        )
        self.streams_by_id[completion.request_id] = stream
        bisect.insort(self._queue, stream, key=lambda queued: queued.queue_key)
        self.counters["requests"] += 1
        self._start_next_request()
        return stream

    def find_stream(self, request_id: str, cache_salt: str) -> Stream:
        """Return the stream of a request and cache salt; raises `Rejected` 404."""
        stream = self.streams_by_id.get(request_id)
        if stream is None or stream.completion.cache_salt != cache_salt:
            raise Rejected(404, "unknown_stream", f"No stream {request_id}")
        return stream

    def cancel(self, request_id: str, cache_salt: str) -> None:
        """Cancel a stream and remove it; raises `Rejected` 404."""
        stream = self.find_stream(request_id, cache_salt)
        if not stream.has_ended:
            self.counters["cancelled"] += 1
        self._end_stream(stream, StreamState.CANCELLED)
        del self.streams_by_id[request_id]

    def load(self) -> dict[str, Any]:
        """Return the load report as of ``load_lag_s`` ago."""
        lag_s = self.faults.load_lag_s
        lag_s = self.config.load_lag_s if lag_s is None else lag_s
        as_of = self.clock.seconds() - lag_s
        report = self._load_history[0][1]
        for recorded_at, recorded in self._load_history:
            if recorded_at > as_of:
                break
            report = recorded
        return {**report, "age_ms": round(lag_s * 1_000)}

    def _record_load(self) -> None:
        now = self.clock.seconds()
        queued = [*self._queue, *([self._prefilling] if self._prefilling else [])]
        report = {
            "running": len(self._running),
            "queued": len(self._queue),
            "max_running": self.config.max_running,
            "prefill_tokens_per_s": self.config.prefill_tokens_per_s,
            "decode_tokens_per_s": self.config.decode_tokens_per_s,
            "queued_prefill_tokens": sum(stream.context_tokens for stream in queued),
            "state": "draining" if self.faults.draining else "serving",
        }
        history = self._load_history
        history.append((now, report))
        while len(history) > 1 and history[1][0] < now - LOAD_HISTORY_S:
            history.popleft()

    def _schedule(self, delay_s: float, call: Callable[[], None]) -> None:
        def run_unless_frozen() -> None:
            if self.faults.frozen:
                self._suspended_calls.append(call)
            else:
                call()

        self.clock.callLater(delay_s * self.faults.slowdown, run_unless_frozen)

    def _start_next_request(self) -> None:
        if (
            self._prefilling is None
            and self._queue
            and len(self._running) < self.config.max_running
        ):
            self._start_prefill(self._queue.pop(0))
        self._record_load()

    def _start_prefill(self, stream: Stream) -> None:
        completion = stream.completion
        marker = self.faults.crash_marker
        if marker and marker in completion.prompt + completion.resume_text:
            self._on_crash()
        keys = block_keys(completion.cache_salt, completion.prompt.encode())
        cached_payloads = self.cache.match_prefix(completion.cache_salt, keys)
        stream.cached_tokens = len(cached_payloads) * BLOCK_TOKENS
        wrong_payloads = b"".join(
            cached_payload
            for key, cached_payload in zip(keys, cached_payloads, strict=False)
            if cached_payload != payload(key, completion.weight_version)
        )
        stream.text_source = TextSource(
            completion.model,
            completion.weight_version,
            completion.adapter,
            completion.prompt + completion.resume_text,
            wrong_payloads,
        )
        stream.state = StreamState.PREFILLING
        self._prefilling = stream
        self._running.append(stream)
        computed = max(0, stream.context_tokens - stream.cached_tokens)
        self.counters["prompt_tokens"] += stream.context_tokens
        self.counters["computed_prompt_tokens"] += computed
        self._schedule(
            computed / self.config.prefill_tokens_per_s,
            lambda: self._finish_prefill(stream, keys, cached_payloads),
        )

    def _finish_prefill(
        self, stream: Stream, keys: list, cached_payloads: list[bytes]
    ) -> None:
        self._prefilling = None
        completion = stream.completion
        # Blocks that were evicted during prefill are stored again with the payload that
        # was read from the cache.
        computed = [payload(key, completion.weight_version) for key in keys]
        payloads = cached_payloads + computed[len(cached_payloads) :]
        self.cache.store(completion.cache_salt, zip(keys, payloads, strict=True))
        if stream.state is StreamState.PREFILLING:
            stream.state = StreamState.DECODING
            self._generate_token(stream)
        self._start_next_request()

    def _generate_token(self, stream: Stream) -> None:
        if stream.state is not StreamState.DECODING:
            return
        assert stream.text_source is not None
        stream.tokens.append(stream.text_source.next_token())
        self.counters["generated_tokens"] += 1
        stream.changed.set()
        if len(stream.tokens) >= stream.completion.max_tokens:
            self._end_stream(stream, StreamState.FINISHED)
        else:
            self._schedule(
                1 / self.config.decode_tokens_per_s,
                lambda: self._generate_token(stream),
            )

    def _end_stream(self, stream: Stream, state: StreamState) -> None:
        if stream.has_ended:
            return
        stream.state = state
        if stream in self._queue:
            self._queue.remove(stream)
        if stream in self._running:
            self._running.remove(stream)
        stream.changed.set()
        self.clock.callLater(self.config.retention_s, self._remove_stream, stream)
        self._start_next_request()

    def _remove_stream(self, stream: Stream) -> None:
        if self.streams_by_id.get(stream.completion.request_id) is stream:
            del self.streams_by_id[stream.completion.request_id]


__all__ = ["Completion", "EngineConfig", "EngineCore", "Stream", "StreamState"]
