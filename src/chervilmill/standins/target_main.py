"""Command that runs a target stand-in as a process."""

import argparse
import json
import sys
from collections.abc import Sequence

from chervilmill.standins.process import address_argument, run_until_stopped
from chervilmill.standins.target_server import TargetState, target_server


def main(argv: Sequence[str] | None = None) -> int:
    """Serve one target until SIGTERM or SIGINT and return the exit code."""
    args = _parser().parse_args(argv)
    state = TargetState(args.name)
    state.behave(args.behaviour)
    return run_until_stopped(args.name, target_server(args.address, state))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m chervilmill.standins.target_main",
        description="Serve one target stand-in.",
    )
    parser.add_argument("--address", type=address_argument, required=True, metavar="IP:PORT")
    parser.add_argument("--name", required=True, metavar="NAME")
    parser.add_argument(
        "--behaviour",
        type=json.loads,
        default={},
        metavar="JSON",
        help='behaviour fields of TargetState, such as {"slots": 3, "work_s": 0.05}',
    )
    return parser


if __name__ == "__main__":
    sys.exit(main())
