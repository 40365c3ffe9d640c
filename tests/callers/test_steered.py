"""Test that requests are limited to the failure domains that steering allows."""

import random
from types import SimpleNamespace

import pytest

from chervilmill.callers import Refusal, SteeredRequests
from chervilmill.reasons import Ran, RefusalReason
from chervilmill.requests import AllowedDomains, AttemptEnd, TargetInfo, TargetPolicy
from chervilmill.steering import PlaceChoice
from tests.callers.harness import SERVICE, running

REGIONS = (("praha-a", "praha"), ("praha-b", "praha"), ("brno-a", "brno"), ("brno-b", "brno"))
REQUESTS = 4000


class FixedSteering:
    """Steering that gives every caller the same places."""

    place_regions = REGIONS

    def __init__(self, *, is_steered: bool, admitted: float = 1.0, **weights: float) -> None:
        regions = dict(REGIONS)
        named = {name.replace("_", "-"): weight for name, weight in weights.items()}
        self._choices = tuple(
            PlaceChoice(name, regions[name], weight) for name, weight in named.items()
        )
        self._is_steered = is_steered
        self._admitted = admitted

    def is_steered(self, service: str) -> bool:
        return self._is_steered

    def places_for(self, service: str, client_address: str) -> tuple[PlaceChoice, ...]:
        return self._choices

    def admits(self, service: str, client_address: str, draw: float) -> bool:
        return draw < self._admitted


class FixedLinks:
    """Link budgets that are open to some regions and record where requests were sent."""

    def __init__(self, *regions: str) -> None:
        self._regions = regions
        self.sent_to: list[str] = []

    def is_open(self, service: str, region: str) -> bool:
        return region in self._regions

    def charge_request(self, service: str, region: str) -> None:
        self.sent_to.append(region)


ALL_OPEN = FixedLinks("praha", "brno")


def request(number: int) -> SimpleNamespace:
    return SimpleNamespace(request_id=f"request-{number}", service=SERVICE, client="10.0.0.1")


@pytest.mark.parametrize(
    ("is_steered", "weights", "first", "near"),
    [
        (False, {"praha_a": 1.0}, None, {"praha-a", "praha-b"}),
        (True, {"praha_a": 1.0, "praha_b": 0.2}, "praha-a", {"praha-a", "praha-b"}),
        (True, {"praha_b": 1.0}, "praha-b", {"praha-b"}),
        (True, {"brno_a": 1.0, "brno_b": 0.5}, "brno-a", {"brno-a", "brno-b"}),
    ],
    ids=["never steered", "both domains", "the other domain leaves", "steered to another region"],
)
def test_domains_of_a_request(is_steered, weights, first, near) -> None:
    steered = SteeredRequests(FixedSteering(is_steered=is_steered, **weights), ALL_OPEN, "praha")
    assert steered.domains(request(1)) == AllowedDomains(frozenset(near), first)


def test_no_more_requests_may_leave_the_region_than_is_unused_elsewhere() -> None:
    steering = FixedSteering(is_steered=True, praha_a=1.0, brno_a=0.25, brno_b=0.1)
    steered = SteeredRequests(steering, ALL_OPEN, "praha")
    found = [steered.domains(request(number)).allowed for number in range(REQUESTS)]
    assert sum("brno-a" in allowed for allowed in found) / REQUESTS == pytest.approx(0.25, abs=0.03)
    assert sum("brno-b" in allowed for allowed in found) / REQUESTS == pytest.approx(0.1, abs=0.03)
    assert found == [steered.domains(request(number)).allowed for number in range(REQUESTS)]


@pytest.mark.parametrize(
    ("weights", "open_regions", "expected"),
    [
        ({"praha_a": 1.0, "brno_a": 1.0}, ["praha"], {"praha-a"}),
        ({"praha_a": 1.0, "brno_a": 1.0}, ["praha", "brno"], {"praha-a", "brno-a"}),
        ({"brno_a": 1.0, "praha_b": 0.0}, ["praha"], {"praha-b"}),
        ({"brno_a": 1.0}, ["praha"], {"praha-a", "praha-b"}),
        ({"brno_a": 1.0, "praha_b": 0.0}, ["praha", "brno"], {"brno-a"}),
    ],
    ids=["link full", "link open", "place out of reach", "and none here", "place in reach"],
)
def test_other_regions_are_open_while_the_link_has_room(weights, open_regions, expected) -> None:
    links = FixedLinks(*open_regions)
    steered = SteeredRequests(FixedSteering(is_steered=True, **weights), links, "praha")
    assert steered.domains(request(1)).allowed == expected
    steered.record_sent(request(1), SimpleNamespace(region="brno"))
    assert links.sent_to == ["brno"]


# Links were never charged, so the share of a link that requests may use did not bind.
def test_each_attempt_is_charged_to_its_link() -> None:
    links = FixedLinks("praha")
    steered = SteeredRequests(FixedSteering(is_steered=False, praha_a=1.0), links, "praha")
    with running(targets=2, steered=steered) as ([entry], states):
        for number in range(3):
            assert entry.get(f"/digest/{number}").status == 200
        assert links.sent_to == ["praha"] * 3
        for state in states:
            state.behave({"faults": ["lost"]})
        assert entry.get("/digest/3").status == 200
        assert len(links.sent_to) - 3 == sum(state.requests for state in states) - 3 > 1


def test_requests_beyond_what_is_admitted_are_refused_as_not_run() -> None:
    steered = SteeredRequests(
        FixedSteering(is_steered=True, admitted=0.0, praha_a=1.0), ALL_OPEN, "praha"
    )
    with pytest.raises(Refusal) as caught:
        steered.domains(request(1))
    assert (caught.value.reason, caught.value.ran) == (RefusalReason.NO_HEADROOM, Ran.NOT_RUN)
    assert caught.value.retry_after_ms


def policy() -> TargetPolicy:
    made = TargetPolicy("entry-0")
    infos = [TargetInfo(domain, 2, region == "praha", domain) for domain, region in REGIONS]
    made.update(infos, ["entry-0"], 0.0)
    return made


@pytest.mark.parametrize(
    ("domains", "expected"),
    [
        (None, ["praha-a", "praha-a", "praha-b", "praha-b", None]),
        (AllowedDomains(frozenset({"praha-b"})), ["praha-b", "praha-b", None]),
        (AllowedDomains(frozenset({"brno-a"})), ["brno-a", "brno-a", None]),
        (
            AllowedDomains(frozenset({"praha-a", "praha-b"}), "praha-b"),
            ["praha-b", "praha-b", "praha-a", "praha-a", None],
        ),
        (AllowedDomains(frozenset()), [None]),
    ],
    ids=["unlimited", "one near", "one far", "one first", "nowhere"],
)
def test_targets_of_limited_requests(domains, expected) -> None:
    chosen = policy()
    rng = random.Random(1)
    taken = [chosen.start_attempt(1.0, rng, domains=domains) for _ in expected]
    ordered = taken if domains and domains.preferred else sorted(taken, key=str)
    assert ordered == (expected if domains and domains.preferred else sorted(expected, key=str))


def test_a_freed_slot_goes_to_a_request_that_may_use_it() -> None:
    chosen = policy()
    rng = random.Random(1)
    only_b = AllowedDomains(frozenset({"praha-b"}))
    assert [chosen.start_attempt(1.0, rng, domains=only_b) for _ in range(3)][2] is None
    chosen.end_attempt("praha-b", AttemptEnd.ANSWERED, 1.5, 0.1)
    assert chosen.start_attempt(2.0, rng, domains=only_b) == "praha-b"


@pytest.mark.parametrize("value", ["1", "", "\xe9", "0" * 64])
def test_caller_cannot_forge_a_relayed_order(value: str) -> None:
    with running(entries=2) as (entries, [state]):
        for number in range(16):
            resp = entries[0].http.request(
                "POST",
                f"/s/{SERVICE}/orders",
                body=b"{}",
                headers={
                    "Idempotency-Key": f"key-{number}",
                    "X-Order-Hop": value,
                    "X-Order-Client": "10.0.0.1",
                },
                retries=False,
            )
            assert resp.status == 200
        assert all(
            sum(queue.cached is not None for queue in entry.ledger._queues) for entry in entries
        )
        assert state.orders_run.total() == 16
