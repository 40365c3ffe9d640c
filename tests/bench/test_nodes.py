"""Check the counted figures of the nodes group against their bounds at small sizes."""

import math

from bench._rows import Verdict, judge, load_bounds
from bench.nodes import network_figures, partition_figures
from bench.nodes_spreads import outcomes

SEED = 1


def test_figures_of_twelve_nodes_are_within_their_bounds() -> None:
    bounds = load_bounds()
    rows = [judge("nodes", figure, bounds, {}) for figure in network_figures(12, SEED)]
    assert [row for row in rows if row.verdict is Verdict.OVER] == []
    assert sum(row.verdict is Verdict.PASS for row in rows) == 7


def test_partitioned_nodes_heal() -> None:
    figures = {figure.name: figure.value for figure in partition_figures(12, SEED)}
    assert figures["at_12.parted.healed"] < 30.0


def test_rings_reach_every_node_with_fewer_watches_and_without_waiting_for_repairs() -> None:
    found = {
        (outcome.strategy, outcome.loss, outcome.is_domain_gone): outcome
        for outcome in outcomes(120, SEED)
    }
    rings = [outcome for key, outcome in found.items() if key[0] == "relays and rings"]
    assert all(outcome.seconds < 1.0 for outcome in rings)
    assert {outcome.waiting_watches for outcome in rings} <= {34, 36}
    assert found["watch per node", 0.0, False].waiting_watches == 120
    assert found["relays and tree", 0.01, True].seconds == math.inf
