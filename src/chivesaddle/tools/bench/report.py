"""Renders the figures of a bench run as text."""

from collections.abc import Iterable
from typing import Any


def render(figures: dict[str, Any]) -> str:
    """Return the tables of all shapes and the verdicts on the targets."""
    parts = []
    for name, shape in figures["shapes"].items():
        parts.append(f"{name}: capacity without reuse {shape['capacity_per_s']}/s")
        parts.append(_loads(shape["loads"]))
        parts.append(_fairness(shape["fairness"]))
        if shape["repair"]:
            parts.append(_repair(shape["repair"]))
    parts.append(_targets(figures["targets"]))
    return "\n\n".join(parts)


def _loads(loads: dict[str, Any]) -> str:
    kinds = list(next(iter(next(iter(loads.values())).values()))["first_token_s"])
    head = ["load", "policy", *(f"{kind} p50/p95 s" for kind in kinds)]
    head += ["recomputed", "refused", "goodput/s", "links' use", "longest wait s"]
    rows = [head]
    for load, by_policy in loads.items():
        for policy, run in by_policy.items():
            row = [load, policy]
            row += [_latency(run["first_token_s"].get(kind, {})) for kind in kinds]
            row += [f"{run['recomputed_share']:.3f}", f"{run['refused_share']:.3f}"]
            row.append(f"{run['goodput_per_s']:.1f}")
            row.append(" ".join(f"{use:.2f}" for use in run["link_use"].values()))
            row.append(f"{max(run['link_wait_s'].values(), default=0.0):.3f}")
            rows.append(row)
    links = next(iter(next(iter(loads.values())).values()))["link_use"]
    return table(rows) + f"\nlinks: {', '.join(links)}"


def _fairness(fairness: dict[str, Any]) -> str:
    rows = [["small accounts' interactive p95", "unloaded s", "crowded s", "ratio"]]
    for policy, run in fairness.items():
        before, after = run["unloaded_p95_s"], run["crowded_p95_s"]
        rows.append([policy, f"{before:.3f}", f"{after:.3f}", f"{after / before:.2f}"])
    return table(rows)


def _repair(repair: dict[str, Any]) -> str:
    rows = [["load", "repair pace", "restored s", "interactive p95 meanwhile s"]]
    for load, by_pace in repair.items():
        for pace, run in by_pace.items():
            restored, p95 = run["restored_s"], run["interactive_p95_meanwhile_s"]
            rows.append([load, pace, str(restored), f"{p95:.3f}"])
    return table(rows)


def _targets(targets: Iterable[dict[str, Any]]) -> str:
    rows = [["target", "measured", "bound", "verdict"]]
    rows += [
        [t["name"], f"{t['measured']:.3f}", f"{t['bound']:.3f}", _verdict(t["met"])]
        for t in targets
    ]
    return table(rows)


def _verdict(met: bool) -> str:
    return "met" if met else "missed"


def _latency(times: dict[str, float | None]) -> str:
    p50, p95 = times.get("p50"), times.get("p95")
    return "-" if p50 is None or p95 is None else f"{p50:.3f}/{p95:.3f}"


def table(rows: list[list[str]]) -> str:
    """Return rows as aligned columns, the first row as head.

    Examples
    --------
    >>> print(table([["a", "b"], ["long", "1"]]))
    a     b
    long  1
    """
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    )
    return "\n".join(line.rstrip() for line in lines)


__all__ = ["render", "table"]
