"""Test that shares in use never exceed a cap despite losses, delays, pauses and restarts."""

import random
from dataclasses import dataclass, field

import pytest

from chervilmill.nodes._divider import Divider, floors, pool_above_floors
from chervilmill.nodes._messages import Grant, ShareRequest
from chervilmill.nodes._shares import NO_UNITS, ShareHolder

CAP = {"link": 1000}
FLOOR_PERCENT = 8
MAX_NODES = 6
LIFETIME_S = 5.0
DRIFT_MARGIN_S = 0.5
LEASE_S = 10.0
SEEDS = 10_000
STEPS = 60
POOL = pool_above_floors(CAP, FLOOR_PERCENT, MAX_NODES)
FLOOR = floors(CAP, FLOOR_PERCENT, MAX_NODES)["link"]


class UnacknowledgedDivider(Divider):
    """A broken divider that counts a lowered grant before its holder has acknowledged it."""

    def _acknowledge(self, holder, request, until_s):
        holder.allocations = []


@dataclass
class Allotter:
    """A process that holds the lease from `from_s` to `until_s`."""

    epoch: int
    from_s: float
    until_s: float
    divider: Divider

    def answer(self, name: str, request: ShareRequest, now: float, quiet_s: float) -> Grant | None:
        if not self.from_s <= now < self.until_s:
            return None
        pool = POOL if now >= self.from_s + quiet_s else NO_UNITS
        return self.divider.answer(
            name, request, pool, epoch=self.epoch, lifetime_s=LIFETIME_S, now=now
        )


@dataclass
class Node:
    """A node with its share, and a clock that runs at its own rate."""

    name: str
    rate: float
    holder: ShareHolder = field(default_factory=ShareHolder)
    wanted: int = 0
    paused_until_s: float = 0.0

    def clock(self, now: float) -> float:
        return now * self.rate


class World:
    """Runs nodes and successive allotters with faults drawn from a seed."""

    def __init__(self, seed: int, divider_class: type[Divider], quiet_s: float) -> None:
        self.rng = random.Random(seed)
        self.divider_class = divider_class
        self.quiet_s = quiet_s
        self.now = 0.0
        self.instances = 0
        self.nodes = [self.new_node() for _ in range(self.rng.randint(2, MAX_NODES))]
        self.allotters = [Allotter(1, -quiet_s, 2 * LEASE_S, divider_class())]
        self.messages: list[tuple[float, Node, ShareRequest | Grant, int]] = []

    def new_node(self) -> Node:
        self.instances += 1
        return Node(f"node-{self.instances}", self.rng.uniform(0.97, 1.03))

    def step(self) -> None:
        self.now += self.rng.choice((0.02, 0.1, 0.3, 1.0))
        node = self.rng.choice(self.nodes)
        kind = self.rng.random()
        if kind < 0.05:
            self.nodes[self.nodes.index(node)] = self.new_node()
        elif kind < 0.1:
            node.paused_until_s = self.now + self.rng.uniform(0, 8)
        elif kind < 0.3:
            node.wanted = self.rng.choice((0, 100, 1000, 1000))
        else:
            self.ask(node)
        self.change_allotter()
        self.deliver()

    def ask(self, node: Node) -> None:
        if self.now < node.paused_until_s:
            return
        clock = node.clock(self.now)
        request = node.holder.request({"link": node.wanted}, NO_UNITS, clock)
        is_stale = self.rng.random() < 0.2
        last = len(self.allotters) - 1
        self.send(node, request, self.rng.randint(0, last) if is_stale else last)

    def send(self, node: Node, message: ShareRequest | Grant, allotter: int) -> None:
        copies = self.rng.choice((0, 1, 1, 1, 1, 2))
        for _ in range(copies):
            delay_s = self.rng.choice((0.01, 0.01, 0.1, 0.1, 1.0, 7.0))
            self.messages.append((self.now + delay_s, node, message, allotter))

    def change_allotter(self) -> None:
        last = self.allotters[-1]
        if self.now >= last.until_s and self.rng.random() < 0.5:
            from_s = self.now
            held_s = self.rng.choice((LEASE_S, 3 * LEASE_S))
            self.allotters.append(
                Allotter(last.epoch + 1, from_s, from_s + held_s, self.divider_class())
            )
        elif self.rng.random() < 0.01:
            last.until_s = min(last.until_s, self.now)

    def deliver(self) -> None:
        due = [item for item in self.messages if item[0] <= self.now]
        self.messages = [item for item in self.messages if item[0] > self.now]
        for _, node, message, index in due:
            if isinstance(message, ShareRequest):
                answer = self.allotters[index].answer(node.name, message, self.now, self.quiet_s)
                if answer is not None:
                    self.send(node, answer, index)
            elif self.now >= node.paused_until_s:
                node.holder.receive(message, node.clock(self.now))

    def in_use(self) -> int:
        return sum(FLOOR + n.holder.units("link", n.clock(self.now)) for n in self.nodes)


def most_in_use(seed: int, divider_class: type[Divider], quiet_s: float) -> int:
    """Return the highest number of units in use during one run."""
    world = World(seed, divider_class, quiet_s)
    most = 0
    for _ in range(STEPS):
        world.step()
        most = max(most, world.in_use())
    return most


def test_sum_in_use_never_exceeds_the_cap() -> None:
    quiet_s = LIFETIME_S + DRIFT_MARGIN_S
    used = [most_in_use(seed, Divider, quiet_s) for seed in range(SEEDS)]
    assert max(used) <= CAP["link"]
    assert sum(most > 0.9 * CAP["link"] for most in used) > SEEDS * 2 // 5


@pytest.mark.parametrize(
    ("divider_class", "quiet_s"),
    [(UnacknowledgedDivider, LIFETIME_S + DRIFT_MARGIN_S), (Divider, 0.0)],
    ids=["fall counted before its acknowledgement", "no quiet time after a change of allotter"],
)
def test_broken_variant_is_caught(divider_class: type[Divider], quiet_s: float) -> None:
    assert any(most_in_use(seed, divider_class, quiet_s) > CAP["link"] for seed in range(500))
