"""Write the tables of docs/measures.md from the saved rows of `python -m bench measures`."""

import sys
from collections.abc import Mapping
from pathlib import Path

from bench._page import fill_tables, markdown_table
from bench._report import load_run
from bench._rows import Row
from bench.faults import FaultKind

DOCS = Path(__file__).resolve().parents[1] / "docs"
PAGE = DOCS / "measures.md"
ROWS = DOCS / "measures.json"
PERCENTILES = ("median", "p99", "p99_9")
SITUATIONS = ("idle", "at_80_percent", *(kind.name.lower() for kind in FaultKind))

Rows = Mapping[str, Row]


def render(page: str, rows: Rows) -> str:
    """Return a page with its marked tables generated from rows, or raise KeyError."""
    return fill_tables(page, lambda name: _table(name, rows))


def load_rows(path: Path = ROWS) -> Rows:
    """Return the saved rows of the group `measures` by name."""
    return {row.figure.name: row for row in load_run(path) if row.group == "measures"}


def main() -> int:
    """Update the tables of the page in place."""
    PAGE.write_text(render(PAGE.read_text(), load_rows()))
    return 0


def _table(name: str, rows: Rows) -> str:
    measure, _, user = name.partition(":")
    if measure == "latency":
        return _latency_table(user, rows)
    return _plain_table(f"{measure}.{user}.", rows)


def _latency_table(user: str, rows: Rows) -> str:
    times = ("median", "p99", "p99.9")
    head = (
        "situation",
        *(f"first part {time}" for time in times),
        *(f"whole {time}" for time in times),
        "digests",
        "unanswered",
    )
    return markdown_table(head, [_latency_cells(user, situation, rows) for situation in SITUATIONS])


def _latency_cells(user: str, situation: str, rows: Rows) -> list[str]:
    prefix = f"latency.{user}.{situation}"
    cells = [situation.replace("_", " ")]
    for part in ("first_part", "whole"):
        for percentile in PERCENTILES:
            cells.append(f"{rows[f'{prefix}.{part}.{percentile}'].figure.value:,.0f} ms")
    cells.append(f"{rows[f'{prefix}.digests'].figure.value:.0f}")
    cells.append(f"{rows[f'{prefix}.unanswered'].figure.value:.1f} %")
    return cells


def _plain_table(prefix: str, rows: Rows) -> str:
    found = [row for name, row in rows.items() if name.startswith(prefix)]
    if not found:
        raise KeyError(f"no saved row begins with {prefix!r}")
    cells = [
        (
            row.figure.name.removeprefix(prefix).replace("_", " "),
            f"{row.figure.value:.3g} {row.figure.unit}",
        )
        for row in found
    ]
    return markdown_table(("what", "figure"), cells)


if __name__ == "__main__":
    sys.exit(main())
