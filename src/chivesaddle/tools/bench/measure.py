"""Percentiles, shares and targets computed from the outcomes of runs."""

import statistics
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from chivesaddle.tools.bench.run import Outcome, RunResult

DIGITS = 4
CHIVESADDLE = "chivesaddle"
# Load at which the latency and reuse targets are judged, as a part of the capacity
# without reuse: at 1 the naive versions' queues grow without bound.
ORDINARY_LOAD = 0.6
OVERLOADS = (1.0, 2.0, 4.0)


def percentile(values: Sequence[float], percent: int) -> float | None:
    """Return a percentile by linear interpolation; None without values.

    Examples
    --------
    >>> percentile([1.0, 2.0, 3.0], 50)
    2.0
    """
    if len(values) < 2:
        return values[0] if values else None
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return round(cuts[percent - 1], DIGITS)


def share(part: float, whole: float) -> float:
    """Return ``part / whole``, 0 if the whole is 0."""
    return round(part / whole, DIGITS) if whole else 0.0


def first_tokens(outcomes: Iterable[Outcome]) -> list[float]:
    """Return the times to first token of the requests that got one, in seconds."""
    return [o.first_token_s for o in outcomes if o.first_token_s is not None]


def summary(result: RunResult, deadlines_s: Mapping[bool, float]) -> dict[str, Any]:
    """Return the figures of one run.

    ``deadlines_s`` gives the longest useful time to first token of interactive (True)
    and batch requests. Goodput counts finished requests within it.
    """
    outcomes = result.outcomes
    kinds = sorted({o.kind for o in outcomes})
    good = [
        o
        for o in outcomes
        if o.finished
        and o.first_token_s is not None
        and o.first_token_s <= deadlines_s[o.interactive]
    ]
    refused = sorted({o.refused for o in outcomes if o.refused})
    return {
        "requests": len(outcomes),
        "first_token_s": {
            kind: latency(o for o in outcomes if o.kind == kind) for kind in kinds
        },
        "first_token_all_s": latency(outcomes),
        "recomputed_share": share(result.computed_tokens, result.prompt_tokens),
        "refused_share": share(sum(bool(o.refused) for o in outcomes), len(outcomes)),
        "refused_by_code": {
            code: sum(o.refused == code for o in outcomes) for code in refused
        },
        "unfinished": sum(not (o.finished or o.refused) for o in outcomes),
        "goodput_per_s": round(len(good) / result.duration_s, DIGITS),
        "link_use": {k: round(v, DIGITS) for k, v in result.use_by_link.items()},
        "link_wait_s": {k: round(v, DIGITS) for k, v in result.wait_s_by_link.items()},
    }


def latency(outcomes: Iterable[Outcome]) -> dict[str, float | None]:
    """Return p50 and p95 of the time to first token in seconds."""
    times = first_tokens(outcomes)
    return {"p50": percentile(times, 50), "p95": percentile(times, 95)}


def small_p95(result: RunResult, small: frozenset[str]) -> float | None:
    """Return the small accounts' p95 of the time to first token, interactive only."""
    return percentile(
        first_tokens(
            o for o in result.outcomes if o.account in small and o.interactive
        ),
        95,
    )


@dataclass(frozen=True)
class Target:
    """A figure compared with the highest value that meets the users' target."""

    name: str
    measured: float
    bound: float

    def to_json(self) -> dict[str, Any]:
        """Return the target with its verdict."""
        return {
            "name": self.name,
            "measured": round(self.measured, DIGITS),
            "bound": round(self.bound, DIGITS),
            "met": self.measured <= self.bound,
        }


def targets(shapes: Mapping[str, Any]) -> list[dict[str, Any]]:
    """Judge the users' targets from the figures of all shapes."""
    found: list[Target] = []
    for name, figures in shapes.items():
        ordinary = figures["loads"][str(ORDINARY_LOAD)]
        if name == "kursuskoda":
            own, naive = _own_and_best(
                {p: f["first_token_all_s"]["p95"] for p, f in ordinary.items()}
            )
            found.append(
                Target(f"{name}: p95 first token, half of best naive", own, naive / 2)
            )
        else:
            own, naive = _own_and_best(
                {p: f["recomputed_share"] for p, f in ordinary.items()}
            )
            found.append(
                Target(f"{name}: recomputed share, half of best naive", own, naive / 2)
            )
        use = max(
            max(by_policy[CHIVESADDLE]["link_use"].values())
            for by_policy in figures["loads"].values()
        )
        found.append(Target(f"{name}: use of the busiest link", use, 1.0))
        fairness = figures["fairness"][CHIVESADDLE]
        found.append(
            Target(
                f"{name}: small accounts' p95 beside a large one at 4 times its share",
                fairness["crowded_p95_s"],
                1.2 * fairness["unloaded_p95_s"],
            )
        )
    return [target.to_json() for target in found]


def _own_and_best(by_policy: Mapping[str, float]) -> tuple[float, float]:
    naive = [value for policy, value in by_policy.items() if policy != CHIVESADDLE]
    return by_policy[CHIVESADDLE], min(naive)


__all__ = [
    "ORDINARY_LOAD",
    "OVERLOADS",
    "Target",
    "first_tokens",
    "latency",
    "percentile",
    "share",
    "small_p95",
    "summary",
    "targets",
]
