"""Serve callers although another writer leaves entries that cannot be read."""

from pathlib import Path

import pytest

from tests.entry.harness import SiteUnderTest, running_site
from tests.support import run_async

HUGE = 10**400
NESTED: list[object] = []
for _ in range(300):
    NESTED = [NESTED]

FOREIGN_ENTRIES: dict[str, dict[str, object]] = {
    "i-cold": {"cold-remaining-s": HUGE},
    "i-nan": {"cold-remaining-s": float("nan")},
    "i-slots": {"slots": HUGE},
    "i-negative": {"slots": -HUGE},
    "i-born": {"born": HUGE},
    "i-service": {"service": "\ud800"},
    "i-zone": {"zone": "\ud800"},
    "i-address": {"address": "127.0.0.1:" + "9" * 5000},
    "i-state": {"state": NESTED},
    "i-nested": {"slots": NESTED},
    "i-crlf\r\nx: y": {},
    "i-\ud800": {},
    "i-long" + "x" * 100_000: {},
}


async def _served(site: SiteUnderTest, count: int) -> int:
    """Return how many requests are served, for one object each so that all targets get some."""
    answers = [await site.ask("/order/a", "POST", b"x", key=str(n)) for n in range(count)]
    return sum(answer.status == 200 for answer in answers)


# One entry with a number of 401 digits ended all entry VMs.
@pytest.mark.parametrize("name", sorted(FOREIGN_ENTRIES), ids=lambda name: ascii(name)[:24])
def test_entry_of_another_writer_costs_only_that_entry(tmp_path: Path, name: str) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            entry = next(iter(site.targets.values())).entry(
                "app", next(iter(site.addresses.values())), "north-a", 1
            )
            site.store.put("servers", name, entry | FOREIGN_ENTRIES[name])
            await site.settle()
            assert await _served(site, 12) == 12
            await site.add_target("i-later")
            await site.settle()
            assert "i-later" in site.vm._site_state.view.targets
            assert not site.vm._stop_requested.is_set()
            assert name not in site.vm._site_state.view.targets

    run_async(scenario)


def test_registration_of_another_writer_does_not_stop_gossip(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            for number, host in enumerate(["\ud800", "a\x00b", "x" * 400, "nowhere.example", HUGE]):
                content = {"host": host, "failure_domain": "north-a"}
                site.store.put("entry-vms", f"other-{number}", content)
            await site.settle()
            transport = site.vm._gossip._transport
            assert transport is not None and not transport.is_closing()
            assert await _served(site, 4) == 4
            assert not site.vm._stop_requested.is_set()

    run_async(scenario)
