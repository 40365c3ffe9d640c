"""Answer where a request would go now, and why, without sending it.

The route, the home regions and the placement are decided by the code that decides on requests. Not
covered are allowances, quarantine, relays to peers and what the request itself carries, such as a
deadline that is shorter than the route's time-out. An organisation is named, so no key is needed.
"""

import copy
import json
import random
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

from chervilmill.aio import RequestHead, ServerConnection
from chervilmill.entry._site_state import SiteState
from chervilmill.errors import ChervilmillError
from chervilmill.overload import (
    AdmissionRequest,
    Admitted,
    AffinityWorkload,
    Candidate,
    PlacementPreview,
    PlacementQuery,
    Workload,
    preview_placement,
)
from chervilmill.reasons import RefusalReason
from chervilmill.routing import (
    Configuration,
    Organisation,
    Route,
    TrafficSplitter,
    combined_home_regions,
    find_route,
)

EXPLAIN_PATH = "/explain"
JSON_HEADERS = [(b"content-type", b"application/json")]
MAX_CANDIDATES = 32  # in an answer, the shortest expected times first
_REQUIRED = ("host", "path")
_OPTIONAL = ("affinity", "organisation")


class ExplainQueryError(ChervilmillError):
    """Raised for a query that cannot be explained."""

    def __init__(self, message: str) -> None:
        super().__init__(message, step="explain", peer="operator")


class Explainer:
    """Explains decisions of one entry VM.

    `splitter` divides the requests of routes among services, and `is_current` returns whether the
    copies of the store's objects may be acted on. Without `is_view_fresh`, no status is final.
    """

    def __init__(
        self,
        site_state: SiteState,
        splitter: TrafficSplitter,
        is_current: Callable[[float], bool],
        is_view_fresh: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self._site_state = site_state
        self._splitter = splitter
        self._is_current = is_current
        self._is_view_fresh = is_view_fresh
        self._clock = clock

    async def answer(self, conn: ServerConnection, head: RequestHead) -> None:
        """Answer a query, or say with 400 what is wrong with it."""
        raw_query = head.target.decode("latin-1").partition("?")[2]
        try:
            value = self.explain(_read_query(raw_query))
        except ExplainQueryError as exc:
            await conn.answer(400, list(JSON_HEADERS), json.dumps({"error": str(exc)}).encode())
            return
        await conn.answer(200, list(JSON_HEADERS), json.dumps(value).encode())

    def explain(self, query: dict[str, str]) -> dict[str, Any]:
        """Return the decision on a request as JSON values."""
        now_s = self._clock()
        cfg = self._site_state.view.configuration
        if cfg is None:
            return _refused(RefusalReason.CONFIGURATION_UNKNOWN, "no configuration")
        organisation = _find_organisation(cfg, query.get("organisation"))
        if not self._is_current(now_s):
            return _refused(RefusalReason.ENTRY_LATE, "copies are old")
        route = find_route(cfg.routes, query["host"], query["path"].partition("?")[0])
        if route is None:
            return self._refused_finally(RefusalReason.UNKNOWN_PATH, "no route for host and path")
        if cfg.organisations is not None and organisation is None and not route.is_public:
            detail = "the route needs an organisation"
            return self._refused_finally(RefusalReason.KEY_MISSING, detail, route)
        homes = combined_home_regions(route, organisation)
        if homes is None:
            detail = "route and organisation have no home region in common"
            return _refused(RefusalReason.NO_HOME_REGION, detail, route)
        service = copy.deepcopy(self._splitter).pick(route.name, route.split)
        placement = self._query(route, service, organisation, homes, query, now_s)
        view = self._site_state.view
        preview = preview_placement(self._site_state.fleet, placement, view, now_s)
        return _placed(route, placement, preview)

    def _refused_finally(
        self, reason: RefusalReason, detail: str, route: Route | None = None
    ) -> dict[str, Any]:
        if self._is_view_fresh():
            return _refused(reason, detail, route)
        return _refused(
            RefusalReason.CONFIGURATION_UNKNOWN, f"stale configuration: {detail}", route
        )

    def _query(
        self,
        route: Route,
        service: str,
        organisation: Organisation | None,
        homes: frozenset[str],
        query: dict[str, str],
        now_s: float,
    ) -> PlacementQuery:
        workload = Workload(service, route.name, route.objective_s)
        key = query.get("affinity", "") if route.has_affinity else ""
        own = organisation.priority if organisation is not None else None
        is_work_known = self._site_state.fleet.service_times.is_trusted(workload, now_s)
        admission = AdmissionRequest(
            objective_s=route.objective_s,
            age_s=0.0,
            time_left_s=route.timeout_s,
            priority=route.priority if own is None else own,
            is_work_known=is_work_known,
        )
        position = random.random()  # of a request without affinity; the VM's own source is left
        return PlacementQuery(
            service,
            AffinityWorkload(workload, key),
            admission,
            homes,
            position,
            organisation=organisation,
        )


def _read_query(raw: str) -> dict[str, str]:
    try:
        values = parse_qs(raw, keep_blank_values=True, strict_parsing=bool(raw), errors="strict")
    except ValueError as exc:
        raise ExplainQueryError(f"expected a query of name=value pairs: {exc}") from exc
    unknown = sorted(values.keys() - {*_REQUIRED, *_OPTIONAL})
    if unknown:
        raise ExplainQueryError(f"unknown parameter {unknown[0][:64]!a}")
    repeated = sorted(name for name, found in values.items() if len(found) > 1)
    if repeated:
        raise ExplainQueryError(f"expected one {repeated[0]}, found several")
    for name in _REQUIRED:
        if not values.get(name, [""])[0]:
            raise ExplainQueryError(f"expected the parameter {name}, found none")
    if not values["path"][0].startswith("/"):
        raise ExplainQueryError("expected a path that begins with /")
    return {name: found[0] for name, found in values.items()}


def _find_organisation(cfg: Configuration, name: str | None) -> Organisation | None:
    """Return the organisation of a name; an unknown name is not repeated, it may be a key."""
    if name is None:
        return None
    if cfg.organisations is None:
        raise ExplainQueryError("the configuration has no organisations")
    organisation = cfg.organisations.by_name.get(name)
    if organisation is None:
        raise ExplainQueryError("the configuration has no organisation of this name")
    return organisation


def _refused(reason: RefusalReason, detail: str, route: Route | None = None) -> dict[str, Any]:
    decision = {"refused": reason.value, "status": reason.status, "detail": detail}
    return {"route": route.name if route else None, "decision": decision}


def _placed(route: Route, query: PlacementQuery, preview: PlacementPreview) -> dict[str, Any]:
    decision = preview.decision
    value: dict[str, Any] = {
        "route": route.name,
        "service": query.service,
        "affinity": query.affinity_workload.key,
        "objective_s": route.objective_s,
        "home_regions": sorted(query.home_regions),
        "region_shares": {name: round(one, 4) for name, one in preview.region_shares.items()},
        "candidates": [_candidate(one) for one in preview.candidates[:MAX_CANDIDATES]],
        "candidates_evaluated": len(preview.candidates),
    }
    if isinstance(decision, Admitted):
        value["decision"] = {"target": decision.candidate.record.target.name}
        return value
    reason = RefusalReason.TARGETS_BUSY
    if decision.is_above_fair_share:
        reason = RefusalReason.FAIR_SHARE_USED
    value["decision"] = {
        "refused": reason.value,
        "status": reason.status,
        "expected_s": decision.expected_s,
        "is_rate_limited": decision.is_rate_limited,
        "retry_after_s": round(decision.retry_after_s, 4),
    }
    return value


def _candidate(candidate: Candidate) -> dict[str, Any]:
    target = candidate.record.target
    return {
        "target": target.name,
        "failure_domain": target.failure_domain,
        "wait_s": round(candidate.wait_s, 4),
        "work_s": round(candidate.work_s, 4),
        "expected_s": round(candidate.expected_answer_s, 4),
        "rank": candidate.unproven_rank,
        "is_known_to_hold": candidate.unproven_rank is None,
    }
