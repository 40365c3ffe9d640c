"""Format rows as a table and save them as JSON, so that two runs can be compared."""

import json
from collections.abc import Mapping, Sequence
from pathlib import Path

from bench._rows import Bound, Figure, Row, Verdict

HEADER = (
    f"{'figure':<58} {'value':>12} {'unit':<16} {'before':>12} {'change':>8}  {'verdict':<9} bound"
)


def format_row(row: Row, before: float | None) -> str:
    """Return the table line of a row, with its value in an earlier run if there is one."""
    figure = row.figure
    bound = "" if row.bound is None else f"{row.bound} ({row.bound.source})"
    before_text = "" if before is None else f"{before:.4g}"
    text = (
        f"{row.name:<58} {figure.value:>12.4g} {figure.unit:<16} {before_text:>12} "
        f"{_relative_change(before, figure.value):>8}  {row.verdict.value:<9} {bound}"
    )
    return text.rstrip()


def save_run(path: Path, seed: int, rows: Sequence[Row]) -> None:
    """Save the rows of a run as JSON in a file."""
    content = {"seed": seed, "rows": [_row_to_json(row) for row in rows]}
    path.write_text(json.dumps(content, indent=1) + "\n")


def load_run(path: Path) -> tuple[Row, ...]:
    """Return the rows of a saved run, or raise OSError, ValueError, KeyError or TypeError."""
    return tuple(_row_from_json(raw) for raw in json.loads(path.read_text())["rows"])


def _relative_change(before: float | None, value: float) -> str:
    if before is None or not before:
        return ""
    return f"{(value - before) / abs(before):+.1%}"


def _row_to_json(row: Row) -> Mapping[str, object]:
    bound = row.bound
    return {
        "group": row.group,
        "name": row.figure.name,
        "value": row.figure.value,
        "unit": row.figure.unit,
        "least": None if bound is None else bound.least,
        "most": None if bound is None else bound.most,
        "source": None if bound is None else bound.source,
        "verdict": row.verdict.value,
    }


def _row_from_json(raw: Mapping[str, object]) -> Row:
    least, most, source = raw["least"], raw["most"], raw["source"]
    bound = None if source is None else Bound(_number(least), _number(most), str(source))
    value = _number(raw["value"])
    if value is None:
        raise ValueError(f"{raw['name']} has no value")
    figure = Figure(str(raw["name"]), value, str(raw["unit"]))
    return Row(str(raw["group"]), figure, bound, Verdict(raw["verdict"]))


def _number(raw: object) -> float | None:
    if raw is None:
        return None
    if isinstance(raw, int | float):
        return float(raw)
    raise TypeError(f"{raw!r} is not a number")
