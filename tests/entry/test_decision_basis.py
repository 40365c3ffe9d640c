"""Test that the log lines of a request tell which knowledge decided it."""

import asyncio
import random
from pathlib import Path
from types import SimpleNamespace

import pytest

from chervilmill._log_budget import Budget
from chervilmill.aio import ClientConnection
from chervilmill.entry._copy_updates import Provenance
from chervilmill.entry._decision_basis import UNPROVEN, BasisReader, CopyTrust, DecisionBasis
from chervilmill.entry._site_state import SiteState
from chervilmill.overload import TargetFleet
from chervilmill.peers import KindReplica, Membership, Peer
from chervilmill.platform import CONFIGURATION_KIND, TARGET_KIND, StoredObject, StoreVersion
from chervilmill.routing import Target
from soak.site import DEFAULT_ROUTES, configuration
from tests.entry.harness import SiteUnderTest, running_site
from tests.entry.logged import Line, logged_lines, of_event
from tests.entry.pair import Pair
from tests.support import run_async

NOW_S = 100.0
STARTED_S = 97.5
PROVEN_REVISION = 37
MAX_AGE_S = 2.2
BASIS_FIELDS = [
    "config_version",
    "config_as_of",
    "config_proven_by",
    "targets_version",
    "copy_age_s",
    "basis",
]


def _reader(
    age_s: float | None, *, is_away: bool = False, in_force_revision: int = PROVEN_REVISION
) -> BasisReader:
    fleet = TargetFleet("vm", "north", {"north-a": "north"}, random.Random(1))
    own = Peer("vm", "127.0.0.1", "north-a")
    membership = Membership("vm", 1, random.Random(1))
    targets = KindReplica(TARGET_KIND)
    targets.last_proven_change = StoreVersion(2, 40)
    config = KindReplica(CONFIGURATION_KIND)
    config.as_of = StoreVersion(2, 38)
    config.proven = {"main": StoredObject("main", PROVEN_REVISION)}
    site_state = SiteState(fleet, membership, own, lambda: NOW_S, 1.5)
    site_state.configuration_revision = in_force_revision
    return BasisReader(
        site_state,
        targets,
        MAX_AGE_S,
        lambda: None if age_s is None else NOW_S - age_s,
        lambda _: is_away,
        STARTED_S,
        config,
        lambda: Provenance("list"),
    )


@pytest.mark.parametrize(
    ("age_s", "is_away", "trust"),
    [
        (0.5, False, CopyTrust.CONFIRMED),
        (0.5, True, CopyTrust.CONFIRMED),
        (3.0, False, CopyTrust.UNCONFIRMED),
        (3.0, True, CopyTrust.STORE_AWAY),
        (None, False, CopyTrust.UNCONFIRMED),
        (None, True, CopyTrust.STORE_AWAY),
    ],
)
def test_basis_tells_why_copies_were_good_enough(
    age_s: float | None, is_away: bool, trust: CopyTrust
) -> None:
    reader = _reader(age_s, is_away=is_away)
    assert reader.read(NOW_S) == DecisionBasis(
        None, StoreVersion(2, 40), age_s, trust, StoreVersion(2, 38), "list"
    )
    assert reader.uptime_s(NOW_S) == 2.5


@pytest.mark.parametrize(
    ("in_force_revision", "proven_by"),
    [(PROVEN_REVISION, "list"), (PROVEN_REVISION + 1, UNPROVEN)],
)
def test_configuration_in_force_may_be_known_from_hints_alone(
    in_force_revision: int, proven_by: str
) -> None:
    reader = _reader(0.5, in_force_revision=in_force_revision)
    assert reader.read(NOW_S).config_proven_by == proven_by


def test_fields_are_short_and_readable() -> None:
    basis = DecisionBasis(
        7, StoreVersion(2, 40), 0.123456, CopyTrust.STORE_AWAY, StoreVersion(2, 38), "peer of vm-2"
    )
    assert basis.log_fields() == {
        "config_version": 7,
        "config_as_of": (2, 38),
        "config_proven_by": "peer of vm-2",
        "targets_version": (2, 40),
        "copy_age_s": 0.123,
        "basis": "store away",
    }


def _assert_basis(line: Line, site: SiteUnderTest, version: int) -> None:
    assert line["config_version"] == version
    entry = site.targets["t1"].entry("app", site.addresses["t1"], "north-a", 1)
    unchanged = site.store.put("servers", "t1", entry)
    assert line["targets_version"] == [site.store.era, unchanged]
    assert 0.0 <= line["copy_age_s"] < MAX_AGE_S
    assert line["basis"] == "confirmed"
    assert line["config_as_of"] <= [site.store.era, site.store.revision]
    assert line["config_proven_by"] == "list"


def _order(line: Line, *names: str) -> list[int]:
    return [list(line).index(name) for name in names]


def test_answered_and_refused_requests_state_what_decided_them(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, targets=("t1",)) as site:
            site.store.put("config", "main", configuration(5, DEFAULT_ROUTES, ("app",)))
            await asyncio.sleep(1.0)
            with logged_lines() as lines:
                assert (await site.ask("/read/1")).status == 200
                assert (await site.ask("/nowhere/1")).status == 404
            (answered,) = of_event(lines, "answered")
            (refused,) = of_event(lines, "request refused")
            _assert_basis(answered, site, 5)
            _assert_basis(refused, site, 5)
            assert refused["uptime_s"] > 0.0
            assert (answered["budget"], refused["budget"]) == (Budget.REQUESTS, Budget.FAILURES)
            places = _order(refused, "reason", "detail", "uptime_s", *BASIS_FIELDS, "status")
            assert places == list(range(places[0], places[0] + len(places)))

    run_async(scenario)


def test_failed_attempts_state_what_decided_them(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, targets=("t1",)) as site:
            await asyncio.sleep(1.0)
            site.targets["t1"].crash()
            with logged_lines() as lines:
                assert (await site.ask("/read/1")).status == 503
            failed = of_event(lines, "attempt failed")[0]
            _assert_basis(failed, site, 1)
            places = _order(failed, "target", "end", "detail", "status", *BASIS_FIELDS)
            assert places == list(range(places[0], places[0] + len(places)))

    run_async(scenario)


def test_age_of_the_copies_is_observed_when_a_request_is_written(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path, targets=("t1",)) as site:
            await asyncio.sleep(1.0)
            registry = site.vm._metrics.registry
            name = "chervilmill_copy_age_at_send_seconds"
            assert registry.get_sample_value(f"{name}_count") == 0.0
            with logged_lines() as lines:
                assert (await site.ask("/read/1")).status == 200
                assert (await site.ask("/nowhere/1")).status == 404
                site.targets["t1"].crash()
                assert (await site.ask("/read/1")).status == 503
            (answered,) = of_event(lines, "answered")
            written = 1 + len(
                [line for line in of_event(lines, "attempt failed") if line["end"] != "not_sent"]
            )
            assert registry.get_sample_value(f"{name}_count") == written
            assert registry.get_sample_value(f"{name}_bucket", {"le": "10.0"}) == written
            assert registry.get_sample_value(f"{name}_sum") >= answered["copy_age_s"] - 0.001

    run_async(scenario)


def test_relayed_requests_state_what_decided_them(tmp_path: Path) -> None:
    async def scenario() -> None:
        pair = Pair(tmp_path)
        try:
            await pair.start()
            await asyncio.sleep(1.0)
            site = pair.sites[1]
            dispatcher = site.vm._forwarder._dispatcher
            dispatcher._reach = SimpleNamespace(is_cut_off=True)
            with logged_lines() as lines:
                assert (await site.ask("/read/1")).status == 200
            (relayed,) = of_event(lines, "request relayed")
            assert relayed["config_version"] == 1
            assert relayed["targets_version"] == [
                pair.store.era,
                site.vm._replicas["servers"].last_change.revision,
            ]
            assert relayed["basis"] == "confirmed"
            assert relayed["budget"] is Budget.REQUESTS
            places = _order(relayed, "end", "detail", "status", *BASIS_FIELDS)
            assert places == list(range(places[0], places[0] + len(places)))
        finally:
            await pair.stop()

    run_async(scenario)


def test_configuration_that_came_after_the_route_was_chosen_does_not_count(tmp_path: Path) -> None:
    """A request waits for its connection while routes and targets change."""

    async def scenario() -> None:
        async with running_site(tmp_path, targets=("t1",)) as site:
            await asyncio.sleep(1.0)
            pool = site.vm._pool
            acquire, before = pool.acquire, site.vm._replicas["servers"].last_change.revision

            async def acquire_late(target: Target) -> ClientConnection:
                site.store.put("config", "main", configuration(5, DEFAULT_ROUTES, ("app",)))
                await site.add_target("t2")
                await asyncio.sleep(1.0)
                return await acquire(target)

            pool.acquire = acquire_late  # type: ignore[method-assign]
            with logged_lines() as lines:
                assert (await site.ask("/read/1")).status == 200
            assert site.vm._site_state.view.configuration.version == 5
            (answered,) = of_event(lines, "answered")
            assert answered["config_version"] == 1
            assert answered["targets_version"][1] > before

    run_async(scenario)


def test_vm_without_a_configuration_says_so_and_for_how_long(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            site.vm._site_state.view.configuration = None  # as before the first list
            with logged_lines() as lines:
                assert (await site.ask("/read/1")).status == 503
            (refused,) = of_event(lines, "request refused")
            assert refused["detail"] == "no configuration"
            assert refused["config_version"] is None
            assert 0.0 < refused["uptime_s"] < 60.0

    run_async(scenario)


def test_vm_with_a_stale_configuration_says_so_and_how_old_it_is(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_site(tmp_path) as site:
            await asyncio.sleep(1.0)
            site.vm._forwarder._is_view_fresh = lambda: False
            with logged_lines() as lines:
                assert (await site.ask("/nowhere/1")).status == 503
            (refused,) = of_event(lines, "request refused")
            assert refused["detail"] == "stale configuration"
            assert refused["config_version"] == 1
            assert refused["copy_age_s"] >= 0.0

    run_async(scenario)
