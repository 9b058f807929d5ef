"""Generates traffic of three kinds of requests, whose prompts share parts."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from chivesaddle.core.serving_model import PromptPartId


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request, with the platform's published figures.

    Attributes
    ----------
    arrivals_per_s : float
        Mean arrival rate at load 1, as in the benchmark days of Kursuskoda.
    shared_tokens, own_tokens, output_tokens : int
        Mean tokens of the shared prompt part, of the request's own prompt part, and of
        the output.
    max_output_tokens : int
        Limit of output tokens that the request states.
    target_s, time_limit_s : float
        Latest time of the first event that is on time, and of the whole response.
    worth, late_worth : float
        Worth of a response that is on time, and of a late one.
    rank : int
        0 is most urgent.
    """

    name: str
    arrivals_per_s: float
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    max_output_tokens: int
    target_s: float
    time_limit_s: float
    worth: float
    late_worth: float
    rank: int


# Output tokens are the published number of events times the 6 tokens of an event; the
# stated limits and the arrival rates are from the log of a day without faults.
REQUEST_KINDS = (
    RequestKind("digest", 9.5, 9_122, 2_870, 384, 1_122, 0.8, 15.0, 3.8, 0.76, 3),
    RequestKind("ask", 24.0, 650, 177, 294, 954, 0.4, 12.0, 2.0, 0.4, 2),
    RequestKind("tag", 13.0, 1_861, 507, 24, 90, 0.4, 3.0, 1.6, 0.32, 1),
)
# Share of requests whose shared part no request has had before: 644 of 1,572 on that
# day.
NEW_PART_SHARE = 0.41
# Sizes are log-normal; these are the standard deviations of their logarithms.
PROMPT_SIZE_SIGMA = 0.45
OUTPUT_SIZE_SIGMA = 0.7


@dataclass(frozen=True, slots=True)
class Prompt:
    """One request: its arrival, the sizes of its prompt, and of its output."""

    kind: RequestKind
    at_s: float
    shared_part: PromptPartId
    shared_tokens: int
    own_tokens: int
    output_tokens: int

    @property
    def memory_tokens(self) -> int:
        """Upper bound of the engine memory that it uses, as the daemon computes it."""
        return self.shared_tokens + self.own_tokens + self.kind.max_output_tokens


class TrafficGenerator:
    """Poisson arrivals of requests that share prompt parts.

    Parameters
    ----------
    load : float
        Multiple of the arrival rates of ``kinds``.
    seed : int
        Seed of arrivals, kinds, parts and sizes.
    burst : (float, float, float) or None
        Start and end of a burst in seconds, and the factor of its load.
    kinds : tuple of RequestKind
        Kinds of requests to generate.
    """

    def __init__(
        self,
        load: float,
        seed: int,
        burst: tuple[float, float, float] | None = None,
        kinds: tuple[RequestKind, ...] = REQUEST_KINDS,
    ) -> None:
        self._load_factor = load
        self._rng = random.Random(seed)
        self._burst = burst
        self._kinds = kinds
        self._parts_by_kind: dict[str, list[tuple[PromptPartId, int]]] = {}

    def prompts(self, until_s: float) -> Iterator[Prompt]:
        """Yield the requests in order of arrival."""
        arrivals_per_s_total = sum(kind.arrivals_per_s for kind in self._kinds)
        arrival_s = 0.0
        while True:
            factor = self._load_factor
            if self._burst is not None and self._burst[0] <= arrival_s < self._burst[1]:
                factor *= self._burst[2]
            arrival_s += self._rng.expovariate(arrivals_per_s_total * factor)
            if arrival_s >= until_s:
                return
            weights = [kind.arrivals_per_s for kind in self._kinds]
            yield self._make_prompt(
                self._rng.choices(self._kinds, weights)[0], arrival_s
            )

    def _make_prompt(self, kind: RequestKind, arrival_s: float) -> Prompt:
        part, tokens = self._choose_part(kind)
        own = self._sample_tokens(kind.own_tokens, PROMPT_SIZE_SIGMA)
        out = min(
            kind.max_output_tokens,
            self._sample_tokens(kind.output_tokens, OUTPUT_SIZE_SIGMA),
        )
        return Prompt(kind, arrival_s, part, tokens, own, out)

    def _choose_part(self, kind: RequestKind) -> tuple[PromptPartId, int]:
        known_parts = self._parts_by_kind.setdefault(kind.name, [])
        if not known_parts or self._rng.random() < NEW_PART_SHARE:
            name = PromptPartId(f"{kind.name}-{len(known_parts)}")
            known_parts.append(
                (name, self._sample_tokens(kind.shared_tokens, PROMPT_SIZE_SIGMA))
            )
            return known_parts[-1]
        return self._rng.choice(known_parts)

    def _sample_tokens(self, mean: int, sigma: float) -> int:
        # A log-normal variable's mean is its median times exp(sigma² / 2).
        median = mean / math.exp(sigma * sigma / 2)
        return max(1, round(self._rng.lognormvariate(math.log(median), sigma)))


__all__ = ["REQUEST_KINDS", "Prompt", "RequestKind", "TrafficGenerator"]
