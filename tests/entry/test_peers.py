"""Run two entry VMs, one of which the store refuses."""

import asyncio
from pathlib import Path

from chervilmill.requests import Lifetime, Quarantined
from soak.site import DEFAULT_ROUTES, RouteRow, configuration
from tests.entry.harness import until
from tests.entry.pair import Pair
from tests.support import run_async

ADDED = (*DEFAULT_ROUTES, RouteRow("more", "/more/"))


def test_vm_that_the_store_turns_away_learns_from_its_peer(tmp_path: Path) -> None:
    """A new configuration and an evacuation reach the refused VM within their bounds."""

    async def scenario() -> None:
        pair = Pair(tmp_path)
        try:
            await pair.start()
            await asyncio.sleep(1.0)
            pair.refuse_second()
            await asyncio.sleep(0.2)
            pair.store.put("config", "main", configuration(2, ADDED))
            cut_off = pair.sites[1]

            async def serves_added() -> bool:
                return (await cut_off.ask("/more/a")).status == 200

            await until(serves_added, 2.5)
            pair.store.put("evacuations", "north-a", {})

            async def refuses_all() -> bool:
                return (await cut_off.ask("/read/a")).status == 503

            await until(refuses_all, 5.0)
        finally:
            await pair.stop()

    run_async(scenario)


def test_unknown_route_gets_503_while_the_store_refuses_the_vm(tmp_path: Path) -> None:
    """A newer configuration may contain the route, so the VM must not answer 404."""

    async def scenario() -> None:
        pair = Pair(tmp_path)
        try:
            await pair.start()
            assert (await pair.sites[1].ask("/none/a")).status == 404
            pair.refuse_second()

            async def says_so() -> bool:
                return (await pair.sites[1].ask("/none/a")).status == 503

            await until(says_so, 3.0)
        finally:
            await pair.stop()

    run_async(scenario)


def test_vm_that_starts_later_runs_a_quarantined_request(tmp_path: Path) -> None:
    """A VM that starts long after a request was quarantined must learn of it from its peers."""
    fingerprint = b"f" * 16

    async def scenario() -> None:
        pair = Pair(tmp_path)
        try:
            await pair.start()
            first = pair.sites[0].vm._crashes
            for target in ("t1", "t2", "t3"):
                now_s = asyncio.get_running_loop().time()
                first.set_targets({"t1": "north-a", "t2": "north-b", "t3": "south-a"})
                first.verdict(fingerprint, now_s, lambda name, down=target: name == down)
                first.record_loss(fingerprint, Lifetime(target), now_s, now_s)
                first.record_crash(target, now_s)
            now_s = asyncio.get_running_loop().time()
            assert isinstance(first.verdict(fingerprint, now_s, lambda _: True), Quarantined)
            await asyncio.sleep(5.0)  # every report has been sent as often as it is
            await pair.restart_second()

            async def is_refused() -> bool:
                now_s = asyncio.get_running_loop().time()
                verdict = pair.sites[1].vm._crashes.verdict(fingerprint, now_s, lambda _: True)
                return isinstance(verdict, Quarantined)

            await until(is_refused, 2.0)
        finally:
            await pair.stop()

    run_async(scenario)
