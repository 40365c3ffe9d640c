"""Measure the traffic between nodes, and how fast they agree on members and configuration."""

from collections.abc import Iterator

from bench._rows import Figure
from bench.nodes_network import Network, live_views, member, running_network
from bench.nodes_processes import node_figures, site_figures
from bench.nodes_spreads import outcomes
from chervilmill.coordination import CONFIGURATION_KIND, StoredObject, WatchResult
from chervilmill.nodes._allotments import Caps
from chervilmill.nodes._overlay import is_relay
from chervilmill.nodes._readers import WATCH_TIMEOUT_S
from chervilmill.nodes._vm_list import read_interval_s

LOSS_SHARE = 0.01
LAYOUTS = {12: (3, 2), 800: (6, 3)}
CONTENDED_LINK = "link/a/b"
LINK_CAP = 1_000_000
USED_LINKS = tuple(f"link/{number}" for number in range(5))
IDLE_S = 10.0
CONVERGENCE_TIMEOUT_S = 30.0
PARTITION_S = 30.0


def figures(seed: int) -> Iterator[Figure]:
    """Yield the figures of 12 and 800 nodes on a virtual clock, and of real processes."""
    for count in LAYOUTS:
        yield from network_figures(count, seed)
    yield from partition_figures(200, seed)
    yield from spread_figures(800, seed)
    yield from site_figures(seed)
    yield from node_figures(seed)


def network_figures(count: int, seed: int) -> Iterator[Figure]:
    """Yield the figures of `count` simulated nodes at 1% message loss."""
    network = _network(count, seed)
    yield from _idle_figures(network, count)
    yield from _store_call_figures(network, count)
    yield Figure(f"at_{count}.configuration_in_force", _configuration_in_force_s(network), "s")
    yield from _allotment_figures(network, count)
    yield Figure(f"at_{count}.join_known", _join_known_s(network, count), "s")
    network.run(12.0)
    yield Figure(f"at_{count}.death_known", _death_known_s(network), "s")


def partition_figures(count: int, seed: int) -> Iterator[Figure]:
    """Yield what nodes send while a region is partitioned, and while the partition heals."""
    yield from _partition_traffic(_network(count, seed), count)


def spread_figures(count: int, seed: int) -> Iterator[Figure]:
    """Yield the cost of one change for each propagation strategy, at 1% message loss."""
    for outcome in outcomes(count, seed):
        if outcome.loss == LOSS_SHARE and not outcome.is_domain_gone:
            name = outcome.strategy.replace(" ", "_")
            yield Figure(f"spread.{name}.watches", outcome.waiting_watches, "watches")
            yield Figure(f"spread.{name}.messages", outcome.messages, "messages")
            yield Figure(f"spread.{name}.in_force", outcome.seconds, "s")


def _network(count: int, seed: int) -> Network:
    regions, domains_per_region = LAYOUTS.get(count, (6, 3))
    caps = Caps(dict.fromkeys((CONTENDED_LINK, *USED_LINKS), LINK_CAP), max_nodes=max(16, count))
    return running_network(
        count, seed, LOSS_SHARE, regions=regions, domains_per_region=domains_per_region, caps=caps
    )


def _idle_figures(network: Network, count: int) -> Iterator[Figure]:
    """Measure idle nodes that use five links each, so that they send reports and share requests."""
    for node in network.nodes.values():
        for link in USED_LINKS:
            node.machine.allotments.set_demand(link, LINK_CAP // count)
    network.run(15.0)
    network.reset_counts()
    network.run(IDLE_S)
    kb_per_s = [(n.sent_bytes + n.received_bytes) / IDLE_S / 1000 for n in network.nodes.values()]
    messages = [sum(node.messages.values()) / IDLE_S for node in network.nodes.values()]
    yield Figure(f"at_{count}.busiest_node", max(kb_per_s), "KB/s")
    yield Figure(f"at_{count}.mean_node", sum(kb_per_s) / len(kb_per_s), "KB/s")
    yield Figure(f"at_{count}.busiest_node_messages", max(messages), "sent/s")


def _store_call_figures(network: Network, count: int) -> Iterator[Figure]:
    members = {name: node.own for name, node in network.nodes.items()}
    relays = sum(is_relay(own, members) for own in members.values())
    calls_per_s = relays / WATCH_TIMEOUT_S + count / read_interval_s(count)
    yield Figure(f"at_{count}.waiting_watches", relays, "watches")
    yield Figure(f"at_{count}.store_calls_at_rest", calls_per_s, "calls/s")


def _configuration_in_force_s(network: Network) -> float:
    """Return the longest time that one of five changes takes to be in force at every node."""
    longest_s = 0.0
    origin = next(iter(network.nodes.values()))
    for version in range(1, 6):
        stored = StoredObject(CONFIGURATION_KIND, "intent/a", version, bytes(600))
        started_s = network.now
        origin.machine.receive_configuration(WatchResult(version, (stored,), ()), network.now)
        network.act(origin)
        if not network.run(CONVERGENCE_TIMEOUT_S, lambda v=version: _is_in_force(network, v)):  # type: ignore[misc]
            return float("inf")
        longest_s = max(longest_s, network.now - started_s)
    return longest_s


def _is_in_force(network: Network, version: int) -> bool:
    return all(node.held.snapshot().revision == version for node in network.nodes.values())


def _allotment_figures(network: Network, count: int) -> Iterator[Figure]:
    """Move all demand to a tenth of the nodes, twice, and measure how much of the cap is in use."""
    max_in_use = 0
    for offset in (0, 3):
        for number, node in enumerate(network.nodes.values()):
            node.machine.allotments.set_demand(
                CONTENDED_LINK, LINK_CAP if number % 10 == offset else 0
            )
        network.reset_counts()
        for _ in range(5):
            network.run(1.0)
            max_in_use = max(max_in_use, _units_in_use(network))
    message_count = sum(
        node.messages[name]
        for node in network.nodes.values()
        for name in ("NodeRequest", "HeadRequest", "GrantToNode", "GrantToHead")
    )
    unused_percent = 100 * (LINK_CAP - _units_in_use(network)) / LINK_CAP
    yield Figure(f"at_{count}.cap_in_use_at_most", 100 * max_in_use / LINK_CAP, "% of cap")
    yield Figure(f"at_{count}.cap_unused_after_5_s", unused_percent, "% of cap")
    yield Figure(f"at_{count}.share_messages_per_node", message_count / count, "messages")


def _units_in_use(network: Network) -> int:
    nodes = network.nodes.values()
    return sum(
        n.machine.allotments.units(CONTENDED_LINK, network.now) for n in nodes if n.is_running
    )


def _is_membership_agreed(network: Network) -> bool:
    running = {name for name, node in network.nodes.items() if node.is_running}
    return all(view == running for view in live_views(network).values())


def _join_known_s(network: Network, count: int) -> float:
    started_s = network.now
    regions, domains_per_region = LAYOUTS.get(count, (3, 2))
    network.add(
        member(count, regions, domains_per_region), [member(0, regions, domains_per_region).nodes]
    )
    is_known = network.run(CONVERGENCE_TIMEOUT_S, lambda: _is_membership_agreed(network))
    return network.now - started_s if is_known else float("inf")


def _death_known_s(network: Network) -> float:
    started_s = network.now
    network.stop("entry-5")
    is_known = network.run(CONVERGENCE_TIMEOUT_S, lambda: _is_membership_agreed(network))
    return network.now - started_s if is_known else float("inf")


def _partition_traffic(network: Network, count: int) -> Iterator[Figure]:
    network.reset_counts()
    network.cut_off_regions = {"region-0"}
    network.run(PARTITION_S)
    sent_kb_per_s = [
        n.sent_bytes / PARTITION_S / 1000 for n in network.nodes.values() if n.is_running
    ]
    yield Figure(f"at_{count}.parted.mean_sent", sum(sent_kb_per_s) / len(sent_kb_per_s), "KB/s")
    network.reset_counts()
    network.cut_off_regions = set()
    started_s = network.now
    has_healed = network.run(2 * CONVERGENCE_TIMEOUT_S, lambda: _is_membership_agreed(network))
    healing_s = network.now - started_s
    yield Figure(f"at_{count}.parted.healed", healing_s if has_healed else float("inf"), "s")
    sent_kb_per_s = [
        n.sent_bytes / healing_s / 1000 for n in network.nodes.values() if n.is_running
    ]
    yield Figure(
        f"at_{count}.parted.mean_sent_healing", sum(sent_kb_per_s) / len(sent_kb_per_s), "KB/s"
    )
