"""Confirm plans idempotently; of concurrent confirms, one conditional update wins."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from chervilmill.coordination import (
    CONFIGURATION_KIND,
    EMPTY_CONFIGURATION,
    ConfigurationSnapshot,
    ObjectStore,
    VersionConflictError,
    WriteUnsureError,
    merge_objects,
)
from chervilmill.steering._confirmed import (
    CONFIRMED_OBJECT_NAME,
    ConfirmedPlan,
    confirmed_plans,
    encode_confirmed,
)
from chervilmill.steering._plan import Plan

MAX_ATTEMPTS = 4

WallClock = Callable[[], float]


class ConfirmRefusal(Enum):
    """Cause of a refused confirm."""

    EXPIRED = "plan_lapsed"
    NOT_ALLOWED = "plan_not_allowed"
    STALE = "plan_stale"
    UNKNOWN_INTENT = "unknown_intent"


class ConfirmRefusedError(Exception):
    """Raised for a confirm that was refused and changed nothing.

    `current_plan` is the plan that was computed from the current inputs.
    """

    def __init__(
        self, cause: ConfirmRefusal, detail: str, current_plan: Plan | None = None
    ) -> None:
        super().__init__(detail)
        self.cause = cause
        self.detail = detail
        self.current_plan = current_plan


@dataclass(frozen=True, slots=True)
class ConfirmRequest:
    """The plan that an operator has seen, and its time of computation in Unix seconds."""

    intent: str
    plan_id: str
    computed_at_s: float


@dataclass(frozen=True, slots=True)
class PlannedIntent:
    """A plan, the record that a confirm stores, and the records of services that yield to it."""

    plan: Plan
    record: ConfirmedPlan
    yielding_records: tuple[ConfirmedPlan, ...] = ()


class IntentPlanner(Protocol):
    """Planner that computes the plan of an intent from a configuration."""

    def plan(self, snapshot: ConfigurationSnapshot, intent: str) -> PlannedIntent | None:
        """Return the plan, or None if the intent does not exist."""
        ...


class Confirmer:
    """Confirms plans against the newest configuration in the store.

    All confirms update one object. A plan that was harmless before another plan was confirmed is
    therefore recomputed with the other plan in force.
    """

    def __init__(
        self, store: ObjectStore, planner: IntentPlanner, lifetime_s: float, clock: WallClock
    ) -> None:
        self._store = store
        self._planner = planner
        self._lifetime_s = lifetime_s
        self._clock = clock

    def confirm(self, request: ConfirmRequest) -> ConfirmedPlan:
        """Return the record of the confirmed plan, also if the plan was confirmed before.

        Raise ConfirmRefusedError or StoreUnavailableError if nothing was changed. Raise
        WriteUnsureError if the outcome of the write is unknown; the confirm may be repeated.
        """
        for _attempt in range(MAX_ATTEMPTS):
            snapshot = fresh_configuration(self._store)
            plans = confirmed_plans(snapshot)
            for record in plans.values():
                if record.plan_id == request.plan_id:
                    return record
            planned = self._validated_plan(snapshot, request)
            for record in (planned.record, *planned.yielding_records):
                plans[record.service] = record
            try:
                self._write_confirmed(snapshot, encode_confirmed(plans))
            except (VersionConflictError, WriteUnsureError):
                continue
            return planned.record
        message = f"no reply after {MAX_ATTEMPTS} attempts; confirm again"
        raise WriteUnsureError(message, step="confirm", peer=CONFIRMED_OBJECT_NAME)

    def _validated_plan(
        self, snapshot: ConfigurationSnapshot, request: ConfirmRequest
    ) -> PlannedIntent:
        planned = self._planner.plan(snapshot, request.intent)
        if planned is None:
            detail = f"there is no intent {request.intent}"
            raise ConfirmRefusedError(ConfirmRefusal.UNKNOWN_INTENT, detail)
        plan = planned.plan
        if self._clock() - request.computed_at_s > self._lifetime_s:
            detail = f"the plan is older than {self._lifetime_s:g} s"
            raise ConfirmRefusedError(ConfirmRefusal.EXPIRED, detail, plan)
        if plan.plan_id != request.plan_id:
            detail = f"the inputs of the plan have changed; the newest revision is {plan.revision}"
            raise ConfirmRefusedError(ConfirmRefusal.STALE, detail, plan)
        if not plan.may_be_confirmed:
            detail = "; ".join(refusal.detail for refusal in plan.refusals)
            raise ConfirmRefusedError(ConfirmRefusal.NOT_ALLOWED, detail, plan)
        return planned

    def _write_confirmed(self, snapshot: ConfigurationSnapshot, value: bytes) -> None:
        stored = snapshot.objects.get(CONFIRMED_OBJECT_NAME)
        if stored is None:
            self._store.create(CONFIGURATION_KIND, CONFIRMED_OBJECT_NAME, value)
            return
        self._store.update(CONFIGURATION_KIND, CONFIRMED_OBJECT_NAME, value, stored.version)


def fresh_configuration(store: ObjectStore) -> ConfigurationSnapshot:
    """Return the configuration from the store, or raise StoreUnavailableError."""
    return merge_objects(EMPTY_CONFIGURATION, store.list(CONFIGURATION_KIND))
