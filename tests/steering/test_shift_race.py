"""Check the cap of a shift under random interleavings of competing executors.

The interleavings include stale nodes, lost and late writes, and pauses. Every node applies a state
as soon as it receives the state. Neither in the store nor at any node may more blocks move within
a minute than the cap allows, or more load cross the link than a plan asks for.
"""

import random
from collections import deque
from dataclasses import dataclass, field

import numpy as np
import pytest

from chervilmill.coordination import (
    FencedObject,
    Lease,
    PlatformError,
    StaleEpochError,
    decode_fenced,
)
from chervilmill.settings import Service
from chervilmill.steering import BlockTable, Place, ShareMap, Topology
from chervilmill.steering._confirmed import ConfirmedPlan
from chervilmill.steering._executor import Evidence, Executor
from chervilmill.steering._hashing import HASH_SPAN, hash_seed, positions
from chervilmill.steering._runner import ShiftTask
from chervilmill.steering._state import ShiftState, decode_state
from tests.coordination.test_lease import FaultyStore

CASES = 8
SEEDS_PER_CASE = 1_250
ACTIONS = 50
NODES = 3
BLOCKS = 16
PERCENT_PER_MIN = 25
CAP_BLOCKS = BLOCKS * PERCENT_PER_MIN // 100
CAP_WINDOW_S = 60.0
LEASE_S = 9.0
TIME_STEPS_S = (1.0, 2.5, 2.5, 2.5, 2.5, 2.5, 2.5, 2.5, 2.5, 2.5, 12.0)
EVIDENCE_TIMES_S = (0.0, 0.0, 4.0)
MAX_NESTING = 2
SERVICE = Service("souhrny", 6, 400, True, 1, 6, BLOCKS, 10, 100)


class StubModel:
    """Two places in two regions, and a few blocks whose home is the first place."""

    place_names = ("a", "b")

    def __init__(self) -> None:
        starts = np.arange(BLOCKS, dtype=np.uint32) * 1024
        self.planning_blocks = BlockTable(starts, np.zeros(BLOCKS, np.uint8))
        self._topology = Topology([Place("a", "a", "ra", 99.0), Place("b", "b", "rb", 99.0)], [])
        self.positions = positions(starts, hash_seed(SERVICE.name)).tolist()

    def topology(self, _service: Service) -> Topology:
        return self._topology

    def demand(self, _service: Service) -> np.ndarray:
        return np.array([float(BLOCKS), 0.0])

    def region_of(self, place: int) -> str:
        return ("ra", "rb")[place]


MODEL = StubModel()
PLACES_AT_HOME = tuple(0 for _ in range(BLOCKS))


def goal_map(share: float) -> ShareMap:
    cut = round(HASH_SPAN * share)
    pairs = [[cut, 1], [HASH_SPAN, 0]] if 0 < cut < HASH_SPAN else [[HASH_SPAN, int(share)]]
    return ShareMap.from_lists([pairs, [[HASH_SPAN, 1]]])


def plan_for(number: int, share: float) -> ConfirmedPlan:
    goal = goal_map(share)
    return ConfirmedPlan(
        f"plan-{number}", SERVICE.name, "i", 1, 1, False, PERCENT_PER_MIN, ("a", "b"), goal, {}
    )


def goal_load(plan: ConfirmedPlan) -> int:
    """Return how many blocks a plan sends over the link."""
    return sum(plan.goal.place_of(0, position) for position in MODEL.positions)


class PlacesByState:
    """Cache of the place of each block under each distinct state."""

    def __init__(self) -> None:
        self._known: dict[bytes, tuple[tuple[int, ...], ShiftState]] = {}

    def of(self, body: bytes) -> tuple[tuple[int, ...], ShiftState]:
        if body not in self._known:
            state = decode_state(body)
            shares = state.current_map()
            places = tuple(shares.place_of(0, position) for position in MODEL.positions)
            self._known[body] = places, state
        return self._known[body]


@dataclass
class MoveTracker:
    """Moves of blocks over time, as one observer sees them."""

    places: tuple[int, ...] = PLACES_AT_HOME
    moves: deque[tuple[float, int]] = field(default_factory=deque)
    most_in_a_minute: int = 0
    most_on_link: int = 0

    def record(self, now_s: float, places: tuple[int, ...]) -> None:
        moved = sum(one != other for one, other in zip(self.places, places, strict=True))
        self.places = places
        self.most_on_link = max(self.most_on_link, sum(places))
        if moved:
            self.moves.append((now_s, moved))
        while self.moves and now_s - self.moves[0][0] > CAP_WINDOW_S:
            self.moves.popleft()
        self.most_in_a_minute = max(self.most_in_a_minute, sum(m for _, m in self.moves))


@dataclass
class Node:
    """Node that applies states as they arrive and at times executes the shift."""

    name: str
    lease: Lease
    clock_rate: float
    update_probability_factor: float
    tracker: MoveTracker = field(default_factory=MoveTracker)
    version: int = 0
    task: ShiftTask | None = None
    task_epoch: int = 0
    is_acting: bool = False


class Race:
    """One seeded interleaving of nodes, writes and faults."""

    def __init__(self, seed: int, executor: type[Executor], places: PlacesByState) -> None:
        self.rng = random.Random(seed)
        self.now_s = 1_000.0
        self.executor = executor
        self.places = places
        self.store = FaultyStore(self.rng, self.run_interleaved_events)
        self.store_tracker = MoveTracker()
        self.seen = 0
        self.sequences: list[int] = []
        self.plan = plan_for(0, self.rng.uniform(0.3, 1.0))
        self.link_limit = goal_load(self.plan)
        self.capacity = 99.0
        self.nodes = [self._node(f"node-{index}") for index in range(NODES)]
        self.depth = 0
        self.steps_written = 0

    def run(self) -> None:
        for number in range(1, ACTIONS + 1):
            self.now_s += self.rng.choice(TIME_STEPS_S)
            if self.rng.random() < 0.02:
                self.plan = plan_for(number, self.rng.uniform(0.0, 1.0))
                self.link_limit = max(self.link_limit, goal_load(self.plan))
            if self.rng.random() < 0.03:
                self.capacity = self.rng.choice((0.0, 5.0, 99.0, 99.0))
            self.update_nodes(0.8)
            self.act(self.next_to_act())

    def next_to_act(self) -> Node:
        holders = [node for node in self.nodes if node.lease.is_held]
        if holders and self.rng.random() < 0.8:
            return holders[0]
        return self.rng.choice(self.nodes)

    def run_interleaved_events(self) -> None:
        """Advance time, apply late writes and let other nodes act in the middle of a store call."""
        self.now_s += self.rng.choice((0.0, 0.0, 0.0, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 2.0))
        self.store.apply_delayed_write()
        self.observe_store()
        if self.rng.random() < 0.2:
            self.update_nodes(0.4)
        if self.depth < MAX_NESTING and self.rng.random() < 0.06:
            self.depth += 1
            self.act(self.rng.choice(self.nodes))
            self.depth -= 1

    def act(self, node: Node) -> None:
        """Let a node step, unless a step is already running: a node has one thread for shifts."""
        if node.is_acting:
            return
        node.is_acting = True
        try:
            self._act(node)
        finally:
            node.is_acting = False

    def _act(self, node: Node) -> None:
        if self.rng.random() < 0.03:
            node.lease.release()
            return
        if self.rng.random() < 0.02:
            node.task = None
        if not node.lease.step():
            return
        try:
            if node.task is None or node.task_epoch != node.lease.epoch:
                fenced_object = FencedObject(
                    self.store, "configuration", "steering/souhrny", node.lease
                )
                node.task = ShiftTask(SERVICE, MODEL, fenced_object)
                node.task._executor = self.executor(node.task._state)
                node.task_epoch = node.lease.epoch
            clock = lambda: self.now_s * node.clock_rate  # noqa: E731 - as in `_node`
            node.task.step(clock, self.plan, StubEvidenceSource(self, node))
        except StaleEpochError:
            node.task = None
        except PlatformError:
            return
        finally:
            self.observe_store()

    def update_nodes(self, probability: float) -> None:
        """Deliver the newest state to some nodes."""
        self.observe_store()
        if not self.store.written:
            return
        for node in self.nodes:
            if self.rng.random() < probability * node.update_probability_factor:
                self._apply(node)

    def observe_store(self) -> None:
        for stored in self.store.written[self.seen :]:
            if stored.kind != "configuration":
                continue
            body = decode_fenced(stored).body
            if body:
                places, state = self.places.of(body)
                self.store_tracker.record(self.now_s, places)
                self.sequences.append(state.sequence)
        self.seen = len(self.store.written)

    def newest(self):
        return self.store.inner.get("configuration", "steering/souhrny")

    def _apply(self, node: Node) -> None:
        stored = self.newest()
        if stored is None or stored.version <= node.version:
            return
        node.version = stored.version
        body = decode_fenced(stored).body
        if body:
            node.tracker.record(self.now_s, self.places.of(body)[0])

    def _node(self, name: str) -> Node:
        rate = self.rng.uniform(0.995, 1.005)
        clock = lambda: self.now_s * rate  # noqa: E731 - a clock for one node
        update_probability_factor = 0.08 if self.rng.random() < 0.08 else 1.0
        return Node(
            name,
            Lease(self.store, "steering", name, LEASE_S, clock),
            rate,
            update_probability_factor,
        )

    @property
    def trackers(self) -> list[MoveTracker]:
        return [self.store_tracker, *(node.tracker for node in self.nodes)]

    @property
    def most_in_a_minute(self) -> int:
        return max(tracker.most_in_a_minute for tracker in self.trackers)

    @property
    def most_on_link(self) -> int:
        return max(tracker.most_on_link for tracker in self.trackers)


class StubEvidenceSource:
    """Source of evidence that is correct when read, but sometimes has old measurements.

    Reading it takes time in some cases, in which nodes apply the newest state.
    """

    def __init__(self, race: Race, node: Node) -> None:
        self._race = race
        self._node = node

    def evidence(self, _service: Service, version: int) -> Evidence:
        race = self._race
        race.now_s += race.rng.choice(EVIDENCE_TIMES_S)
        race.update_nodes(0.4)
        age_s = race.rng.choice((0.5,) * 30 + (30.0,))
        return Evidence(
            measured_at_s=race.now_s * self._node.clock_rate - age_s,
            is_in_force=all(node.version >= version for node in race.nodes),
            are_targets_warm=race.rng.random() < 0.97,
            capacities=np.array([99.0, race.capacity]),
        )


@pytest.mark.parametrize("case", range(CASES))
def test_no_minute_moves_more_than_the_cap(case: int) -> None:
    moved = fenced = full = 0
    places = PlacesByState()
    for seed in range(case * SEEDS_PER_CASE, (case + 1) * SEEDS_PER_CASE):
        race = Race(seed, Executor, places)
        race.run()
        assert race.most_in_a_minute <= CAP_BLOCKS, f"seed {seed}"
        assert race.most_on_link <= race.link_limit, f"seed {seed}"
        assert race.sequences == sorted(race.sequences), f"seed {seed}"
        moved += bool(race.store_tracker.most_in_a_minute)
        full += race.most_in_a_minute == CAP_BLOCKS
        fenced += len({node.lease.epoch for node in race.nodes}) > 1
    assert moved > SEEDS_PER_CASE // 2
    assert full > SEEDS_PER_CASE // 20
    assert fenced > SEEDS_PER_CASE // 2


class ForgetfulExecutor(Executor):
    """Faulty executor that assumes after a take-over that no blocks have moved."""

    def __init__(self, _inherited: ShiftState | None) -> None:
        super().__init__(None)


class HastyExecutor(Executor):
    """Faulty executor that advances before the previous step is in force."""

    def _record_evidence(self, now_s: float, evidence: Evidence) -> None:
        super()._record_evidence(now_s, Evidence(now_s, True, True, evidence.capacities))


class TrustingExecutor(Executor):
    """Faulty executor that treats a write whose reply was lost as not applied."""

    def record_attempt(self, write) -> None:
        moved = list(self._moves)
        super().record_attempt(write)
        self._unacknowledged, self._moves = None, moved

    def record_applied(self) -> None:
        return


@pytest.mark.parametrize("broken", [ForgetfulExecutor, HastyExecutor, TrustingExecutor])
def test_the_check_catches_broken_executors(broken: type[Executor]) -> None:
    places = PlacesByState()

    def is_caught(seed: int) -> bool:
        race = Race(seed, broken, places)
        race.run()
        return race.most_in_a_minute > CAP_BLOCKS

    assert any(is_caught(seed) for seed in range(2_000))
