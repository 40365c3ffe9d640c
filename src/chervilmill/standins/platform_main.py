"""Command that runs the platform stand-in as a process."""

import argparse
import json
import sys
from collections.abc import Sequence
from pathlib import Path

from chervilmill.coordination._codec import vm_from_json
from chervilmill.standins.platform_server import platform_server
from chervilmill.standins.process import address_argument, run_until_stopped
from chervilmill.standins.store import MemoryStore


def main(argv: Sequence[str] | None = None) -> int:
    """Serve the platform's object API until SIGTERM or SIGINT and return the exit code."""
    args = _parser().parse_args(argv)
    store = MemoryStore()
    if args.vms is not None:
        for raw in json.loads(args.vms.read_text()):
            store.put_vm(vm_from_json(raw))
    return run_until_stopped("platform", platform_server(args.address, store))


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m chervilmill.standins.platform_main",
        description="Serve a platform stand-in: object store and VM list, in memory.",
    )
    parser.add_argument("--address", type=address_argument, required=True, metavar="IP:PORT")
    parser.add_argument("--vms", type=Path, metavar="FILE", help="JSON list of the initial VMs")
    return parser


if __name__ == "__main__":
    sys.exit(main())
