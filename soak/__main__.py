"""Command line of the soak."""

import argparse
import asyncio
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

from soak.builds import BuildError, export_build
from soak.options import SoakOptions
from soak.records import Breach
from soak.run import Soak

TERMINATED_STATUS = 128 + signal.SIGTERM  # as shells report a process ended by SIGTERM


def main() -> int:
    """Run a soak for each requested seed; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(
        prog="soak", description="Run a small site under random faults."
    )
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="how long disruptions are started"
    )
    parser.add_argument("--vms", type=int, default=4)
    parser.add_argument("--targets", type=int, default=6)
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument(
        "--network", type=int, default=77, help="n in the loopback addresses 127.n.0.0"
    )
    parser.add_argument(
        "--sound-store", action="store_true", help="leave the store undisturbed all the time"
    )
    parser.add_argument(
        "--only-crashes",
        action="store_true",
        help="disrupt nothing but targets, by one request that crashes them several times a second",
    )
    parser.add_argument(
        "--crash-hosts",
        type=int,
        default=0,
        help="send the crashing requests from this many addresses, each a caller of its own",
    )
    parser.add_argument("--limits", action="store_true", help="have targets name limits")
    parser.add_argument(
        "--previous",
        metavar="COMMIT",
        help="start with this version, upgrade the entry VMs one by one, and go back",
    )
    parser.add_argument(
        "--replicas-state-present",
        action="store_true",
        help="have reads that may be stale state the present revision",
    )
    parser.add_argument(
        "--replica-age", type=float, default=0.0, help="age of reads that may be stale, in seconds"
    )
    parser.add_argument(
        "--answer",
        type=float,
        default=0.0,
        metavar="S",
        help="have each answer of the store take 0.7 to 1.0 of S seconds, watches after the wait",
    )
    parser.add_argument(
        "--linearizable-answer",
        type=float,
        default=0.0,
        metavar="S",
        help="have linearizable answers of the store take 0.7 to 1.0 of S seconds longer",
    )
    parser.add_argument(
        "--busy-reads",
        type=float,
        default=0.0,
        metavar="SHARE",
        help="have the store refuse this share of the linearizable reads with 429 or 503",
    )
    parser.add_argument(
        "--calm", action="store_true", help="start only planned changes, and disrupt nothing"
    )
    parser.add_argument(
        "--outages",
        action="store_true",
        help="kill all entry VMs at once, and take the store away until entries lapse",
    )
    parser.add_argument(
        "--compactions",
        action="store_true",
        help="have the store drop its history again and again, after watches heard of nothing",
    )
    parser.add_argument(
        "--press",
        type=float,
        default=0.0,
        metavar="RATE",
        help="run all VMs on one core and ask them for this many requests a second more",
    )
    parser.add_argument(
        "--busy", type=int, default=0, help="with --press, busy processes on that core"
    )
    parser.add_argument("--keep", type=Path, help="keep settings and logs in this folder")
    args = parser.parse_args()
    seeds = range(args.seed, args.seed + args.seeds)
    try:
        with tempfile.TemporaryDirectory() as folder:
            previous = export_build(args.previous, Path(folder)) if args.previous else None
            failed_seeds = [seed for seed in seeds if not _run_seed(args, seed, previous)]
    except BuildError as exc:
        parser.error(str(exc))
    except asyncio.CancelledError:
        return TERMINATED_STATUS
    print(f"{args.seeds - len(failed_seeds)} passed, {len(failed_seeds)} failed")
    return 1 if failed_seeds else 0


def _run_seed(args: argparse.Namespace, seed: int, previous: Path | None) -> bool:
    options = SoakOptions(
        seed,
        args.seconds,
        args.vms,
        args.targets,
        args.callers,
        args.network,
        disturbs_store=not args.sound_store,
        only_crashes=args.only_crashes,
        names_limits=args.limits,
        crash_hosts=args.crash_hosts,
        previous=previous,
        replica_age_s=args.replica_age,
        replicas_state_present=args.replicas_state_present,
        press_per_s=args.press,
        busy_processes=args.busy,
        answer_s=args.answer,
        linearizable_answer_s=args.linearizable_answer,
        busy_reads_share=args.busy_reads,
        is_calm=args.calm,
        outages=args.outages,
        compactions=args.compactions,
    )
    with tempfile.TemporaryDirectory() as temporary:
        folder = (args.keep or Path(temporary)) / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        soak = Soak(options, folder)
        breaches = asyncio.run(_run_until_terminated(soak))
    served = sum(attempt.status == 200 for attempt in soak.history.attempts.values())
    print(f"seed {seed}: {served} of {len(soak.history.attempts)} served, {len(breaches)} breaches")
    for promise, count in Counter(breach.promise for breach in breaches).items():
        print(f"  {promise}: {count}")
    for breach in breaches[:10]:
        print(f"  {breach.promise}: {breach.detail}")
    if breaches:
        print("  " + "; ".join(soak.log))
    return not breaches


async def _run_until_terminated(soak: Soak) -> list[Breach]:
    """Run a soak; cancel it on SIGTERM, so that its processes end too."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await soak.run()


if __name__ == "__main__":
    sys.exit(main())
