"""Store the confirmed plans of all services in one object, so that confirms are ordered."""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from functools import lru_cache
from types import MappingProxyType
from typing import Any

from chervilmill.coordination import ConfigurationSnapshot
from chervilmill.steering._plan import Plan
from chervilmill.steering._plan_input import PlanInput
from chervilmill.steering._priorities import LinkConcession
from chervilmill.steering._shares import ShareMap

CONFIRMED_OBJECT_NAME = "plans/confirmed"
DECODED_CACHE_SIZE = 4


@dataclass(frozen=True, slots=True)
class ConfirmedPlan:
    """Record of a confirmed plan, with everything that is needed to carry the plan out.

    `admitted` holds the share of requests that is still served, where that is below 1.
    `waits_for` names the services whose plans have to be in force before this plan begins.
    """

    plan_id: str
    service: str
    intent: str
    intent_version: int
    plan_revision: int
    is_emergency: bool
    percent_per_min: int
    places: tuple[str, ...]
    goal: ShareMap
    admitted: Mapping[str, float]
    waits_for: tuple[str, ...] = ()

    def to_json(self) -> dict[str, Any]:
        """Return the JSON form."""
        return {
            "plan": self.plan_id,
            "service": self.service,
            "intent": self.intent,
            "intent_version": self.intent_version,
            "plan_revision": self.plan_revision,
            "is_emergency": self.is_emergency,
            "percent_per_min": self.percent_per_min,
            "places": list(self.places),
            "goal": self.goal.to_lists(),
            "admitted": dict(self.admitted),
            "waits_for": list(self.waits_for),
        }


def confirmed_plan(plan: Plan, plan_input: PlanInput) -> ConfirmedPlan:
    """Return the record that the confirm of a plan stores."""
    return ConfirmedPlan(
        plan_id=plan.plan_id,
        service=plan.service,
        intent=plan.intent,
        intent_version=plan_input.stated_intent.version,
        plan_revision=plan.revision,
        is_emergency=plan.is_emergency,
        percent_per_min=plan_input.percent_per_min,
        places=plan_input.topology.place_names,
        goal=plan.goal,
        admitted=MappingProxyType({r.region: r.admitted for r in plan.refused}),
        waits_for=tuple(sorted({item.service for item in plan.link_concessions})),
    )


def yielding_plan(
    plan: ConfirmedPlan,
    service: str,
    current_map: ShareMap,
    concessions: Iterable[LinkConcession],
    admitted: Mapping[str, float],
) -> ConfirmedPlan:
    """Return a plan that lowers the admitted share of a yielding service and moves no blocks."""
    reduced = dict(admitted)
    for item in concessions:
        reduced[item.key] = reduced.get(item.key, 1.0) * item.admitted
    return replace(
        plan,
        plan_id=f"{plan.plan_id}/{service}",
        service=service,
        goal=current_map,
        admitted=MappingProxyType(reduced),
        waits_for=(),
    )


def encode_confirmed(plans: Mapping[str, ConfirmedPlan]) -> bytes:
    """Return the stored form of the confirmed plans by service."""
    fields = {service: plans[service].to_json() for service in sorted(plans)}
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_confirmed(value: bytes) -> dict[str, ConfirmedPlan]:
    """Return the confirmed plans of a stored form, or raise ValueError, KeyError or TypeError."""
    return dict(_decode_cached(value))


@lru_cache(maxsize=DECODED_CACHE_SIZE)
def _decode_cached(value: bytes) -> Mapping[str, ConfirmedPlan]:
    return {str(service): _plan_from_json(raw) for service, raw in json.loads(value).items()}


def confirmed_plans(snapshot: ConfigurationSnapshot) -> dict[str, ConfirmedPlan]:
    """Return the confirmed plans of a configuration by service."""
    stored = snapshot.objects.get(CONFIRMED_OBJECT_NAME)
    return {} if stored is None else decode_confirmed(stored.value)


def _plan_from_json(raw: dict[str, Any]) -> ConfirmedPlan:
    return ConfirmedPlan(
        plan_id=str(raw["plan"]),
        service=str(raw["service"]),
        intent=str(raw["intent"]),
        intent_version=int(raw["intent_version"]),
        plan_revision=int(raw["plan_revision"]),
        is_emergency=bool(raw["is_emergency"]),
        percent_per_min=int(raw["percent_per_min"]),
        places=tuple(str(name) for name in raw["places"]),
        goal=ShareMap.from_lists(raw["goal"]),
        admitted=MappingProxyType({str(k): float(v) for k, v in raw["admitted"].items()}),
        waits_for=tuple(str(name) for name in raw["waits_for"]),
    )
