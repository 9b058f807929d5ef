"""Runs the fault matrix: eight properties of the system, each under injected faults.

``python -m chivesaddle.tools.faults`` runs the tests marked ``fault`` and prints one
row per test case and marker. The marker takes the property, the step at which the fault
is injected, and the fault; without a fault, the test's name is used. In step and fault,
``{name}`` is replaced by the test parameter ``name`` and ``{id}`` by the id that pytest
gives to the case's parameters.
"""

import json
import sys
from collections import Counter
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from enum import Enum
from pathlib import Path
from typing import Annotated, Any

import pytest
import typer

MARKER = "fault"


class SystemProperty(Enum):
    """Properties of the system, in the order of the matrix's rows.

    Attributes
    ----------
    AT_MOST_ONCE
        An action runs at most once, also if its caller repeats it.
    WHOLE_ANSWER
        An answer is complete and is the one that a run without faults generates.
    NOT_RUN
        An action that is reported as not run has not run.
    LEAVING
        A leaving backend server gets no new requests, and a daemon that shuts down
        gracefully interrupts none.
    CONFIGURATION
        An accepted configuration change is applied in time on every serving daemon.
    ORDERS
        Lost, late or outdated orders do not leave the wrong models on an engine.
    CRASHES
        A request that crashes backend servers takes down at most two of them.
    SILENCE
        A connection that stays open but delivers no data is replaced.
    """

    AT_MOST_ONCE = "at_most_once"
    WHOLE_ANSWER = "whole_answer"
    NOT_RUN = "not_run"
    LEAVING = "leaving"
    CONFIGURATION = "configuration"
    ORDERS = "orders"
    CRASHES = "crashes"
    SILENCE = "silence"


class RowOutcome(Enum):
    """Outcome of a row; a skipped test counts as failed, since it checked nothing."""

    PASSED = "passed"
    FAILED = "failed"


@dataclass(frozen=True)
class Row:
    """One row of the matrix: property, step, fault, and the outcome of the test."""

    property: str
    step: str
    fault: str
    verdict: str
    test: str


class MatrixPlugin:
    """Pytest plugin that collects the outcomes of the marked tests as rows."""

    def __init__(self) -> None:
        self._row_keys_by_test: dict[str, list[tuple[str, str, str]]] = {}
        self._passed_phases: Counter[str] = Counter()
        self._failed: set[str] = set()

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Record property, step and fault of each marked test."""
        for item in items:
            row_keys = [_row_key(item, mark) for mark in item.iter_markers(MARKER)]
            if row_keys:
                self._row_keys_by_test[item.nodeid] = row_keys

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record the outcome of one phase (setup, call or teardown) of a test."""
        if report.passed:
            self._passed_phases[report.nodeid] += 1
        else:
            self._failed.add(report.nodeid)

    def rows(self) -> list[Row]:
        """Return the rows, ordered by property; a test that did not run has failed."""
        property_order = [member.value for member in SystemProperty]
        rows = [
            Row(*row_key, self._verdict(test).value, test)
            for test, row_keys in self._row_keys_by_test.items()
            for row_key in row_keys
        ]
        return sorted(rows, key=lambda row: property_order.index(row.property))

    def _verdict(self, test: str) -> RowOutcome:
        # Setup, call and teardown must all pass.
        passed = self._passed_phases[test] == 3 and test not in self._failed
        return RowOutcome.PASSED if passed else RowOutcome.FAILED


def _row_key(item: pytest.Item, mark: pytest.Mark) -> tuple[str, str, str]:
    (property_name,) = mark.args
    callspec = getattr(item, "callspec", None)
    values: dict[str, Any] = dict(callspec.params) if callspec else {}
    values["id"] = callspec.id if callspec else ""
    function = getattr(item, "originalname", item.name)
    test_title = function.removeprefix("test_").replace("_", " ")
    step = mark.kwargs["step"].format(**values)
    fault = mark.kwargs.get("fault", test_title).format(**values)
    return SystemProperty(property_name).value, step, fault


def collect_rows(arguments: Iterable[str]) -> tuple[list[Row], int]:
    """Run the marked tests; return the rows and pytest's exit status."""
    plugin = MatrixPlugin()
    status = pytest.main(["-m", MARKER, *arguments], plugins=[plugin])
    return plugin.rows(), int(status)


def format_rows(rows: Iterable[Row]) -> list[str]:
    """Return the matrix as lines of text.

    Examples
    --------
    >>> format_rows([Row("silence", "reused", "silent", "passed", "test_x")])
    ['silence        reused                           passed  silent']
    """
    return [f"{r.property:14} {r.step:32} {r.verdict:7} {r.fault}" for r in rows]


def summary_line(rows: Iterable[Row]) -> str:
    """Return the last line of the output: how many rows passed and failed.

    Examples
    --------
    >>> summary_line([Row("silence", "reused", "silent", "passed", "test_x")])
    '1 passed, 0 failed'
    """
    counts = Counter(row.verdict for row in rows)
    passed, failed = counts[RowOutcome.PASSED.value], counts[RowOutcome.FAILED.value]
    return f"{passed} passed, {failed} failed"


def main(
    output: Annotated[Path, typer.Option(help="JSON file to write.")] = Path(
        "build/faults.json"
    ),
    tests: Annotated[Path, typer.Option(help="Directory of the tests.")] = Path(
        "tests"
    ),
) -> None:
    """Run the fault matrix; exit with 1 if a row failed or a property has no row."""
    rows, status = collect_rows([str(tests)])
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps([asdict(row) for row in rows], indent=1) + "\n")
    typer.echo("\n".join(format_rows(rows)))
    missing = {member.value for member in SystemProperty} - {
        row.property for row in rows
    }
    for property_name in sorted(missing):
        typer.echo(f"no row for property {property_name}", err=True)
    typer.echo(summary_line(rows))
    sys.exit(1 if status or missing else 0)


if __name__ == "__main__":
    typer.run(main)
