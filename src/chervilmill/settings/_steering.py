"""Read and check the settings of callers' networks and of steering."""

from ipaddress import IPv4Network, IPv6Network, ip_network
from typing import Any

from chervilmill.settings._model import ClientRange, Steering
from chervilmill.settings._reader import Reader

DEFAULT_BLOCK_PREFIX = 24
DEFAULT_MAX_UTILISATION_PERCENT = 90
DEFAULT_EMERGENCY_PERCENT_PER_MIN = 50
DEFAULT_PLAN_LIFETIME_S = 600
MAX_BLOCKS = 4_000_000
_UNSET_NETWORK = ip_network("0.0.0.0/32")


def read_steering(top: Reader, raw: dict[str, Any]) -> Steering:
    """Return the member `steering`, with defaults for all that is missing."""
    reader = top.child("steering") if "steering" in raw else Reader({}, "steering", [])
    has_clients = "clients" in reader.raw
    steering = Steering(
        clients=reader.items("clients", _read_client, min_items=0) if has_clients else (),
        block_prefix=reader.integer("block_prefix", 8, 32, DEFAULT_BLOCK_PREFIX),
        max_utilisation_percent=reader.integer(
            "max_utilisation_percent", 1, 100, DEFAULT_MAX_UTILISATION_PERCENT
        ),
        emergency_percent_per_min=reader.integer(
            "emergency_percent_per_min", 1, 100, DEFAULT_EMERGENCY_PERCENT_PER_MIN
        ),
        plan_lifetime_s=reader.integer("plan_lifetime_s", 1, 86_400, DEFAULT_PLAN_LIFETIME_S),
    )
    reader.report_unknown_keys()
    return steering


def check_clients(steering: Steering, regions: tuple[str, ...], top: Reader) -> None:
    """Report unknown regions, overlapping networks and more blocks than a node can hold."""
    for index, item in enumerate(steering.clients):
        path = f"steering.clients[{index}]"
        if item.region not in regions:
            top.report(f"{path}.region", repr(item.region), "one of " + ", ".join(regions))
        for earlier in steering.clients[:index]:
            if _networks_overlap(earlier.network, item.network):
                allowed = f"a network that does not overlap {earlier.network}"
                top.report(f"{path}.network", repr(str(item.network)), allowed)
    blocks = sum(block_count(item.network, steering.block_prefix) for item in steering.clients)
    if blocks > MAX_BLOCKS:
        top.report("steering.block_prefix", f"{blocks} blocks", f"at most {MAX_BLOCKS} blocks")


def block_count(network: IPv4Network | IPv6Network, block_prefix: int) -> int:
    """Return the number of blocks that a network is divided into."""
    if isinstance(network, IPv6Network):
        return 1
    return 1 << max(0, block_prefix - network.prefixlen)


def _read_client(reader: Reader) -> ClientRange:
    text = reader.text("network")
    network: IPv4Network | IPv6Network = _UNSET_NETWORK
    try:
        network = ip_network(text)
    except ValueError:
        reader.report("network", repr(text), "an IP network as ADDRESS/PREFIX")
    if isinstance(network, IPv6Network) and network.prefixlen > 64:
        reader.report("network", repr(text), "an IPv6 network of 64 bits or shorter")
    return ClientRange(network=network, region=reader.name("region"))


def _networks_overlap(one: IPv4Network | IPv6Network, other: IPv4Network | IPv6Network) -> bool:
    if isinstance(one, IPv4Network) and isinstance(other, IPv4Network):
        return one.overlaps(other)
    if isinstance(one, IPv6Network) and isinstance(other, IPv6Network):
        return one.overlaps(other)
    return False
