"""Send requests that crash their targets through a whole entry VM, with each way a crash shows."""

import asyncio
from pathlib import Path

import pytest

from chervilmill.aio import ExchangeError
from soak.site import RouteRow
from soak.target import CrashMode
from tests.entry.harness import SiteUnderTest, running_site
from tests.support import run_async

TARGETS = tuple(f"t{number}" for number in range(6))
RESENDS = 6
MAX_CRASHED = 2  # targets lost to a request that is sent again after each crash
EXPIRY_S = 1.0  # from a crash until the target's entry leaves the store


async def _resend_until_refused(site: SiteUnderTest, mode: CrashMode, **options: object) -> int:
    """Send the crashing request again after each crash and return how many targets crashed."""
    for target in site.targets.values():
        target.crash_mode = mode
    for _ in range(RESENDS):
        await _ask_and_leave(site, **options)  # type: ignore[arg-type]
        await _expire_crashed(site)
    return sum(target.has_crashed for target in site.targets.values())


async def _ask_and_leave(
    site: SiteUnderTest, *, deadline_ms: int = 2000, leave_after_s: float = 10.0
) -> None:
    asking = asyncio.create_task(
        site.ask("/order/crash", "POST", b"x", deadline_ms=deadline_ms, key="crash")
    )
    await asyncio.wait({asking}, timeout=leave_after_s)
    asking.cancel()
    await asyncio.gather(asking, return_exceptions=True)


async def _expire_crashed(site: SiteUnderTest) -> None:
    """Remove the entries of crashed targets from the store, as their missing heartbeats do."""
    await asyncio.sleep(EXPIRY_S)
    for name, target in site.targets.items():
        if target.has_crashed:
            site.store.delete("servers", name)
    await site.settle()


@pytest.mark.parametrize(
    ("mode", "options"),
    [
        (CrashMode.RESET, {}),
        (CrashMode.MIDWAY, {}),
        (CrashMode.SILENT, {}),
        (CrashMode.SILENT, {"deadline_ms": 300}),
        (CrashMode.SILENT, {"leave_after_s": 0.2}),
        (CrashMode.SILENT, {"deadline_ms": 8000, "leave_after_s": 1.0}),
    ],
    ids=[
        "connection_reset",
        "answer_broken_off_midway",
        "target_silent",
        "deadline_before_the_attempt_is_overdue",
        "caller_leaves",
        "caller_leaves_an_overdue_attempt",
    ],
)
def test_crash_is_not_counted(tmp_path: Path, mode: CrashMode, options: dict[str, object]) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, targets=TARGETS) as site:
            for number in range(12):
                await site.ask("/order/fine", "POST", b"x", key=str(number))
            assert await _resend_until_refused(site, mode, **options) <= MAX_CRASHED

    run_async(scenario)


def test_order_that_waits_for_its_deadline_hides_the_crash(tmp_path: Path) -> None:
    """The order comes again while earlier attempts still wait at silent targets."""

    async def scenario() -> None:
        async with running_site(tmp_path, targets=TARGETS) as site:
            for number in range(12):
                await site.ask("/order/fine", "POST", b"x", key=str(number))
            for target in site.targets.values():
                target.crash_mode = CrashMode.SILENT
            asked = []
            for _ in range(RESENDS):
                asked.append(
                    asyncio.create_task(
                        site.ask("/order/crash", "POST", b"x", deadline_ms=20_000, key="crash")
                    )
                )
                await asyncio.sleep(1.0)  # longer than the objective, so the attempt is overdue
                await _expire_crashed(site)
            crashed = sum(target.has_crashed for target in site.targets.values())
            for task in asked:
                task.cancel()
            await asyncio.gather(*asked, return_exceptions=True)
            assert crashed <= MAX_CRASHED

    run_async(scenario)


def test_suspect_is_kept_from_every_target_of_its_service(tmp_path: Path) -> None:
    """It must not be limited to a target that serves another service."""
    routes = (RouteRow("orders", "/order/", "unsafe", service="app"),)

    async def scenario() -> None:
        async with running_site(
            tmp_path, targets=("t1", "t2"), routes=routes, services=("app", "other")
        ) as site:
            for number in range(6):
                await site.add_target(f"o{number}", "other", "south-a")
            await site.settle()
            site.targets["t1"].faults.work_factor = site.targets["t2"].faults.work_factor = 20.0
            asking = asyncio.create_task(site.ask("/order/beside", "POST", b"x"))
            while not any(site.targets[name].records.runs for name in ("t1", "t2")):
                await asyncio.sleep(0.01)
            used = "t1" if site.targets["t1"].records.runs else "t2"
            site.targets[used].crash()
            await asyncio.gather(asking, return_exceptions=True)
            site.targets["t1"].faults.work_factor = site.targets["t2"].faults.work_factor = 1.0
            site.store.delete("servers", used)
            await site.settle()
            assert (await site.ask("/order/beside", "POST", b"x")).status == 200

    run_async(scenario)


def test_request_that_a_split_sends_to_other_services_starts_anew(tmp_path: Path) -> None:
    """Each service of a traffic split would lose targets of its own to the same request."""
    services = tuple(f"app-{number}" for number in range(4))
    split: list[dict[str, object]] = [{"service": name, "weight": 1} for name in services]
    routes = (RouteRow("orders", "/order/", "unsafe", split=split),)

    async def scenario() -> None:
        async with running_site(tmp_path, targets=(), routes=routes, services=services) as site:
            for name in services:
                for number in range(2):
                    await site.add_target(f"{name}-{number}", name)
            await site.settle()
            assert await _resend_until_refused(site, CrashMode.RESET) <= MAX_CRASHED

    run_async(scenario)


def test_resend_with_another_affinity_counts_as_another_request(tmp_path: Path) -> None:
    """A resend is recognised by its path, caller and body; other headers may differ."""

    async def scenario() -> None:
        async with running_site(tmp_path, targets=TARGETS) as site:
            for target in site.targets.values():
                target.crash_mode = CrashMode.RESET
            for number in range(RESENDS):
                await site.ask("/order/crash", "POST", b"x", key=f"object-{number}")
                await _expire_crashed(site)
            crashed = sum(target.has_crashed for target in site.targets.values())
            assert crashed <= MAX_CRASHED

    run_async(scenario)


async def _ask_from(site: SiteUnderTest, caller: int, path: str, body: bytes = b"x") -> int:
    """Send a request from a caller of its own address and return the status, 0 without any."""
    conn = await site.connect_from(f"127.0.1.{caller}")
    try:
        return (await site.ask(path, "POST", body, conn=conn, key="one-object")).status
    except ExchangeError:
        return 0
    finally:
        conn.abort()


def test_object_that_crashes_targets_takes_one_more_with_each_caller(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, targets=TARGETS) as site:
            for target in site.targets.values():
                target.crash_mode = CrashMode.RESET
            for caller in range(1, RESENDS + 1):
                await _ask_from(site, caller, "/order/crash")
                await _expire_crashed(site)
            crashed = sum(target.has_crashed for target in site.targets.values())
            assert crashed <= MAX_CRASHED

    run_async(scenario)


def test_other_callers_are_refused_for_the_crashes_of_one(tmp_path: Path) -> None:
    """One caller's request crashes its targets; the same path is harmless for everyone else."""

    async def scenario() -> None:
        async with running_site(tmp_path, targets=TARGETS) as site:
            for target in site.targets.values():
                target.crash_mode = CrashMode.RESET
            for _ in range(3):
                await _ask_from(site, 1, "/order/crash")
                await _expire_crashed(site)
            for target in site.targets.values():
                target.crashing_path_end = "never"
            assert [await _ask_from(site, caller, "/order/crash") for caller in (2, 3, 4)] == [
                200,
                200,
                200,
            ]
            assert await _ask_from(site, 1, "/order/crash") == 503

    run_async(scenario)


@pytest.mark.parametrize("status", [500, 504])
def test_failure_answered_by_a_target_clears_a_crashing_object(tmp_path: Path, status: int) -> None:
    """A run that a target ends early, for an error or at the deadline, proves nothing."""

    async def scenario() -> None:
        async with running_site(tmp_path, targets=TARGETS) as site:
            for target in site.targets.values():
                target.crash_mode = CrashMode.RESET
                target.failure_status = status
            for caller in range(1, RESENDS + 1):
                await _ask_from(site, caller, "/order/crash")
                await _expire_crashed(site)
                for target in site.targets.values():
                    target.faults.fail = 1
                await _ask_from(site, caller, "/order/crash")
                for target in site.targets.values():
                    target.faults.fail = 0
            crashed = sum(target.has_crashed for target in site.targets.values())
            assert crashed <= MAX_CRASHED

    run_async(scenario)
