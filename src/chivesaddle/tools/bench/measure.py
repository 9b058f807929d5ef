"""Metrics computed from the outcomes of runs, and their comparison with targets."""

import statistics
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from chivesaddle.tools.bench.run import RequestResult, RunResult

DECIMAL_PLACES = 4
CHIVESADDLE = "chivesaddle"
# Load at which the latency and reuse targets are checked, as a fraction of the capacity
# without KV reuse. At 1 the queues of the naive policies grow without bound.
ORDINARY_LOAD = 0.6
OVERLOADS = (1.0, 2.0, 4.0)


def percentile(values: Sequence[float], percent: int) -> float | None:
    """Return a percentile by linear interpolation, or None if there are no values.

    Examples
    --------
    >>> percentile([1.0, 2.0, 3.0], 50)
    2.0
    """
    if len(values) < 2:
        return values[0] if values else None
    cut_points = statistics.quantiles(values, n=100, method="inclusive")
    return round(cut_points[percent - 1], DECIMAL_PLACES)


def fraction(part: float, whole: float) -> float:
    """Return ``part / whole``, or 0 if ``whole`` is 0."""
    return round(part / whole, DECIMAL_PLACES) if whole else 0.0


def first_token_times(outcomes: Iterable[RequestResult]) -> list[float]:
    """Return the times to first token in seconds, of requests that received one."""
    return [o.first_token_s for o in outcomes if o.first_token_s is not None]


def summarize_run(
    result: RunResult, deadline_s_by_interactive: Mapping[bool, float]
) -> dict[str, Any]:
    """Return the metrics of one run.

    ``deadline_s_by_interactive`` is the longest useful time to first token of
    interactive (True) and batch (False) requests. Goodput counts the finished requests
    whose first token arrived within it.
    """
    outcomes = result.outcomes
    class_names = sorted({o.request_class for o in outcomes})
    in_time = [
        o
        for o in outcomes
        if o.finished
        and o.first_token_s is not None
        and o.first_token_s <= deadline_s_by_interactive[o.interactive]
    ]
    refusal_codes = sorted({o.refusal_code for o in outcomes if o.refusal_code})
    return {
        "requests": len(outcomes),
        "first_token_s": {
            name: first_token_percentiles(
                o for o in outcomes if o.request_class == name
            )
            for name in class_names
        },
        "first_token_all_s": first_token_percentiles(outcomes),
        "recomputed_share": fraction(result.computed_tokens, result.prompt_tokens),
        "refused_share": fraction(
            sum(bool(o.refusal_code) for o in outcomes), len(outcomes)
        ),
        "refused_by_code": {
            code: sum(o.refusal_code == code for o in outcomes)
            for code in refusal_codes
        },
        "unfinished": sum(not (o.finished or o.refusal_code) for o in outcomes),
        "goodput_per_s": round(len(in_time) / result.duration_s, DECIMAL_PLACES),
        "link_use": {
            k: round(v, DECIMAL_PLACES) for k, v in result.utilization_by_link.items()
        },
        "link_wait_s": {
            k: round(v, DECIMAL_PLACES) for k, v in result.wait_s_by_link.items()
        },
    }


def first_token_percentiles(
    outcomes: Iterable[RequestResult],
) -> dict[str, float | None]:
    """Return p50 and p95 of the time to first token in seconds."""
    times_s = first_token_times(outcomes)
    return {"p50": percentile(times_s, 50), "p95": percentile(times_s, 95)}


def small_accounts_p95(result: RunResult, accounts: frozenset[str]) -> float | None:
    """Return the p95 time to first token of the accounts' interactive requests."""
    return percentile(
        first_token_times(
            o for o in result.outcomes if o.account in accounts and o.interactive
        ),
        95,
    )


@dataclass(frozen=True)
class TargetResult:
    """A measured value and the highest value that the users accept."""

    name: str
    measured: float
    bound: float

    def to_json(self) -> dict[str, Any]:
        """Return the target and whether it is met."""
        return {
            "name": self.name,
            "measured": round(self.measured, DECIMAL_PLACES),
            "bound": round(self.bound, DECIMAL_PLACES),
            "met": self.measured <= self.bound,
        }


def evaluate_targets(results_by_scenario: Mapping[str, Any]) -> list[dict[str, Any]]:
    """Return the users' targets, compared with the results of all scenarios."""
    targets: list[TargetResult] = []
    for name, results in results_by_scenario.items():
        metrics_by_policy = results["loads"][str(ORDINARY_LOAD)]
        if name == "kursuskoda":
            own, best_naive = _own_and_best_naive(
                {p: m["first_token_all_s"]["p95"] for p, m in metrics_by_policy.items()}
            )
            targets.append(
                TargetResult(
                    f"{name}: p95 first token, half of best naive", own, best_naive / 2
                )
            )
        else:
            own, best_naive = _own_and_best_naive(
                {p: m["recomputed_share"] for p, m in metrics_by_policy.items()}
            )
            targets.append(
                TargetResult(
                    f"{name}: recomputed share, half of best naive", own, best_naive / 2
                )
            )
        max_utilization = max(
            max(by_policy[CHIVESADDLE]["link_use"].values())
            for by_policy in results["loads"].values()
        )
        targets.append(
            TargetResult(f"{name}: use of the busiest link", max_utilization, 1.0)
        )
        fairness = results["fairness"][CHIVESADDLE]
        targets.append(
            TargetResult(
                f"{name}: small accounts' p95 beside a large one at 4 times its share",
                fairness["crowded_p95_s"],
                1.2 * fairness["unloaded_p95_s"],
            )
        )
    return [target.to_json() for target in targets]


def _own_and_best_naive(by_policy: Mapping[str, float]) -> tuple[float, float]:
    naive_values = [
        value for policy, value in by_policy.items() if policy != CHIVESADDLE
    ]
    return by_policy[CHIVESADDLE], min(naive_values)


__all__ = [
    "ORDINARY_LOAD",
    "OVERLOADS",
    "TargetResult",
    "evaluate_targets",
    "first_token_percentiles",
    "first_token_times",
    "fraction",
    "percentile",
    "small_accounts_p95",
    "summarize_run",
]
