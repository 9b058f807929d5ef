"""Model engine by its published figures: batch, chunked prefill, memory, links."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from chivesaddle.cachemap.transfers import PREFILL_TOKENS_PER_MS
from chivesaddle.core.aio import Clock
from chivesaddle.core.serving_model import PartId


@dataclass(frozen=True, slots=True)
class EngineFigures:
    """Figures of Kursuskoda's engines; times in milliseconds."""

    slots: int = 64
    memory_tokens: int = 99_503
    step_ms: float = 3.37
    step_ms_per_run: float = 0.0109
    step_ms_per_1000_tokens: float = 0.0034
    read_tokens_per_ms: float = PREFILL_TOKENS_PER_MS
    # Attention over pairs of prompt tokens, for each million.
    pairs_ms: float = 0.324
    chunk_tokens: int = 2_048
    # 260 Gbit/s at 163.84 KB a token.
    link_tokens_per_ms: float = 198.0


@dataclass(eq=False, slots=True)
class Run:
    """A request at an engine.

    Attributes
    ----------
    to_read : int
        Prompt tokens that are still to be read.
    fetched_at : float
        When its transfers are complete.
    """

    part: PartId
    shared_tokens: int
    own_tokens: int
    out_tokens: int
    rank: int
    on_first: Callable[[], None]
    on_end: Callable[[], None]
    fetch: bool = False
    to_read: int = 0
    read: int = 0
    made: int = 0
    fetched_at: float = 0.0

    @property
    def own_memory(self) -> int:
        """Memory besides the shared part."""
        return self.own_tokens + self.made


@dataclass(slots=True)
class EngineCounts:
    """Tokens read, and those of shared parts that the engine had read before."""

    read: int = 0
    read_again: int = 0
    seen: set[PartId] = field(default_factory=set)


class ModelEngine:
    """One engine on a virtual clock.

    Parameters
    ----------
    clock : Clock
        Virtual clock.
    figures : EngineFigures
        What the engine can do.
    on_part : callable
        Told of each part that is cached now (tokens) or was evicted (0).
    """

    def __init__(
        self,
        clock: Clock,
        figures: EngineFigures,
        on_part: Callable[[PartId, int], None],
    ) -> None:
        self._clock = clock
        self.figures = figures
        self._on_part = on_part
        self.waiting: list[Run] = []
        self.running: list[Run] = []
        self._cached: OrderedDict[PartId, int] = OrderedDict()
        self._users: dict[PartId, int] = {}
        self._link_free_at = 0.0
        self._is_stepping = False
        self.counts = EngineCounts()

    def submit(self, run: Run) -> None:
        """Take a request; a fetch starts at once."""
        now = self._clock.seconds()
        if run.fetch and run.part not in self._cached:
            took_s = run.shared_tokens / self.figures.link_tokens_per_ms / 1_000
            self._link_free_at = max(now, self._link_free_at) + took_s
            run.fetched_at = self._link_free_at
            self._clock.callLater(self._link_free_at - now, self._fetched, run)
        self.waiting.append(run)
        self.waiting.sort(key=lambda waiting: waiting.rank)
        self._wake()

    def cancel(self, run: Run) -> None:
        """Drop a request whose caller left."""
        if run in self.waiting:
            self.waiting.remove(run)
        elif run in self.running:
            self._end(run)

    def _fetched(self, run: Run) -> None:
        if run in self.waiting and self._make_room(run.shared_tokens):
            self._keep(run.part, run.shared_tokens)
        self._wake()

    def _wake(self) -> None:
        if not self._is_stepping:
            self._is_stepping = True
            self._clock.callLater(0, self._step)

    def _step(self) -> None:
        self._admit()
        if not self.running:
            self._is_stepping = False
            return
        figures = self.figures
        left = figures.chunk_tokens
        work_ms = 0.0
        for run in self.running:
            chunk = min(left, run.to_read)
            if chunk:
                left -= chunk
                run.to_read -= chunk
                pairs = chunk * (run.read + chunk / 2)
                run.read += chunk
                work_ms += chunk / figures.read_tokens_per_ms
                work_ms += figures.pairs_ms * pairs / 1e6
                self.counts.read += chunk
        tokens = sum(run.own_memory + run.shared_tokens for run in self.running)
        work_ms += figures.step_ms + figures.step_ms_per_run * len(self.running)
        work_ms += figures.step_ms_per_1000_tokens * tokens / 1_000
        self._clock.callLater(work_ms / 1_000, self._finish_step)

    def _finish_step(self) -> None:
        for run in list(self.running):
            if run.to_read:
                continue
            if run.made == 0:
                if run.part not in self._cached:
                    self._keep(run.part, run.shared_tokens)
                run.on_first()
            run.made += 1
            if run.made >= run.out_tokens and run in self.running:
                self._end(run)
                run.on_end()
        self._step()

    def _admit(self) -> None:
        now = self._clock.seconds()
        for run in list(self.waiting):
            if len(self.running) >= self.figures.slots:
                return
            if run.fetched_at > now:
                continue
            is_cached = run.part in self._cached
            need = run.own_tokens + run.out_tokens
            need += 0 if is_cached else run.shared_tokens
            # The part must not yield to its own run.
            self._users[run.part] = self._users.get(run.part, 0) + 1
            if not self._make_room(need):
                self._release(run.part)
                # The first that does not fit keeps the others waiting.
                return
            self.waiting.remove(run)
            run.read = run.shared_tokens if is_cached else 0
            run.to_read = run.own_tokens + (0 if is_cached else run.shared_tokens)
            if is_cached:
                self._cached.move_to_end(run.part)
            elif run.part in self.counts.seen:
                self.counts.read_again += run.shared_tokens
            self.counts.seen.add(run.part)
            self.running.append(run)

    def _end(self, run: Run) -> None:
        self.running.remove(run)
        self._release(run.part)

    def _release(self, part: PartId) -> None:
        self._users[part] -= 1
        if not self._users[part]:
            del self._users[part]

    def _keep(self, part: PartId, tokens: int) -> None:
        self._cached[part] = tokens
        self._cached.move_to_end(part)
        self._on_part(part, tokens)

    def _make_room(self, need: int) -> bool:
        """Evict unused parts until ``need`` tokens fit; return whether they do."""
        reserved = sum(run.own_tokens + run.out_tokens for run in self.running)
        # Parts that running requests still read are not cached yet.
        reading = sum(
            run.shared_tokens for run in self.running if run.part not in self._cached
        )
        free = self.figures.memory_tokens - reserved - reading
        free -= sum(self._cached.values())
        for part in list(self._cached):
            if free >= need:
                break
            if part not in self._users:
                tokens = self._cached.pop(part)
                free += tokens
                self._on_part(part, 0)
        return free >= need


__all__ = ["EngineFigures", "ModelEngine", "Run"]
