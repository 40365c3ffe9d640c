"""Carry confirmed plans out under a lease, at whichever node holds it."""

import threading
from collections.abc import Callable
from typing import Protocol

import numpy as np

from chervilmill.coordination import (
    CONFIGURATION_KIND,
    Configuration,
    FencedObject,
    FencedOffError,
    Lease,
    ObjectStore,
    PlatformError,
)
from chervilmill.logs import log_event, log_problem
from chervilmill.settings import Service, Settings
from chervilmill.steering._confirmed import ConfirmedPlan, confirmed_plans
from chervilmill.steering._executor import Action, Course, Evidence, Executor, Hold, Wait, Write
from chervilmill.steering._first_state import first_state
from chervilmill.steering._loads import flows
from chervilmill.steering._state import (
    STEERING_PREFIX,
    MalformedStateError,
    ShiftState,
    decode_state,
)
from chervilmill.steering._topology import Array
from chervilmill.steering._world import SteeringWorld, states

LEASE_NAME = "steering"
LEASE_DURATION_S = 9.0
TICK_S = 1.0

Clock = Callable[[], float]


class EvidenceSource(Protocol):
    """Gather what nodes and targets tell about the steering in force."""

    def evidence(self, service: Service, version: int) -> Evidence:
        """Return the evidence on a version of a service's steering object."""
        ...

    def may_execute(self, node: str) -> bool:
        """Return whether a node is among the few that contend for the lease of shifts."""
        ...


class ShiftTask:
    """Carry out the shifts of one service during one tenure of the lease."""

    def __init__(self, service: Service, world: SteeringWorld, governed: FencedObject) -> None:
        self._service = service
        self._world = world
        self._governed = governed
        self._state = _decoded(governed.take_over())
        self._executor = Executor(self._state)
        self._course: Course | None = None
        self._course_plan = ""

    def step(self, now_s: float, plan: ConfirmedPlan, source: EvidenceSource) -> Action:
        """Decide, write what was decided and return it, or raise PlatformError."""
        self._state = _decoded(self._governed.read())
        action = self._decide(now_s, plan, source)
        if isinstance(action, Wait):
            return action
        self._executor.sending(action)
        try:
            self._governed.write(action.state.encode())
        except FencedOffError:
            raise
        except PlatformError:
            self._governed.take_over()
            raise
        self._executor.sent()
        _log(self._service, action)
        return action

    def _decide(self, now_s: float, plan: ConfirmedPlan, source: EvidenceSource) -> Action:
        state = self._state
        if state is None or state.plan_id != plan.plan_id:
            first = first_state(plan, state, self._world.planning_blocks)
            return self._executor.begin(first)
        if self._course is None or self._course_plan != state.plan_id:
            self._course, self._course_plan = self._course_of(state), state.plan_id
        evidence = source.evidence(self._service, self._governed.version)
        return self._executor.decide(now_s, state, self._course, evidence)

    def _course_of(self, state: ShiftState) -> Course:
        topology = self._world.topology(self._service)
        served = self._world.demand(self._service) * _admitted(self._world, state)
        return Course(
            base_loads=flows(topology, state.base, served).sum(axis=0),
            goal_loads=flows(topology, state.goal, served).sum(axis=0),
        )


class ShiftRunner:
    """Hold the lease while there is something to carry out, and step every second."""

    def __init__(
        self,
        store: ObjectStore,
        configuration: Configuration,
        settings: Settings,
        world: SteeringWorld,
        source: EvidenceSource,
        clock: Clock,
        count_wait: Callable[[str, str], None],
        on_tick: Callable[[], None],
    ) -> None:
        self._on_tick = on_tick
        self._count_wait = count_wait
        self._store = store
        self._configuration = configuration
        self._settings = settings
        self._world = world
        self._source = source
        self._clock = clock
        self._lease = Lease(store, LEASE_NAME, settings.node.name, LEASE_DURATION_S, clock)
        self._renewed_s = -LEASE_DURATION_S
        self._epoch = 0
        self._tasks: dict[str, ShiftTask] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="steering", daemon=True)

    def start(self) -> None:
        """Begin to carry out confirmed plans."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the present step and give the lease up."""
        self._stopped.set()
        self._thread.join(LEASE_DURATION_S)
        self._lease.release()

    def step(self) -> None:
        """Renew the lease where there is work, and step every shift that is not settled."""
        plans = self._unfinished()
        is_contender = self._source.may_execute(self._settings.node.name)
        if not plans or not (is_contender or self._lease.is_held):
            return
        now_s = self._clock()
        if now_s - self._renewed_s >= LEASE_DURATION_S / 3:
            self._renewed_s = now_s
            self._lease.step()
        if not self._lease.is_held:
            self._tasks.clear()
            return
        if self._lease.epoch != self._epoch:
            self._epoch = self._lease.epoch
            self._tasks.clear()
        for plan in plans:
            self._step_plan(now_s, plan)

    def _step_plan(self, now_s: float, plan: ConfirmedPlan) -> None:
        service = self._settings.service(plan.service)
        if service is None or plan.places != self._world.place_names:
            return
        if not self._have_yielded(plan):
            self._count_wait(service.name, Hold.LOWER_PRIORITY_FIRST.value)
            return
        try:
            if service.name not in self._tasks:
                name = STEERING_PREFIX + service.name
                governed = FencedObject(self._store, CONFIGURATION_KIND, name, self._lease)
                self._tasks[service.name] = ShiftTask(service, self._world, governed)
            action = self._tasks[service.name].step(now_s, plan, self._source)
            if isinstance(action, Wait):
                self._count_wait(service.name, action.hold.value)
        except FencedOffError:
            self._tasks.pop(service.name, None)
        except (PlatformError, MalformedStateError) as exc:
            log_problem("shift waits", step="write steering", peer=service.name, error=str(exc))

    def _have_yielded(self, plan: ConfirmedPlan) -> bool:
        """Return whether the services that a plan waits for admit less at every node."""
        snapshot = self._configuration.snapshot()
        present, confirmed = states(snapshot), confirmed_plans(snapshot)
        for name in plan.waits_for:
            other = self._settings.service(name)
            held = present.get(name)
            if other is None or held is None or held.state.plan_id != confirmed[name].plan_id:
                return False
            if not self._source.evidence(other, held.version).is_in_force:
                return False
        return True

    def _unfinished(self) -> list[ConfirmedPlan]:
        snapshot = self._configuration.snapshot()
        present = states(snapshot)
        return [
            plan
            for service, plan in confirmed_plans(snapshot).items()
            if service not in present
            or present[service].state.plan_id != plan.plan_id
            or not present[service].state.is_settled
        ]

    def _run(self) -> None:
        while not self._stopped.wait(TICK_S):
            self._on_tick()
            self.step()


def _decoded(body: bytes) -> ShiftState | None:
    return decode_state(body) if body else None


def _admitted(world: SteeringWorld, state: ShiftState) -> Array:
    return np.array(
        [state.admitted.get(world.region_of(i), 1.0) for i in range(len(world.place_names))]
    )


def _log(service: Service, write: Write) -> None:
    log_event(
        "shift stepped",
        service=service.name,
        phase=write.state.phase.value,
        reason=write.state.reason,
        blocks_moved=write.state.blocks_moved,
        blocks_to_move=write.state.blocks_to_move,
        sequence=write.state.sequence,
    )
