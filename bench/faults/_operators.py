"""Race two operators for conflicting plans, and record which region serves each block."""

import json
import random
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

from bench.checker import Confirm, LookupRecord, Shift, Trace
from bench.fleet import Fleet

INTENT_NAME = "race"
CAP_PERCENT_PER_MIN = 50
CAP_MBIT_PER_S = 100_000
REGION_SHARE_PERCENT = 40
ATTEMPTS = 5
RETRY_PAUSE_S = 0.5
LOOKUP_INTERVAL_S = 1.0
FAR_FUTURE_S = 1e9


@dataclass(frozen=True, slots=True)
class _Operator:
    """An operator's intent and the entry VM that receives the operator's requests."""

    entry: str
    intent: dict[str, Any]


def race_operators(fleet: Fleet, trace: Trace, rng: random.Random) -> None:
    """State one intent in two versions, plan each on the same base and confirm both at once."""
    operators = tuple(_conflicting_operators(fleet, rng))
    plans = [_plan(fleet, operator) for operator in operators]
    with ThreadPoolExecutor(len(operators)) as threads:
        futures = [
            threads.submit(_confirm, fleet, operator, plan)
            for operator, plan in zip(operators, plans, strict=True)
            if plan is not None
        ]
        trace.confirms += [fut.result() for fut in futures]
    caps = [int(plan["cap_blocks_per_min"]) for plan in plans if plan is not None]
    if any(confirm.is_accepted for confirm in trace.confirms):
        trace.shifts.append(Shift(fleet.shape.service, max(caps), 0.0, FAR_FUTURE_S))


def record_block_regions(
    fleet: Fleet, trace: Trace, rng: random.Random, stopped: threading.Event
) -> None:
    """Record the region of each client block, as explained by a random entry VM in each round."""
    while not stopped.wait(LOOKUP_INTERVAL_S):
        entry = rng.choice(list(fleet.entries))
        for client in fleet.clients:
            query = f"/explain?service={fleet.shape.service}&client={client}"
            at_s = time.monotonic()
            answer = fleet.send_operator_request(entry, "GET", query, None)
            if answer is None or answer.status != 200:
                break
            region = str(answer.value["place"])
            trace.lookups.append(LookupRecord(client, fleet.shape.service, at_s, region))


def _conflicting_operators(fleet: Fleet, rng: random.Random) -> Iterator[_Operator]:
    regions = rng.sample(fleet.shape.regions, 2)
    for region, entry in zip(regions, rng.sample(list(fleet.entries), 2), strict=True):
        yield _Operator(entry, _intent(fleet, region))


def _plan(fleet: Fleet, operator: _Operator) -> dict[str, Any] | None:
    _ask_until_answered(fleet, operator.entry, "POST", "/intents", operator.intent)
    return _ask_until_answered(fleet, operator.entry, "GET", f"/plans?intent={INTENT_NAME}", None)


def _intent(fleet: Fleet, region: str) -> dict[str, Any]:
    return {
        "name": INTENT_NAME,
        "service": fleet.shape.service,
        "shares": {region: REGION_SHARE_PERCENT},
        "cap": {
            "percent_of_blocks_per_min": CAP_PERCENT_PER_MIN,
            "mbit_per_s": CAP_MBIT_PER_S,
        },
    }


def _confirm(fleet: Fleet, operator: _Operator, plan: dict[str, Any]) -> Confirm:
    request = {
        "intent": INTENT_NAME,
        "plan": plan["plan"],
        "computed_at_s": plan["computed_at_s"],
    }
    value = _ask_until_answered(fleet, operator.entry, "POST", "/confirm", request)
    base = json.dumps(plan["before"]["places"])
    return Confirm(fleet.shape.service, str(plan["plan"]), base, value is not None)


def _ask_until_answered(
    fleet: Fleet, entry: str, method: str, path: str, body: dict[str, Any] | None
) -> dict[str, Any] | None:
    """Send a request up to ATTEMPTS times; return None if it is refused or never answered."""
    for _ in range(ATTEMPTS):
        answer = fleet.send_operator_request(entry, method, path, body)
        if answer is not None and answer.status < 500:
            return answer.value if answer.status == 200 else None
        time.sleep(RETRY_PAUSE_S)
    return None
