"""Run the state machine and transport of one node that knows all members of a fleet of 800.

Arguments: listen address, member name, shared key.
"""

import random
import signal
import sys

from bench.nodes_network import member
from chervilmill.addresses import parse_address
from chervilmill.coordination import ConfigurationCache
from chervilmill.nodes._allotments import Caps
from chervilmill.nodes._machine import NodeMachine
from chervilmill.nodes._transport import Transport

NODES = 800
REGIONS = 6
DOMAINS_PER_REGION = 3
LINK_COUNT = 30


def main() -> None:
    """Run until killed.

    The peers that the node dials do not exist. Only links that the benchmark dials are open.
    """
    address, name, key = sys.argv[1:4]
    members = [member(index, REGIONS, DOMAINS_PER_REGION) for index in range(NODES)]
    own = next(candidate for candidate in members if candidate.name == name)
    caps = Caps({f"link/{index}": 4_000_000 for index in range(LINK_COUNT)}, NODES)
    machine = NodeMachine(own, ConfigurationCache(), random.Random(1), caps)
    for other in members:
        machine.membership.members.merge(other, 0.0)
    transport = Transport(
        parse_address(address),
        key,
        machine,
        count_refusal=lambda _: None,
        on_change=lambda _: None,
    )
    transport.start()
    signal.pause()


if __name__ == "__main__":
    main()
