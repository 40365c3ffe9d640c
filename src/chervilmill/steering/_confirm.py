"""Confirm plans: one conditional update wins, and a repeated confirm has the effect of one."""

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
    CONFIRMED_NAME,
    ConfirmedPlan,
    confirmed_plans,
    encode_confirmed,
)
from chervilmill.steering._plan import Plan

MAX_ATTEMPTS = 4

WallClock = Callable[[], float]


class ConfirmRefusal(Enum):
    """Say why a confirm was refused."""

    LAPSED = "plan_lapsed"
    NOT_ALLOWED = "plan_not_allowed"
    STALE = "plan_stale"
    UNKNOWN_INTENT = "unknown_intent"


class ConfirmRefusedError(Exception):
    """Refuse a confirm without having changed anything; `fresh` is the plan that holds now."""

    def __init__(self, cause: ConfirmRefusal, detail: str, fresh: Plan | None = None) -> None:
        super().__init__(detail)
        self.cause = cause
        self.detail = detail
        self.fresh = fresh


@dataclass(frozen=True, slots=True)
class ConfirmRequest:
    """Name the plan that an operator has seen and when it was computed, in Unix seconds."""

    intent: str
    plan_id: str
    computed_at_s: float


@dataclass(frozen=True, slots=True)
class PlannedIntent:
    """Hold a plan with what a confirm records of it, and of services that yield to it."""

    plan: Plan
    record: ConfirmedPlan
    yielding: tuple[ConfirmedPlan, ...] = ()


class IntentPlanner(Protocol):
    """Compute the plan of an intent from a configuration."""

    def plan(self, snapshot: ConfigurationSnapshot, intent: str) -> PlannedIntent | None:
        """Return the plan, or None where there is no such intent."""
        ...


class Confirmer:
    """Confirm plans against the newest configuration in the store.

    All confirms update one object, so a plan that was harmless before another was confirmed is
    computed anew with that one in force.
    """

    def __init__(
        self, store: ObjectStore, planner: IntentPlanner, lifetime_s: float, clock: WallClock
    ) -> None:
        self._store = store
        self._planner = planner
        self._lifetime_s = lifetime_s
        self._clock = clock

    def confirm(self, request: ConfirmRequest) -> ConfirmedPlan:
        """Return the record of the confirmed plan, also where it was confirmed before.

        Raise ConfirmRefusedError where nothing was changed, StoreUnavailableError likewise, and
        WriteUnsureError where the store gave no answer; the confirm may then be repeated.
        """
        for _attempt in range(MAX_ATTEMPTS):
            snapshot = fresh_configuration(self._store)
            plans = confirmed_plans(snapshot)
            for record in plans.values():
                if record.plan_id == request.plan_id:
                    return record
            planned = self._checked(snapshot, request)
            for record in (planned.record, *planned.yielding):
                plans[record.service] = record
            try:
                self._write(snapshot, encode_confirmed(plans))
            except (VersionConflictError, WriteUnsureError):
                continue
            return planned.record
        message = f"no reply after {MAX_ATTEMPTS} attempts; confirm again"
        raise WriteUnsureError(message, step="confirm", peer=CONFIRMED_NAME)

    def _checked(self, snapshot: ConfigurationSnapshot, request: ConfirmRequest) -> PlannedIntent:
        planned = self._planner.plan(snapshot, request.intent)
        if planned is None:
            detail = f"there is no intent {request.intent}"
            raise ConfirmRefusedError(ConfirmRefusal.UNKNOWN_INTENT, detail)
        plan = planned.plan
        if self._clock() - request.computed_at_s > self._lifetime_s:
            detail = f"the plan is older than {self._lifetime_s:g} s"
            raise ConfirmRefusedError(ConfirmRefusal.LAPSED, detail, plan)
        if plan.plan_id != request.plan_id:
            detail = f"what the plan rests on has changed; the newest revision is {plan.revision}"
            raise ConfirmRefusedError(ConfirmRefusal.STALE, detail, plan)
        if not plan.may_be_confirmed:
            detail = "; ".join(refusal.detail for refusal in plan.refusals)
            raise ConfirmRefusedError(ConfirmRefusal.NOT_ALLOWED, detail, plan)
        return planned

    def _write(self, snapshot: ConfigurationSnapshot, value: bytes) -> None:
        stored = snapshot.objects.get(CONFIRMED_NAME)
        if stored is None:
            self._store.create(CONFIGURATION_KIND, CONFIRMED_NAME, value)
            return
        self._store.update(CONFIGURATION_KIND, CONFIRMED_NAME, value, stored.version)


def fresh_configuration(store: ObjectStore) -> ConfigurationSnapshot:
    """Return the configuration as the store has it now, or raise StoreUnavailableError."""
    return merge_objects(EMPTY_CONFIGURATION, store.list(CONFIGURATION_KIND))
