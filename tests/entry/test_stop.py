"""Stop an entry VM while callers go on sending requests."""

import asyncio
from dataclasses import replace
from pathlib import Path

import pytest

from soak.site import RouteRow
from tests.entry.harness import SiteUnderTest, running_site
from tests.support import run_async

GRACE_S = 6.0
TIMEOUT_S = 5.0
ROUTES = (
    RouteRow("orders", "/order/", "unsafe", timeout_s=TIMEOUT_S),
    RouteRow("short", "/short/", "unsafe", timeout_s=1.0),
)


def _request_stop(site: SiteUnderTest, grace_s: float) -> None:
    vm = site.vm
    vm._settings = replace(vm._settings, bounds=replace(vm._settings.bounds, stop_grace_s=grace_s))
    vm.request_stop()


# Such requests were passed on, and cut without an answer when the grace period ended.
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_request_that_cannot_end_within_the_grace_period_is_refused_at_once(
    tmp_path: Path, method: str
) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, routes=ROUTES) as site:
            await site.ask("/short/a", "POST", b"x")
            _request_stop(site, GRACE_S)
            await asyncio.sleep(GRACE_S - TIMEOUT_S)
            loop = asyncio.get_running_loop()
            sent_s = loop.time()
            answer = await site.ask("/order/late", method, deadline_ms=9000, request_id="late")
            assert answer.status == 503
            assert float(answer.headers[b"retry-after"]) < 0.2
            assert loop.time() - sent_s < 0.5
            assert site.runs("late") == 0

    run_async(scenario)


@pytest.mark.parametrize(("path", "deadline_ms"), [("/short/a", 9000), ("/order/a", 1000)])
def test_request_that_can_end_within_the_grace_period_is_served(
    tmp_path: Path, path: str, deadline_ms: int
) -> None:
    """Its route's time-out, or its caller's, ends it in time."""

    async def scenario() -> None:
        async with running_site(tmp_path, routes=ROUTES) as site:
            _request_stop(site, GRACE_S)
            await asyncio.sleep(GRACE_S - TIMEOUT_S)
            answer = await site.ask(path, "POST", b"x", deadline_ms=deadline_ms)
            assert answer.status == 200

    run_async(scenario)
