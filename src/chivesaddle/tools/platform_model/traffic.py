"""Requests of the sheets: three kinds of prompts whose parts return."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from chivesaddle.core.serving_model import PartId


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request, with the mean figures of the sheets.

    Attributes
    ----------
    per_s : float
        Arrivals a second at load 1, as Kursuskoda's days play them.
    shared, own, out : int
        Mean tokens of the shared part, of the request's own part, and made.
    most_out : int
        Most tokens that a request may make, as it states itself.
    target_s, limit_s : float
        Time to the first event that is on time; time limit.
    worth, late_worth : float
        What an answer earns on time and late.
    rank : int
        0 is most urgent.
    """

    name: str
    per_s: float
    shared: int
    own: int
    out: int
    most_out: int
    target_s: float
    limit_s: float
    worth: float
    late_worth: float
    rank: int


# Tokens made are those of the sheets' events times the 6 tokens of an event; the most
# that a request states, and the rates, were read from the log of a calm day.
KINDS = (
    Kind("digest", 9.5, 9_122, 2_870, 384, 1_122, 0.8, 15.0, 3.8, 0.76, 3),
    Kind("ask", 24.0, 650, 177, 294, 954, 0.4, 12.0, 2.0, 0.4, 2),
    Kind("tag", 13.0, 1_861, 507, 24, 90, 0.4, 3.0, 1.6, 0.32, 1),
)
# Share of requests that bring a part nobody has sent before: 644 of 1,572 on that day.
NEW_PART_SHARE = 0.41
# Spread of sizes, as the logarithm's standard deviation.
SIZE_SIGMA = 0.45
OUT_SIGMA = 0.7


@dataclass(frozen=True, slots=True)
class Prompt:
    """One request: what it brings and how many tokens it will make."""

    kind: Kind
    at_s: float
    shared_part: PartId
    shared_tokens: int
    own_tokens: int
    out_tokens: int

    @property
    def memory_tokens(self) -> int:
        """Upper bound of the memory that it takes, as the daemon computes it."""
        return self.shared_tokens + self.own_tokens + self.kind.most_out


class Traffic:
    """Poisson arrivals with parts that return.

    Parameters
    ----------
    load : float
        Multiple of the rates of `KINDS`.
    seed : int
        Seed of all draws.
    burst : (float, float, float) or None
        Start, end and factor of a burst on top of the load.
    """

    def __init__(
        self,
        load: float,
        seed: int,
        burst: tuple[float, float, float] | None = None,
        kinds: tuple[Kind, ...] = KINDS,
    ) -> None:
        self._load = load
        self._rng = random.Random(seed)
        self._burst = burst
        self._kinds = kinds
        self._parts_by_kind: dict[str, list[tuple[PartId, int]]] = {}

    def prompts(self, until_s: float) -> Iterator[Prompt]:
        """Yield the requests in order of arrival."""
        total = sum(kind.per_s for kind in self._kinds)
        at = 0.0
        while True:
            factor = self._load
            if self._burst is not None and self._burst[0] <= at < self._burst[1]:
                factor *= self._burst[2]
            at += self._rng.expovariate(total * factor)
            if at >= until_s:
                return
            weights = [kind.per_s for kind in self._kinds]
            yield self._prompt(self._rng.choices(self._kinds, weights)[0], at)

    def _prompt(self, kind: Kind, at: float) -> Prompt:
        part, tokens = self._part(kind)
        own = self._size(kind.own, SIZE_SIGMA)
        out = min(kind.most_out, self._size(kind.out, OUT_SIGMA))
        return Prompt(kind, at, part, tokens, own, out)

    def _part(self, kind: Kind) -> tuple[PartId, int]:
        known = self._parts_by_kind.setdefault(kind.name, [])
        if not known or self._rng.random() < NEW_PART_SHARE:
            name = PartId(f"{kind.name}-{len(known)}")
            known.append((name, self._size(kind.shared, SIZE_SIGMA)))
            return known[-1]
        return self._rng.choice(known)

    def _size(self, mean: int, sigma: float) -> int:
        # The mean of a log-normal variable lies above its median by this factor.
        median = mean / math.exp(sigma * sigma / 2)
        return max(1, round(self._rng.lognormvariate(math.log(median), sigma)))


__all__ = ["KINDS", "Kind", "Prompt", "Traffic"]
