"""Test decoding of the objects of operators and targets, and refusal of malformed ones."""

from typing import Any

import pytest

from chervilmill.platform import (
    EntryVmRegistration,
    InvalidObjectError,
    StoredObject,
    read_configuration,
    read_evacuation,
    read_registration,
    read_target,
)
from chervilmill.requests import RequestKind
from chervilmill.routing import WeightedService
from soak.site import RouteRow, configuration
from tests.support import stored_object

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
    read = read_configuration(stored_object("main", 3, configuration(12, routes)))
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
        read_configuration(stored_object("main", 3, configuration(1) | change))


def test_target_is_decoded() -> None:
    target = read_target(stored_object("i-1", 7, dict(ENTRY)))
    assert (target.name, target.incarnation, target.slots) == ("i-1", 1790000000000, 6)
    assert target.cold_left_s == 1.5
    assert not target.is_draining
    assert read_target(stored_object("i-1", 8, ENTRY | {"state": "draining"})).is_draining


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
        read_target(stored_object("i-1", 7, ENTRY | change))
    assert caught.value.peer == "i-1"


# Values of other writers that are no number, no text or no name within any bounds.
UNUSABLE_VALUES = [
    None,
    True,
    [[]],
    {},
    float("nan"),
    float("inf"),
    float("-inf"),
    10**400,
    -(10**400),
    "",
    "\ud800",
    "x" * 100_000,
]
CONTROL_TEXTS = ["a\r\nb: c", "a\x00", "a b", "\u017elut\u00fd"]


# A number of 401 digits ended every entry VM, again after each start.
@pytest.mark.parametrize("value", UNUSABLE_VALUES, ids=lambda value: ascii(value)[:24])
@pytest.mark.parametrize(
    "name", ["service", "address", "zone", "slots", "state", "cold-remaining-s", "born"]
)
def test_entry_with_a_value_beyond_all_bounds_is_refused(name: str, value: object) -> None:
    with pytest.raises(InvalidObjectError) as caught:
        read_target(stored_object("i-1", 7, ENTRY | {name: value}))
    assert len(caught.value.message) <= 256


@pytest.mark.parametrize("name", ["\ud800", "x" * 100_000, *CONTROL_TEXTS])
def test_entry_whose_name_cannot_be_sent_in_a_header_is_refused(name: str) -> None:
    with pytest.raises(InvalidObjectError) as caught:
        read_target(stored_object(name, 7, dict(ENTRY)))
    assert caught.value.peer.isascii()
    assert len(caught.value.peer) <= 2048


@pytest.mark.parametrize("value", UNUSABLE_VALUES, ids=lambda value: ascii(value)[:24])
@pytest.mark.parametrize("name", ["max-header-bytes", "max-body-bytes", "idle-timeout-s"])
def test_configuration_with_a_limit_beyond_all_bounds_is_refused(name: str, value: object) -> None:
    content = configuration(1)
    limits = content["limits"]
    assert isinstance(limits, dict)
    with pytest.raises(InvalidObjectError):
        read_configuration(stored_object("main", 3, content | {"limits": limits | {name: value}}))


@pytest.mark.parametrize("version", ["r" + "9" * 5000, "r-1", "r1.5", "r"])
def test_configuration_with_a_version_beyond_all_bounds_is_refused(version: str) -> None:
    with pytest.raises(InvalidObjectError):
        read_configuration(stored_object("main", 3, configuration(1) | {"version": version}))


def test_registration_is_decoded() -> None:
    registration = EntryVmRegistration("10.1.0.9", "north-a")
    assert read_registration(stored_object("vm", 1, registration.encode())) == registration


@pytest.mark.parametrize("value", [*UNUSABLE_VALUES, *CONTROL_TEXTS], ids=lambda v: ascii(v)[:24])
def test_registration_with_another_host_than_an_ip_address_is_refused(value: object) -> None:
    """A datagram to such a host would close the socket of the gossip protocol."""
    with pytest.raises(InvalidObjectError):
        read_registration(stored_object("vm", 1, {"host": value, "failure_domain": "north-a"}))


def test_evacuation_of_a_domain_that_cannot_be_encoded_is_refused() -> None:
    assert read_evacuation(StoredObject("north-a", 1)) == "north-a"
    with pytest.raises(InvalidObjectError):
        read_evacuation(StoredObject("\ud800", 1))
