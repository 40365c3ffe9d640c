"""Describe the site whose load is replayed.

Sizes are those of a site of today: 34 targets of 6 slots in three regions, one of them small for
its callers, and 12 entry VMs.
"""

from bench.overload._replay import ORDER, READ, REGIONS, Replay

SLOTS = {
    "north-a": (2, 6),
    "north-b": (2, 6),
    "south-a": (7, 6),
    "south-b": (7, 6),
    "west-a": (8, 6),
    "west-b": (8, 6),
}
VMS = {"north-a": 2, "north-b": 1, "south-a": 3, "south-b": 1, "west-a": 3, "west-b": 2}
READS_PER_S = 43.0  # a failure domain; cold, reads and orders take 1.2 times the slots
ORDERS_PER_S = 17.0
WARM_UP_S = 6.0
END_S = 20.0


def steady(replay: Replay, factor: float = 1.0) -> None:
    """Have callers everywhere ask at a steady rate, times a factor."""
    for domain in REGIONS:
        replay.arrive(READ, domain, lambda _: READS_PER_S * factor, END_S)
        replay.arrive(ORDER, domain, lambda _: ORDERS_PER_S * factor, END_S)
