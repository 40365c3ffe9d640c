"""Test decoding of the objects of operators and targets, and refusal of malformed ones."""

from typing import Any

import pytest

from chervilmill.platform import InvalidObjectError, StoredObject, read_configuration, read_target
from chervilmill.requests import RequestKind
from chervilmill.routing import WeightedService
from soak.site import RouteRow, configuration

ENTRY = {
    "service": "app",
    "address": "10.1.0.9:8080",
    "zone": "north-a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold-remaining-s": 1.5,
    "sequence": 4,
    "born": 1790000000000,
}


def test_configuration_is_decoded() -> None:
    split: list[dict[str, object]] = [
        {"service": "app", "weight": 90},
        {"service": "other", "weight": 10},
    ]
    routes = (RouteRow("a", "/a/", "upload", split=split, homes=["north"]), RouteRow("b", "/b/"))
    read = read_configuration(StoredObject("main", 3, configuration(12, routes)))
    assert read.version == 12
    first, second = read.routes
    assert first.kind is RequestKind.UPLOAD
    assert first.split == (WeightedService("app", 90.0), WeightedService("other", 10.0))
    assert first.home_regions == {"north"}
    assert second.split == (WeightedService("app", 1.0),)
    assert read.services["app"].cold_rate_per_s == 6.0
    assert read.limits.body_bytes == 1048576


@pytest.mark.parametrize(
    "change",
    [
        {"version": "12"},
        {"version": 12},
        {"routes": {"columns": ["name"], "rows": [["a", "b"]]}},
        {"routes": {"columns": ["name"], "rows": [["a"]]}},
        {"routes": None},
        {"limits": {}},
    ],
)
def test_configuration_that_cannot_be_read_is_refused(change: dict[str, Any]) -> None:
    with pytest.raises(InvalidObjectError):
        read_configuration(StoredObject("main", 3, configuration(1) | change))


def test_target_is_decoded() -> None:
    target = read_target(StoredObject("i-1", 7, dict(ENTRY)))
    assert (target.name, target.incarnation, target.slots) == ("i-1", 1790000000000, 6)
    assert target.cold_left_s == 1.5
    assert not target.is_draining
    assert read_target(StoredObject("i-1", 8, ENTRY | {"state": "draining"})).is_draining


@pytest.mark.parametrize(
    "change",
    [
        {"service": None},
        {"service": ""},
        {"service": ["app"]},
        {"address": "somewhere"},
        {"address": 8080},
        {"zone": None},
        {"slots": "6"},
        {"slots": True},
        {"state": "resting"},
        {"state": None},
        {"born": "now"},
        {"cold-remaining-s": "soon"},
    ],
)
def test_foreign_entry_is_refused(change: dict[str, Any]) -> None:
    with pytest.raises(InvalidObjectError) as caught:
        read_target(StoredObject("i-1", 7, ENTRY | change))
    assert caught.value.peer == "i-1"
