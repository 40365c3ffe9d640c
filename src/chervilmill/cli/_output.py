"""Print the results of commands as text or as JSON."""

import argparse
import json
from collections.abc import Iterable


def show(args: argparse.Namespace, value: object, lines: Iterable[str]) -> None:
    """Print a value as JSON if `--json` was given, and the lines of text otherwise."""
    if args.json:
        print(json.dumps(value, indent=2, sort_keys=True))
        return
    for line in lines:
        print(line)
