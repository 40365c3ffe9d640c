"""Run the benchmarks and set their figures against the bounds."""

import argparse
import importlib
import importlib.util
import sys
from collections.abc import Iterator, Sequence

from bench._rows import Group, Row, Verdict, judge, load_bounds

GROUPS = ("requests", "lookup", "steering", "nodes", "faults", "capacity")


def main(argv: Sequence[str] | None = None) -> int:
    """Run groups of benchmarks and return 1 when any figure is over its bound."""
    args = _parser().parse_args(argv)
    is_over = False
    for row in _rows(args.groups or _available(), args.seed):
        print(_line(row), flush=True)
        is_over = is_over or row.verdict is Verdict.OVER
    return int(is_over)


def _rows(groups: Sequence[str], seed: int) -> Iterator[Row]:
    bounds = load_bounds()
    for name in groups:
        measure: Group = importlib.import_module(f"bench.{name}").figures
        for figure in measure(seed):
            yield judge(name, figure, bounds)


def _available() -> tuple[str, ...]:
    return tuple(name for name in GROUPS if importlib.util.find_spec(f"bench.{name}"))


def _line(row: Row) -> str:
    figure = row.figure
    bound = "" if row.bound is None else f"{row.bound} ({row.bound.source})"
    name = f"{row.group}.{figure.name}"
    return f"{name:<56} {figure.value:>14.4g} {figure.unit:<10} {bound:<40} {row.verdict.value}"


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m bench", description="Run benchmarks.")
    parser.add_argument("groups", nargs="*", metavar="GROUP", help=", ".join(GROUPS))
    parser.add_argument("--seed", type=int, default=1)
    return parser


if __name__ == "__main__":
    sys.exit(main())
