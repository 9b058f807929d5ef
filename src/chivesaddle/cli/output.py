"""Prints the results of commands as tables or JSON."""

import json
import sys
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Any

from rich.console import Console
from rich.table import Table

# In characters: so wide that rich truncates no value; the terminal wraps long lines.
TABLE_WIDTH = 10_000


class OutputFormat(Enum):
    """Format in which results are printed."""

    TABLE = "table"
    JSON = "json"


def print_json(data: Any) -> None:
    """Print indented JSON for other programs to parse."""
    print(json.dumps(data, indent=2, ensure_ascii=False))


def print_rows(columns: Iterable[str], rows: Iterable[Mapping[str, Any]]) -> None:
    """Print rows as a table; the cell of a missing value is empty."""
    names = list(columns)
    table = Table(*names, box=None, pad_edge=False)
    for row in rows:
        table.add_row(*(_format_cell(row.get(name, "")) for name in names))
    console = Console(file=sys.stdout, width=TABLE_WIDTH, highlight=False, markup=False)
    console.print(table)


def print_plan(plan: Mapping[str, Any]) -> None:
    """Print a plan as text that people who do not operate the fleet can review."""
    print(
        f"Plan {plan['id']} by {plan['operator']}, "
        f"revision {plan['parent']} -> {plan['revision']}, {plan['state']}"
    )
    if plan["note"]:
        print(f"Note: {plan['note']}")
    print("Changes:")
    for line in plan["differences"]:
        print(f"  {line}")
    if plan["warnings"]:
        print("Warnings:")
        for line in plan["warnings"]:
            print(f"  {line}")
    keys = plan.get("keys_by_account", {})
    if keys:
        print("New account keys (shown only now):")
        for account, key in keys.items():
            print(f"  {account}  {key}")


def print_confirmation(confirmation: Mapping[str, Any]) -> None:
    """Print the result of confirming a plan, and where it is not yet in force."""
    print(
        f"Plan {confirmation['change_id']} is {confirmation['state']} "
        f"as revision {confirmation['revision']}"
    )
    if confirmation["not_in_force"]:
        print(f"Not yet in force on: {', '.join(confirmation['not_in_force'])}")


def print_events(events: Iterable[Mapping[str, Any]]) -> None:
    """Print one line per event."""
    for event in events:
        at = event["at"]
        identifiers = " ".join(
            f"{name}={event[name]}"
            for name in ("request", "account", "object", "revision")
            if event[name]
        )
        detail = " ".join(f"{k}={v}" for k, v in event["detail"].items() if v != "")
        print(
            f"{at['wall_us'] / 1e6:.6f}.{at['counter']} {event['daemon']} "
            f"{event['kind']} {identifiers} {detail}".rstrip()
        )


def _format_cell(value: Any) -> str:
    match value:
        case list():
            return ", ".join(map(_format_cell, value))
        case {"name": name, "repeatable": repeatable}:
            return f"{name}:repeatable" if repeatable else str(name)
        case dict():
            return json.dumps(value)
    return str(value)


__all__ = [
    "OutputFormat",
    "print_confirmation",
    "print_events",
    "print_json",
    "print_plan",
    "print_rows",
]
