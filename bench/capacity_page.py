"""Write the tables of docs/CAPACITY.md from the saved rows of `python -m bench capacity`.

`python -m bench.capacity_page` replaces the text between each pair of `<!-- table NAME -->` and
`<!-- end -->` marks and changes nothing else.
"""

import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

from bench._page import fill_tables, markdown_table
from bench._report import load_run
from bench._rows import Row, Verdict
from bench.capacity import QUANTITIES
from bench.capacity._fit import Quantity

DOCS = Path(__file__).resolve().parents[1] / "docs"
PAGE = DOCS / "CAPACITY.md"
ROWS = DOCS / "capacity.json"
FLEET_SIZES = (12, 50, 200, 800)
FLEET_DRIVER = "nodes"
WHOLE_NUMBERS_FROM = 100

Rows = Mapping[str, Row]


def render(page: str, rows: Rows) -> str:
    """Return a page with its marked tables generated from rows, or raise KeyError."""
    return fill_tables(page, lambda name: _table(name, rows))


def load_rows(path: Path = ROWS) -> Rows:
    """Return the saved rows of the group `capacity` by name."""
    return {row.figure.name: row for row in load_run(path) if row.group == "capacity"}


def main() -> int:
    """Update the tables of the page in place."""
    PAGE.write_text(render(PAGE.read_text(), load_rows()))
    return 0


def _table(name: str, rows: Rows) -> str:
    if name == "store":
        return _store_table(rows)
    if name == "over":
        return _over_table(rows)
    return _role_table([item for item in QUANTITIES if item.role == name], rows)


def _role_table(quantities: Sequence[Quantity], rows: Rows) -> str:
    if not quantities:
        raise KeyError("a table of the page names a role without quantities")
    head = ("what", "by", "measured at", "slope", "fit", "at the target", "budget", "fits")
    lines = []
    for item in quantities:
        target = rows[f"{item.key}.at_target"]
        cells = (
            f"{item.what}: {item.mechanism}",
            item.driver,
            ", ".join(f"{size:,}" for size in item.sizes),
            f"{_number(rows[f'{item.key}.slope'].figure.value)} {item.unit}",
            f"{rows[f'{item.key}.fit'].figure.value:.3f}",
            f"{_number(target.figure.value)} {item.unit} at {item.target:,.0f}",
            _budget(target),
            _fits(target),
        )
        lines.append(cells)
    return markdown_table(head, lines)


def _store_table(rows: Rows) -> str:
    items = [item for item in QUANTITIES if item.driver == FLEET_DRIVER and "calls" in item.unit]
    head = ("calls of the store", *(f"{size} nodes" for size in FLEET_SIZES), "budget")
    lines = []
    for item in items:
        slope = rows[f"{item.key}.slope"].figure.value
        fixed = rows[f"{item.key}.fixed"].figure.value
        calls = [max(0.0, fixed + slope * size) for size in FLEET_SIZES]
        cells = (item.what, *(f"{count:,.0f}/s" for count in calls))
        lines.append((*cells, _budget(rows[f"{item.key}.at_target"])))
    return markdown_table(head, lines)


def _over_table(rows: Rows) -> str:
    over = [
        (row.figure.value / row.bound.most, item, row)
        for item in QUANTITIES
        if (row := rows[f"{item.key}.at_target"]).verdict is not Verdict.PASS
        and row.bound is not None
        and row.bound.most
    ]
    if not over:
        return "Every row with a budget fits.\n"
    lines = []
    for ratio, item, row in sorted(over, key=lambda entry: -entry[0]):
        value = f"{_number(row.figure.value)} {item.unit}"
        lines.append((f"{item.role}: {item.what}", value, _budget(row), f"{ratio:,.1f}"))
    return markdown_table(("what", "at the target", "budget", "times the budget"), lines)


def _number(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= WHOLE_NUMBERS_FROM else f"{value:.3g}"


def _budget(row: Row) -> str:
    return "none stated" if row.bound is None else f"{row.bound} ({row.bound.source})"


def _fits(row: Row) -> str:
    if row.verdict is Verdict.SHOWN:
        return "no budget"
    return "yes" if row.verdict is Verdict.PASS else "**no**"


if __name__ == "__main__":
    sys.exit(main())
