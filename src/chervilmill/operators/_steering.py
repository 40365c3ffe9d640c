"""Serve intents, plans, confirmations, shifts and explanations of block placement to operators."""

import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from chervilmill.coordination import (
    CONFIGURATION_KIND,
    ConfigurationSnapshot,
    ObjectStore,
    WriteUnsureError,
)
from chervilmill.logs import log_event
from chervilmill.metrics import Metrics
from chervilmill.operators._router import OperatorRefusal, OperatorRequest, OperatorResponse, Route
from chervilmill.settings import Settings
from chervilmill.steering import (
    Confirmer,
    ConfirmRefusal,
    ConfirmRefusedError,
    ConfirmRequest,
    Intent,
    Plan,
    SteeringModel,
    SteeringTable,
    VersionedIntent,
    check_intent,
    fresh_configuration,
    shift_reports,
    stated_intents,
)

WallClock = Callable[[], float]

_STATUS_BY_REFUSAL = {
    ConfirmRefusal.EXPIRED: HTTPStatus.CONFLICT,
    ConfirmRefusal.NOT_ALLOWED: HTTPStatus.UNPROCESSABLE_ENTITY,
    ConfirmRefusal.STALE: HTTPStatus.CONFLICT,
    ConfirmRefusal.UNKNOWN_INTENT: HTTPStatus.NOT_FOUND,
}


class SteeringRoutes:
    """The routes by which operators control and inspect steering."""

    def __init__(
        self,
        store: ObjectStore,
        settings: Settings,
        model: SteeringModel,
        table: SteeringTable,
        metrics: Metrics,
        clock: WallClock = time.time,
    ) -> None:
        self._store = store
        self._settings = settings
        self._model = model
        self._table = table
        self._metrics = metrics
        self._clock = clock
        self._confirmer = Confirmer(store, model, settings.steering.plan_lifetime_s, clock)

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of steering."""
        return (
            Route("GET", "/intents", self._list_intents),
            Route("POST", "/intents", self._state_intent),
            Route("GET", "/plans", self._show_plan),
            Route("POST", "/confirm", self._confirm),
            Route("GET", "/explain", self._explain),
            Route("GET", "/shifts", self._show_shifts),
        )

    def _list_intents(self, _req: OperatorRequest) -> OperatorResponse:
        snapshot = fresh_configuration(self._store)
        stated = stated_intents(snapshot, self._settings)
        return OperatorResponse({"intents": [_intent_json(item) for item in stated]})

    def _state_intent(self, req: OperatorRequest) -> OperatorResponse:
        snapshot = fresh_configuration(self._store)
        others = [item.intent for item in stated_intents(snapshot, self._settings)]
        try:
            intent = check_intent(req.json_object(), self._settings, others)
        except ExceptionGroup as group:
            self._metrics.count_steering_refusal("intent", "wrong_intent")
            faults = [str(problem) for problem in group.exceptions]
            value = {"error": "; ".join(faults), "faults": faults}
            return OperatorResponse(value, HTTPStatus.BAD_REQUEST)
        version = self._write_intent(snapshot, intent)
        log_event("intent stated", intent=intent.name, service=intent.service, revision=version)
        return OperatorResponse(_intent_json(VersionedIntent(intent, version)))

    def _write_intent(self, snapshot: ConfigurationSnapshot, intent: Intent) -> int:
        """Write an intent and return its version, unless it was replaced since the snapshot.

        Nothing is written if the stored intent is the same. If the reply of the store is lost, the
        intent is read back to determine the outcome.
        """
        stored = snapshot.objects.get(intent.object_name)
        value = intent.encode()
        if stored is not None and stored.value == value:
            return stored.version
        try:
            if stored is None:
                return self._store.create(CONFIGURATION_KIND, intent.object_name, value)
            return self._store.update(CONFIGURATION_KIND, intent.object_name, value, stored.version)
        except WriteUnsureError:
            found = self._store.get(CONFIGURATION_KIND, intent.object_name)
            if found is None or found.value != value:
                raise
            return found.version

    def _show_plan(self, req: OperatorRequest) -> OperatorResponse:
        name = _query_parameter(req, "intent")
        planned = self._model.plan(fresh_configuration(self._store), name)
        if planned is None:
            raise OperatorRefusal(HTTPStatus.NOT_FOUND, f"unknown intent {name}")
        for refusal in planned.plan.refusals:
            self._metrics.count_steering_refusal("plan", refusal.cause.value)
        return OperatorResponse(self._plan_json(planned.plan))

    def _confirm(self, req: OperatorRequest) -> OperatorResponse:
        requested = _confirm_request(req.json_object())
        try:
            record = self._confirmer.confirm(requested)
        except ConfirmRefusedError as refused:
            return self._refusal_response(requested, refused)
        log_event("plan confirmed", plan=record.plan_id, service=record.service)
        value = {"plan": record.plan_id, "service": record.service, "intent": record.intent}
        return OperatorResponse(value)

    def _refusal_response(
        self, requested: ConfirmRequest, refused: ConfirmRefusedError
    ) -> OperatorResponse:
        self._metrics.count_steering_refusal("confirm", refused.cause.value)
        log_event("confirm refused", intent=requested.intent, reason=refused.cause.value)
        value: dict[str, Any] = {"error": refused.detail, "reason": refused.cause.value}
        if refused.current_plan is not None:
            value["fresh"] = self._plan_json(refused.current_plan)
        return OperatorResponse(value, _STATUS_BY_REFUSAL[refused.cause])

    def _explain(self, req: OperatorRequest) -> OperatorResponse:
        service = _query_parameter(req, "service")
        if self._settings.service(service) is None:
            raise OperatorRefusal(HTTPStatus.NOT_FOUND, f"unknown service {service}")
        try:
            placement = self._table.placement(service, _query_parameter(req, "client"))
        except ValueError as exc:
            raise OperatorRefusal(HTTPStatus.BAD_REQUEST, str(exc)) from exc
        return OperatorResponse(placement.to_json())

    def _show_shifts(self, _req: OperatorRequest) -> OperatorResponse:
        return OperatorResponse({"shifts": shift_reports(fresh_configuration(self._store))})

    def _plan_json(self, plan: Plan) -> dict[str, Any]:
        return {**plan.to_json(), "computed_at_s": round(self._clock(), 3)}


def _intent_json(stated: VersionedIntent) -> dict[str, Any]:
    return {**stated.intent.to_json(), "version": stated.version}


def _query_parameter(req: OperatorRequest, name: str) -> str:
    value = req.query.get(name)
    if not value:
        raise OperatorRefusal(
            HTTPStatus.BAD_REQUEST, f"expected the query parameter {name}, found none"
        )
    return value


def _confirm_request(raw: dict[str, Any]) -> ConfirmRequest:
    intent, plan, computed_at_s = raw.get("intent"), raw.get("plan"), raw.get("computed_at_s")
    if not isinstance(intent, str) or not isinstance(plan, str):
        found = f"{type(intent).__name__} and {type(plan).__name__}"
        raise OperatorRefusal(
            HTTPStatus.BAD_REQUEST, f"expected strings for intent and plan, found {found}"
        )
    if isinstance(computed_at_s, bool) or not isinstance(computed_at_s, int | float):
        raise OperatorRefusal(
            HTTPStatus.BAD_REQUEST,
            f"expected a number for computed_at_s, found {type(computed_at_s).__name__}",
        )
    return ConfirmRequest(intent, plan, float(computed_at_s))
