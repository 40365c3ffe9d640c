"""Report the progress of the shifts of a configuration."""

from typing import Any

from chervilmill.coordination import ConfigurationSnapshot
from chervilmill.steering._confirmed import ConfirmedPlan, confirmed_plans
from chervilmill.steering._hashing import HASH_SPAN
from chervilmill.steering._model import VersionedState, steering_states

NOT_BEGUN_PHASE = "confirmed"


def shift_reports(snapshot: ConfigurationSnapshot) -> list[dict[str, Any]]:
    """Return one report in JSON form for each service that has a confirmed plan."""
    current = steering_states(snapshot)
    return [
        _report(plan, current.get(service))
        for service, plan in sorted(confirmed_plans(snapshot).items())
    ]


def _report(plan: ConfirmedPlan, current: VersionedState | None) -> dict[str, Any]:
    report: dict[str, Any] = {
        "service": plan.service,
        "intent": plan.intent,
        "plan": plan.plan_id,
        "phase": NOT_BEGUN_PHASE,
        "reason": "",
        "fraction": 0.0,
        "blocks_moved": 0,
    }
    if current is None or current.state.plan_id != plan.plan_id:
        return report
    state = current.state
    return report | {
        "phase": state.phase.value,
        "reason": state.reason,
        "fraction": round(state.fraction / HASH_SPAN, 6),
        "blocks_moved": state.blocks_moved,
        "blocks_to_move": state.blocks_to_move,
        "blocks": state.block_count,
        "cap_blocks_per_min": state.cap_blocks_per_min,
        "revision": current.version,
    }
