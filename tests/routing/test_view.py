"""Check the view of a site after single changes, the choice of a route and the traffic split."""

from dataclasses import replace

import pytest

from chervilmill.addresses import Address
from chervilmill.requests import RequestKind
from chervilmill.routing import (
    CallerLimits,
    Configuration,
    ConfigurationApplied,
    EvacuationChanged,
    Route,
    SiteView,
    Target,
    TargetChanged,
    TargetRemoved,
    TrafficSplitter,
    WeightedService,
    find_route,
)

TARGET = Target("t", 1, "app", Address("127.0.0.1", 1), "a", 6, False, 0.0)


def _configuration(version: int) -> Configuration:
    return Configuration(version, (), {}, CallerLimits())


def _route(name: str, host: str, prefix: str) -> Route:
    split = (WeightedService("app", 1.0),)
    kind = RequestKind.IDEMPOTENT
    return Route(name, host, prefix, kind, 2.0, 0.5, 1, 2, True, frozenset(), split)


def test_configuration_never_goes_back() -> None:
    view = SiteView()
    assert view.apply_configuration(_configuration(3)) == [
        ConfigurationApplied(_configuration(3), None)
    ]
    assert view.apply_configuration(_configuration(2)) == []
    assert view.apply_configuration(_configuration(3)) == []
    assert view.apply_configuration(_configuration(9)) == [
        ConfigurationApplied(_configuration(9), 3)
    ]


def test_new_lifetime_under_the_same_name_is_a_new_target() -> None:
    view = SiteView()
    assert view.put_target(TARGET) == [TargetChanged(TARGET, None)]
    draining = replace(TARGET, is_draining=True)
    assert view.put_target(draining) == [TargetChanged(draining, TARGET)]
    restarted = replace(TARGET, incarnation=2)
    assert view.put_target(restarted) == [TargetChanged(restarted, None)]
    assert view.put_target(restarted) == []


@pytest.mark.parametrize(
    ("target", "evacuated", "is_usable"),
    [
        (TARGET, (), True),
        (replace(TARGET, is_draining=True), (), False),
        (TARGET, ("a",), False),
        (TARGET, ("b",), True),
        (replace(TARGET, service="other"), (), False),
    ],
)
def test_usable(target: Target, evacuated: tuple[str, ...], is_usable: bool) -> None:
    view = SiteView()
    view.put_target(target)
    view.set_evacuated(evacuated)
    assert bool(view.usable_targets("app")) is is_usable


def test_target_with_expired_entry_is_kept_while_it_may_register_again() -> None:
    view = SiteView()
    view.put_target(TARGET)
    view.keep_expired_target("t", 12.5)
    assert view.is_expired("t")
    assert view.drop_expired(12.0) == []
    assert view.usable_targets("app")
    assert view.drop_expired(12.6) == [TargetRemoved(TARGET)]


def test_target_that_registers_again_stays() -> None:
    view = SiteView()
    view.put_target(TARGET)
    view.keep_expired_target("t", 12.5)
    view.put_target(TARGET)
    assert view.drop_expired(20.0) == []


def test_draining_target_is_not_kept_after_its_entry_expires() -> None:
    view = SiteView()
    view.put_target(replace(TARGET, is_draining=True))
    view.keep_expired_target("t", 12.5)
    assert not view.is_expired("t")


def test_evacuations_are_reported_once() -> None:
    view = SiteView()
    assert view.set_evacuated(["a"]) == [EvacuationChanged("a", True)]
    assert view.set_evacuated(["a"]) == []
    assert view.set_evacuated([]) == [EvacuationChanged("a", False)]


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("h.example", "/a/x", "short"),
        ("h.example", "/a/b/x", "long"),
        ("H.EXAMPLE:8080", "/a/b/x", "long"),
        ("h.example", "/a", None),
        ("h.example", "/ab/x", None),
        ("other.example", "/a/x", "other"),
        ("none.example", "/a/x", None),
    ],
)
def test_route_with_the_longest_prefix_of_the_host_is_found(
    host: str, path: str, name: str | None
) -> None:
    routes = [
        _route("short", "h.example", "/a/"),
        _route("long", "h.example", "/a/b/"),
        _route("other", "other.example", "/a/"),
    ]
    found = find_route(routes, host, path)
    assert (found.name if found else None) == name


@pytest.mark.parametrize("weights", [(1, 1), (90, 10), (3, 2, 1), (0, 1), (1, 999)])
def test_split_is_never_far_from_its_weights(weights: tuple[int, ...]) -> None:
    splitter = TrafficSplitter()
    split = [WeightedService(f"s{number}", float(weight)) for number, weight in enumerate(weights)]
    counts = dict.fromkeys((part.service for part in split), 0)
    for number in range(1, 1001):
        counts[splitter.pick("route", split)] += 1
        for part in split:
            wanted = number * part.weight / sum(weights)
            assert abs(counts[part.service] - wanted) <= len(weights)
