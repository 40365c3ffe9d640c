"""Run soaks from the command line."""

import argparse
import asyncio
import signal
import sys
import tempfile
from pathlib import Path

from soak.checks import Breach
from soak.run import Plan, Soak

TERMINATED = 128 + signal.SIGTERM  # the exit status that shells give a process ended by it


def main() -> int:
    """Run the seeds asked for and return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog="soak", description="Soak a small site under faults.")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=20.0, help="length of the disruptions")
    parser.add_argument("--vms", type=int, default=4)
    parser.add_argument("--targets", type=int, default=6)
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument("--network", type=int, default=77, help="n of the addresses 127.n.0.0")
    parser.add_argument("--keep", type=Path, help="folder for settings and logs")
    args = parser.parse_args()
    seeds = range(args.seed, args.seed + args.seeds)
    try:
        failed = [seed for seed in seeds if not _run(args, seed)]
    except asyncio.CancelledError:
        return TERMINATED
    print(f"{args.seeds - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


def _run(args: argparse.Namespace, seed: int) -> bool:
    plan = Plan(seed, args.seconds, args.vms, args.targets, args.callers, args.network)
    with tempfile.TemporaryDirectory() as made:
        folder = (args.keep or Path(made)) / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        soak = Soak(plan, folder)
        broken = asyncio.run(_play(soak))
    served = sum(sent.status == 200 for sent in soak.history.sent.values())
    print(f"seed {seed}: {served} of {len(soak.history.sent)} served, {len(broken)} breaches")
    for breach in broken[:10]:
        print(f"  {breach.promise}: {breach.detail}")
    if broken:
        print("  " + "; ".join(soak.log))
    return not broken


async def _play(soak: Soak) -> list[Breach]:
    """Play a soak; a SIGTERM ends its processes too."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await soak.run()


if __name__ == "__main__":
    sys.exit(main())
