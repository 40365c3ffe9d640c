"""Carry out confirmed plans at the node that holds the lease on shifts."""

import threading
from collections.abc import Callable
from typing import Protocol

import numpy as np

from chervilmill.coordination import (
    CONFIGURATION_KIND,
    Configuration,
    FencedObject,
    Lease,
    ObjectStore,
    PlatformError,
    StaleEpochError,
)
from chervilmill.logs import log_event, log_problem
from chervilmill.settings import Service, Settings
from chervilmill.steering._confirmed import ConfirmedPlan, confirmed_plans
from chervilmill.steering._executor import (
    Action,
    Evidence,
    Executor,
    ShiftLoads,
    Wait,
    WaitReason,
    Write,
)
from chervilmill.steering._initial_state import initial_state
from chervilmill.steering._loads import loads_by_region_and_place
from chervilmill.steering._model import SteeringModel, steering_states
from chervilmill.steering._state import (
    STEERING_PREFIX,
    MalformedStateError,
    ShiftState,
    decode_state,
)
from chervilmill.steering._topology import Array
from chervilmill.supervision import supervised_thread

LEASE_NAME = "steering"
LEASE_DURATION_S = 9.0
TICK_S = 1.0

Clock = Callable[[], float]


class EvidenceSource(Protocol):
    """Source of evidence from nodes and targets on the steering in force."""

    def evidence(self, service: Service, version: int) -> Evidence:
        """Return the evidence on a version of a service's steering object."""
        ...

    def may_contend(self, node: str) -> bool:
        """Return whether a node is among the few that may contend for the lease on shifts."""
        ...


class ShiftTask:
    """Carries out the shifts of one service during one tenure of the lease."""

    def __init__(self, service: Service, model: SteeringModel, fenced_object: FencedObject) -> None:
        self._service = service
        self._model = model
        self._fenced_object = fenced_object
        self._state = _decode_body(fenced_object.take_over())
        self._executor = Executor(self._state)
        self._shift_loads: ShiftLoads | None = None
        self._shift_loads_plan_id = ""

    def step(self, clock: Clock, plan: ConfirmedPlan, evidence_source: EvidenceSource) -> Action:
        """Decide the next action, write its state if there is one, and return the action.

        Raise PlatformError if the store cannot be read or written.
        """
        self._state = _decode_body(self._fenced_object.read())
        action = self._decide(clock, plan, evidence_source)
        if isinstance(action, Wait):
            return action
        self._executor.record_attempt(action)
        try:
            self._fenced_object.write(action.state.encode())
        except StaleEpochError:
            raise
        except PlatformError:
            self._fenced_object.take_over()
            raise
        self._executor.record_applied()
        _log_write(self._service, action)
        return action

    def _decide(self, clock: Clock, plan: ConfirmedPlan, evidence_source: EvidenceSource) -> Action:
        state = self._state
        if state is None or state.plan_id != plan.plan_id:
            first = initial_state(plan, state, self._model.planning_blocks)
            return self._executor.begin(first)
        if self._shift_loads is None or self._shift_loads_plan_id != state.plan_id:
            self._shift_loads, self._shift_loads_plan_id = self._loads_of(state), state.plan_id
        evidence = evidence_source.evidence(self._service, self._fenced_object.version)
        # Only now, as nodes may have applied the newest state while they were asked.
        return self._executor.decide(clock(), state, self._shift_loads, evidence)

    def _loads_of(self, state: ShiftState) -> ShiftLoads:
        topology = self._model.topology(self._service)
        served_demand = self._model.demand(self._service) * _served_shares(self._model, state)
        return ShiftLoads(
            base_loads=loads_by_region_and_place(topology, state.base, served_demand).sum(axis=0),
            goal_loads=loads_by_region_and_place(topology, state.goal, served_demand).sum(axis=0),
        )


class ShiftRunner:
    """Holds the lease on shifts while plans are unsettled, and steps the shifts every second."""

    def __init__(
        self,
        store: ObjectStore,
        configuration: Configuration,
        settings: Settings,
        model: SteeringModel,
        evidence_source: EvidenceSource,
        clock: Clock,
        count_wait: Callable[[str, str], None],
        on_tick: Callable[[], None],
    ) -> None:
        self._on_tick = on_tick
        self._count_wait = count_wait
        self._store = store
        self._configuration = configuration
        self._settings = settings
        self._model = model
        self._evidence_source = evidence_source
        self._clock = clock
        self._lease = Lease(store, LEASE_NAME, settings.node.name, LEASE_DURATION_S, clock)
        self._renewed_at_s = -LEASE_DURATION_S
        self._epoch = 0
        self._tasks: dict[str, ShiftTask] = {}
        self._stopped = threading.Event()
        self._thread = supervised_thread("steering", self._run)

    def start(self) -> None:
        """Start the thread that carries out confirmed plans."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the current step and release the lease."""
        self._stopped.set()
        self._thread.join(LEASE_DURATION_S)
        self._lease.release()

    def step(self) -> None:
        """Renew the lease if there is work, and step every shift that is not settled."""
        plans = self._unsettled_plans()
        is_contender = self._evidence_source.may_contend(self._settings.node.name)
        if not plans or not (is_contender or self._lease.is_held):
            return
        now_s = self._clock()
        if now_s - self._renewed_at_s >= LEASE_DURATION_S / 3:
            self._renewed_at_s = now_s
            self._lease.step()
        if not self._lease.is_held:
            self._tasks.clear()
            return
        if self._lease.epoch != self._epoch:
            self._epoch = self._lease.epoch
            self._tasks.clear()
        for plan in plans:
            self._step_plan(plan)

    def _step_plan(self, plan: ConfirmedPlan) -> None:
        service = self._settings.service(plan.service)
        if service is None or plan.places != self._model.place_names:
            return
        if not self._concessions_are_in_force(plan):
            self._count_wait(service.name, WaitReason.LOWER_PRIORITY_FIRST.value)
            return
        try:
            if service.name not in self._tasks:
                name = STEERING_PREFIX + service.name
                fenced_object = FencedObject(self._store, CONFIGURATION_KIND, name, self._lease)
                self._tasks[service.name] = ShiftTask(service, self._model, fenced_object)
            action = self._tasks[service.name].step(self._clock, plan, self._evidence_source)
            if isinstance(action, Wait):
                self._count_wait(service.name, action.reason.value)
        except StaleEpochError:
            self._tasks.pop(service.name, None)
        except (PlatformError, MalformedStateError) as exc:
            log_problem("shift waits", step="write steering", peer=service.name, error=str(exc))

    def _concessions_are_in_force(self, plan: ConfirmedPlan) -> bool:
        """Return whether every node applies the reductions that a plan waits for."""
        snapshot = self._configuration.snapshot()
        current, confirmed = steering_states(snapshot), confirmed_plans(snapshot)
        for name in plan.waits_for:
            other = self._settings.service(name)
            yielding = current.get(name)
            if (
                other is None
                or yielding is None
                or yielding.state.plan_id != confirmed[name].plan_id
            ):
                return False
            if not self._evidence_source.evidence(other, yielding.version).is_in_force:
                return False
        return True

    def _unsettled_plans(self) -> list[ConfirmedPlan]:
        snapshot = self._configuration.snapshot()
        current = steering_states(snapshot)
        return [
            plan
            for service, plan in confirmed_plans(snapshot).items()
            if service not in current
            or current[service].state.plan_id != plan.plan_id
            or not current[service].state.is_settled
        ]

    def _run(self) -> None:
        while not self._stopped.wait(TICK_S):
            self._on_tick()
            self.step()


def _decode_body(body: bytes) -> ShiftState | None:
    return decode_state(body) if body else None


def _served_shares(model: SteeringModel, state: ShiftState) -> Array:
    return np.array(
        [state.admitted.get(model.region_of(i), 1.0) for i in range(len(model.place_names))]
    )


def _log_write(service: Service, write: Write) -> None:
    log_event(
        "shift stepped",
        service=service.name,
        phase=write.state.phase.value,
        reason=write.state.reason,
        blocks_moved=write.state.blocks_moved,
        blocks_to_move=write.state.blocks_to_move,
        sequence=write.state.sequence,
    )
