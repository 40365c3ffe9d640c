"""Measure what the nodes cost each other and how fast they agree."""

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

LOSS = 0.01
SIZES = {12: (3, 2), 800: (6, 3)}
LINK = "link/a/b"
CAP = 1_000_000
LINKS = tuple(f"link/{index}" for index in range(5))
REST_S = 10.0
TIMEOUT_S = 30.0
PARTED_S = 30.0


def figures(seed: int) -> Iterator[Figure]:
    """Yield the figures at 12 and 800 nodes on a virtual clock, and of real processes."""
    for count in SIZES:
        yield from network_figures(count, seed)
    yield from parted_figures(200, seed)
    yield from spread_figures(800, seed)
    yield from site_figures(seed)
    yield from node_figures(seed)


def network_figures(count: int, seed: int) -> Iterator[Figure]:
    """Yield the figures of the state machines of so many nodes at 1% loss."""
    network = _network(count, seed)
    yield from _rest(network, count)
    yield from _store_calls(network, count)
    yield Figure(f"at_{count}.configuration_in_force", _configuration_s(network), "s")
    yield from _allotments(network, count)
    yield Figure(f"at_{count}.join_known", _join_s(network, count), "s")
    network.run(12.0)
    yield Figure(f"at_{count}.death_known", _death_s(network), "s")


def parted_figures(count: int, seed: int) -> Iterator[Figure]:
    """Yield what nodes send while a region is cut off and after it is joined again."""
    yield from _parted(_network(count, seed), count)


def spread_figures(count: int, seed: int) -> Iterator[Figure]:
    """Yield the cost of a change for each way of spreading it, at 1% loss."""
    for item in outcomes(count, seed):
        if item.loss == LOSS and not item.is_domain_gone:
            name = item.way.replace(" ", "_")
            yield Figure(f"spread.{name}.watches", item.waiting_watches, "watches")
            yield Figure(f"spread.{name}.messages", item.messages, "messages")
            yield Figure(f"spread.{name}.in_force", item.seconds, "s")


def _network(count: int, seed: int) -> Network:
    regions, domains = SIZES.get(count, (6, 3))
    caps = Caps(dict.fromkeys((LINK, *LINKS), CAP), max_nodes=max(16, count))
    return running_network(
        count, seed, LOSS, regions=regions, domains_per_region=domains, caps=caps
    )


def _rest(network: Network, count: int) -> Iterator[Figure]:
    """Measure with every node using five links, so that reports and shares flow."""
    for node in network.nodes.values():
        for link in LINKS:
            node.machine.allotments.set_demand(link, CAP // count)
    network.run(15.0)
    network.reset_counts()
    network.run(REST_S)
    per_s = [(n.sent_bytes + n.received_bytes) / REST_S / 1000 for n in network.nodes.values()]
    messages = [sum(node.messages.values()) / REST_S for node in network.nodes.values()]
    yield Figure(f"at_{count}.busiest_node", max(per_s), "KB/s")
    yield Figure(f"at_{count}.mean_node", sum(per_s) / len(per_s), "KB/s")
    yield Figure(f"at_{count}.busiest_node_messages", max(messages), "sent/s")


def _store_calls(network: Network, count: int) -> Iterator[Figure]:
    members = {name: node.own for name, node in network.nodes.items()}
    relays = sum(is_relay(own, members) for own in members.values())
    calls = relays / WATCH_TIMEOUT_S + count / read_interval_s(count)
    yield Figure(f"at_{count}.waiting_watches", relays, "watches")
    yield Figure(f"at_{count}.store_calls_at_rest", calls, "calls/s")


def _configuration_s(network: Network) -> float:
    """Return the longest time of five changes until they are in force at every node."""
    longest_s = 0.0
    first = next(iter(network.nodes.values()))
    for version in range(1, 6):
        stored = StoredObject(CONFIGURATION_KIND, "intent/a", version, bytes(600))
        started_s = network.now
        first.machine.receive_configuration(WatchResult(version, (stored,), ()), network.now)
        network.act(first)
        if not network.run(TIMEOUT_S, lambda v=version: _has(network, v)):  # type: ignore[misc]
            return float("inf")
        longest_s = max(longest_s, network.now - started_s)
    return longest_s


def _has(network: Network, version: int) -> bool:
    return all(node.held.snapshot().revision == version for node in network.nodes.values())


def _allotments(network: Network, count: int) -> Iterator[Figure]:
    """Move all demand to a tenth of the nodes, twice, and see what of the cap is in use."""
    most = 0
    for shift in (0, 3):
        for index, node in enumerate(network.nodes.values()):
            node.machine.allotments.set_demand(LINK, CAP if index % 10 == shift else 0)
        network.reset_counts()
        for _ in range(5):
            network.run(1.0)
            most = max(most, _in_use(network))
    spent = sum(
        node.messages[name]
        for node in network.nodes.values()
        for name in ("NodeRequest", "HeadRequest", "GrantToNode", "GrantToHead")
    )
    unused = 100 * (CAP - _in_use(network)) / CAP
    yield Figure(f"at_{count}.cap_in_use_at_most", 100 * most / CAP, "% of cap")
    yield Figure(f"at_{count}.cap_unused_after_5_s", unused, "% of cap")
    yield Figure(f"at_{count}.share_messages_per_node", spent / count, "messages")


def _in_use(network: Network) -> int:
    nodes = network.nodes.values()
    return sum(n.machine.allotments.units(LINK, network.now) for n in nodes if n.is_running)


def _agree(network: Network) -> bool:
    running = {name for name, node in network.nodes.items() if node.is_running}
    return all(view == running for view in live_views(network).values())


def _join_s(network: Network, count: int) -> float:
    started_s = network.now
    regions, domains = SIZES.get(count, (3, 2))
    network.add(member(count, regions, domains), [member(0, regions, domains).nodes])
    is_known = network.run(TIMEOUT_S, lambda: _agree(network))
    return network.now - started_s if is_known else float("inf")


def _death_s(network: Network) -> float:
    started_s = network.now
    network.stop("entry-5")
    is_known = network.run(TIMEOUT_S, lambda: _agree(network))
    return network.now - started_s if is_known else float("inf")


def _parted(network: Network, count: int) -> Iterator[Figure]:
    network.reset_counts()
    network.cut_off_regions = {"region-0"}
    network.run(PARTED_S)
    sent = [n.sent_bytes / PARTED_S / 1000 for n in network.nodes.values() if n.is_running]
    yield Figure(f"at_{count}.parted.mean_sent", sum(sent) / len(sent), "KB/s")
    network.reset_counts()
    network.cut_off_regions = set()
    started_s = network.now
    is_healed = network.run(2 * TIMEOUT_S, lambda: _agree(network))
    healed_s = network.now - started_s
    yield Figure(f"at_{count}.parted.healed", healed_s if is_healed else float("inf"), "s")
    sent = [n.sent_bytes / healed_s / 1000 for n in network.nodes.values() if n.is_running]
    yield Figure(f"at_{count}.parted.mean_sent_healing", sum(sent) / len(sent), "KB/s")
