"""Check the causes for which plans may not be confirmed."""

import json

import pytest

from chervilmill.coordination import CONFIGURATION_KIND
from chervilmill.steering import Confirmer, ConfirmRequest, Plan
from tests.steering.support import Node, directory_of, steering_node

CLIENTS = [{"network": "10.1.0.0/16", "region": "praha"}]
NO_LINKS: list[dict] = []
THIN_LINKS = [
    {"between": ["praha", "brno"], "mbit_per_s": 8, "one_way_delay_ms": 55},
    {"between": ["brno", "ostrava"], "mbit_per_s": 8, "one_way_delay_ms": 55},
]
CASES = [
    ("harmless", {"shares": {"brno": 40}}, {}, 36, []),
    ("one domain for most", {"shares": {"brno-a": 80}}, {}, 36, ["share_not_possible"]),
    ("no link", {"shares": {"brno": 40}}, {"links": NO_LINKS}, 36, ["share_not_possible"]),
    (
        "cap on links",
        {"shares": {"brno": 45}, "cap": {"mbit_per_s": 1}},
        {},
        36,
        ["share_not_possible"],
    ),
    ("region leaves without room", {"leaving": ["brno"]}, {}, 18, ["not_enough_capacity"]),
    (
        "loss of a domain would refuse",
        {"shares": {"brno": 60}},
        {"links": THIN_LINKS},
        30,
        ["domain_loss_not_survived"],
    ),
    (
        "fewer blocks than the cap can divide",
        {"leaving": ["praha-a"], "cap": {"percent_of_blocks_per_min": 1}},
        {"steering": {"clients": CLIENTS, "block_prefix": 18}},
        72,
        ["cap_too_small"],
    ),
]


def plan_of(node: Node, intent: dict) -> Plan:
    value = json.dumps({"name": "i", "service": "souhrny", **intent}).encode()
    node.store.create(CONFIGURATION_KIND, "intent/i", value)
    node.receive_configuration()
    planned = node.model.plan(node.configuration.snapshot(), "i")
    assert planned is not None
    return planned.plan


@pytest.mark.parametrize(
    ("intent", "changes", "targets", "causes"), [c[1:] for c in CASES], ids=[c[0] for c in CASES]
)
def test_causes(intent: dict, changes: dict, targets: int, causes: list[str]) -> None:
    node = steering_node(**changes)
    node.directory.by_service = directory_of(node.raw, {"souhrny": targets}).by_service
    plan = plan_of(node, intent)
    assert [refusal.cause.value for refusal in plan.refusals] == causes
    assert all(refusal.detail for refusal in plan.refusals)


def test_plan_is_refused_while_a_shift_is_under_way_and_not_after() -> None:
    node = steering_node()
    plan = plan_of(node, {"shares": {"brno": 36}, "cap": {"percent_of_blocks_per_min": 100}})
    confirmer = Confirmer(node.store, node.model, 600, lambda: node.wall_s)
    confirmer.confirm(ConfirmRequest("i", plan.plan_id, node.wall_s))
    causes = []
    for _ in range(60):
        node.tick()
        planned = node.model.plan(node.configuration.snapshot(), "i")
        assert planned is not None
        causes.append([refusal.cause.value for refusal in planned.plan.refusals])
    assert causes[0] == ["shift_in_progress"]
    assert causes[-1] == []
    assert planned.plan.steps == ()
