"""Formats the results of a benchmark as text."""

from collections.abc import Iterable
from typing import Any


def render(results: dict[str, Any]) -> str:
    """Return the tables of all scenarios and the table of targets."""
    sections = []
    for name, scenario in results["shapes"].items():
        sections.append(
            f"{name}: capacity without reuse {scenario['capacity_per_s']}/s"
        )
        sections.append(_load_table(scenario["loads"]))
        sections.append(_fairness_table(scenario["fairness"]))
        if scenario["repair"]:
            sections.append(_repair_table(scenario["repair"]))
    sections.append(_target_table(results["targets"]))
    return "\n\n".join(sections)


def _load_table(loads: dict[str, Any]) -> str:
    class_names = list(next(iter(next(iter(loads.values())).values()))["first_token_s"])
    header = ["load", "policy", *(f"{name} p50/p95 s" for name in class_names)]
    header += [
        "recomputed",
        "refused",
        "goodput/s",
        "link utilization",
        "longest link wait s",
    ]
    rows = [header]
    for load, by_policy in loads.items():
        for policy, run in by_policy.items():
            row = [load, policy]
            row += [
                _format_percentiles(run["first_token_s"].get(name, {}))
                for name in class_names
            ]
            row += [f"{run['recomputed_share']:.3f}", f"{run['refused_share']:.3f}"]
            row.append(f"{run['goodput_per_s']:.1f}")
            row.append(
                " ".join(
                    f"{utilization:.2f}" for utilization in run["link_use"].values()
                )
            )
            row.append(f"{max(run['link_wait_s'].values(), default=0.0):.3f}")
            rows.append(row)
    links = next(iter(next(iter(loads.values())).values()))["link_use"]
    return format_table(rows) + f"\nlinks: {', '.join(links)}"


def _fairness_table(fairness: dict[str, Any]) -> str:
    rows = [
        [
            "small accounts' interactive p95",
            "alone s",
            "with busy large account s",
            "ratio",
        ]
    ]
    for policy, run in fairness.items():
        alone_s, with_large_s = run["unloaded_p95_s"], run["crowded_p95_s"]
        rows.append(
            [
                policy,
                f"{alone_s:.3f}",
                f"{with_large_s:.3f}",
                f"{with_large_s / alone_s:.2f}",
            ]
        )
    return format_table(rows)


def _repair_table(repair: dict[str, Any]) -> str:
    rows = [["load", "repair pace", "restored s", "interactive p95 during repair s"]]
    for load, by_pace in repair.items():
        for pace, run in by_pace.items():
            restored_s, p95_s = run["restored_s"], run["interactive_p95_meanwhile_s"]
            rows.append([load, pace, str(restored_s), f"{p95_s:.3f}"])
    return format_table(rows)


def _target_table(targets: Iterable[dict[str, Any]]) -> str:
    rows = [["target", "measured", "bound", "verdict"]]
    rows += [
        [t["name"], f"{t['measured']:.3f}", f"{t['bound']:.3f}", _verdict(t["met"])]
        for t in targets
    ]
    return format_table(rows)


def _verdict(met: bool) -> str:
    return "met" if met else "missed"


def _format_percentiles(percentiles_s: dict[str, float | None]) -> str:
    p50, p95 = percentiles_s.get("p50"), percentiles_s.get("p95")
    return "-" if p50 is None or p95 is None else f"{p50:.3f}/{p95:.3f}"


def format_table(rows: list[list[str]]) -> str:
    """Return rows as aligned columns; the first row is the header.

    Examples
    --------
    >>> print(format_table([["a", "b"], ["long", "1"]]))
    a     b
    long  1
    """
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    )
    return "\n".join(line.rstrip() for line in lines)


__all__ = ["format_table", "render"]
