"""Replay overload against the decisions, and against what common balancers decide.

A replay runs entry VMs with the real decisions and targets on a virtual clock; figures are shares
of requests answered within their objective, by times the demand of an ordinary day.
"""

from collections.abc import Iterator

from bench._rows import Figure
from bench.overload._baselines import (
    HashFirst,
    LeastInFlight,
    RoundRobin,
    TwoChoices,
    one_queue_in_time,
    slots_of,
)
from bench.overload._replay import (
    ORDER,
    READ,
    REGIONS,
    Call,
    MakeFleet,
    Replay,
    in_time_share,
    served_share,
)
from bench.overload._site import (
    END_S,
    ORDERS_PER_S,
    READS_PER_S,
    SLOTS,
    VMS,
    WARM_UP_S,
    steady,
)
from chervilmill.overload import TargetFleet

__all__ = [
    "END_S",
    "ORDER",
    "ORDERS_PER_S",
    "READ",
    "READS_PER_S",
    "REGIONS",
    "SLOTS",
    "VMS",
    "WARM_UP_S",
    "Call",
    "Replay",
    "figures",
    "in_time_share",
    "one_queue_in_time",
    "served_share",
    "slots_of",
    "steady",
]

LOADS = (1, 2, 3, 4)
WAYS: dict[str, MakeFleet] = {
    "chervilmill": TargetFleet,
    "hash_first": HashFirst,
    "two_choices": TwoChoices,
    "least_in_flight": LeastInFlight,
    "round_robin": RoundRobin,
}


def figures(seed: int) -> Iterator[Figure]:
    """Yield the share in time of each way at each load, and of one queue as the yardstick."""
    for load in LOADS:
        for name, make_fleet in WAYS.items():
            replay = _played(load, seed, make_fleet)
            yield _share(f"at_{load}.{name}", in_time_share(replay.since(WARM_UP_S, END_S)))
        best = one_queue_in_time(replay.calls, slots_of(replay), seed)
        yield _share(f"at_{load}.one_queue", best)


def _played(load: int, seed: int, make_fleet: MakeFleet) -> Replay:
    replay = Replay(SLOTS, VMS, seed=seed, make_fleet=make_fleet)
    steady(replay, factor=load)
    replay.run(END_S + 5)
    return replay


def _share(name: str, share: float) -> Figure:
    return Figure(name, 100 * share, "% in time")
