"""Checks of what the operator's configuration promises about routes and homes."""

import math
from collections.abc import Iterator
from dataclasses import dataclass

from soak.records import NOT_RUN_STATUSES, Attempt, Breach, History, TargetRun
from soak.site import REGION_BY_DOMAIN
from soak.touch import stretch_s, was_in_touch, was_undisturbed

PROPAGATION_BOUND_S = 2.5  # config-propagation-s of the site
ROLLBACK_SLACK_S = 0.25  # rollback-slack-s of the site
DISTURBED_SLACK_FACTOR = 8.0  # for a VM that was slowed down
DENIED_ALLOWED = 5
DENIED_ALLOWED_SHARE = 1 / 500
DENIED_OUT_OF_TOUCH_ALLOWED = 10


@dataclass(frozen=True, slots=True)
class _Handled:
    """How a VM handled a request: it was run, or refused as one without a route."""

    attempt: Attempt
    at_s: float
    run: TargetRun | None

    def is_allowed(self, history: History, version: int) -> bool:
        """Return whether a version of the routes allows this."""
        routing, path = history.configurations[version].routing, self.attempt.path
        if self.run is None:
            return not routing.has_route(path)
        region = REGION_BY_DOMAIN.get(self.run.failure_domain, "")
        return routing.allows_run(path, self.run.service) and routing.is_home(path, region)

    def __str__(self) -> str:
        where = self.run.target if self.run else "404"
        return f"{self.attempt.request_id} {self.attempt.path} at {where}, {self.attempt.vm}"


def _handled(history: History) -> Iterator[_Handled]:
    for run in history.runs:
        attempt = history.attempts.get(run.request_id)
        if attempt is not None:
            yield _Handled(attempt, run.at_s, run)
    for attempt in history.attempts.values():
        if attempt.status == 404 and attempt.ended_s is not None:
            yield _Handled(attempt, attempt.ended_s, None)


def configuration_is_in_force(history: History) -> Iterator[Breach]:
    """Yield a breach for each request handled as only an outdated configuration allows."""
    for handled in _outdated(history):
        if not _is_of_right_service(history, handled):
            yield Breach("configuration_is_in_force", str(handled))


def runs_at_home(history: History) -> Iterator[Breach]:
    """Yield a breach for each run outside the home region of its route."""
    for handled in _outdated(history):
        if _is_of_right_service(history, handled):
            yield Breach("runs_at_home", str(handled))


def _outdated(history: History) -> Iterator[_Handled]:
    """Yield what no version allows that may be in force.

    VMs out of touch may have any version, unless the store does no more than refuse reads.
    """
    for handled in _handled(history):
        versions = _possible_versions(history, handled)
        if not versions or any(handled.is_allowed(history, version) for version in versions):
            continue
        if stretch_s(history, handled.attempt, handled.at_s) < math.inf:
            yield handled


def _is_of_right_service(history: History, handled: _Handled) -> bool:
    run, path = handled.run, handled.attempt.path
    return run is not None and any(
        history.configurations[version].routing.allows_run(path, run.service)
        for version in _possible_versions(history, handled)
    )


def _possible_versions(history: History, handled: _Handled) -> list[int]:
    """Return the versions that may be in force for a request."""
    writes = history.configurations
    sent_s = handled.attempt.sent_s
    bound_s = PROPAGATION_BOUND_S + stretch_s(history, handled.attempt, handled.at_s)
    return [
        version
        for version, write in enumerate(writes)
        if write.at_s <= handled.at_s
        and (version + 1 == len(writes) or sent_s <= writes[version + 1].at_s + bound_s)
    ]


def configuration_never_goes_back(history: History) -> Iterator[Breach]:
    """Yield a breach for each request handled by an older version than one before it.

    That holds in one lifetime of a VM, in touch or not, for requests sent after a target saw the
    effect of the later version.
    """
    starts: dict[str, list[float]] = {}
    for vm, at_s in history.vm_lifetimes:
        starts.setdefault(vm, []).append(at_s)
    seen: dict[tuple[str, int], list[tuple[float, int]]] = {}
    for handled in sorted(_handled(history), key=lambda one: one.at_s):
        attempt = handled.attempt
        lifetime = sum(at_s <= attempt.sent_s for at_s in starts.get(attempt.vm, []))
        if lifetime != sum(at_s <= handled.at_s for at_s in starts.get(attempt.vm, [])):
            continue
        allowing = [
            version
            for version, write in enumerate(history.configurations)
            if write.at_s <= handled.at_s and handled.is_allowed(history, version)
        ]
        if not allowing:
            continue
        before = seen.setdefault((attempt.vm, lifetime), [])
        calm = was_undisturbed(history, attempt, handled.at_s)
        slack_s = ROLLBACK_SLACK_S * (1.0 if calm else DISTURBED_SLACK_FACTOR)
        highest = max(
            (version for at_s, version in before if at_s + slack_s < attempt.sent_s), default=-1
        )
        if max(allowing) < highest:
            detail = f"{handled}: version {max(allowing)} after {highest}"
            yield Breach("configuration_never_goes_back", detail)
        if handled.run is not None:
            before.append((handled.at_s, min(allowing)))


def proper_requests_are_not_denied(history: History) -> Iterator[Breach]:
    """Yield a breach if too many requests that every configuration allows got a 3xx or 4xx."""
    denied: list[str] = []
    out_of_touch: list[str] = []
    routings = [write.routing for write in history.configurations]
    for attempt in history.attempts.values():
        status = attempt.status
        if status is None or not 300 <= status < 500 or status in NOT_RUN_STATUSES:
            continue
        handled = _Handled(attempt, attempt.ended_s or attempt.sent_s, None)
        possible = _possible_versions(history, handled)
        if not all(routings[version].has_route(attempt.path) for version in possible):
            continue
        if was_in_touch(history, attempt, handled.at_s):
            denied.append(attempt.request_id)
        elif status in (401, 403, 404) and all(one.has_route(attempt.path) for one in routings):
            out_of_touch.append(attempt.request_id)
    allowed = DENIED_ALLOWED + DENIED_ALLOWED_SHARE * len(history.attempts)
    if len(denied) > allowed:
        yield Breach("proper_requests_are_not_denied", f"{len(denied)}, first {denied[0]}")
    if len(out_of_touch) > DENIED_OUT_OF_TOUCH_ALLOWED:
        yield Breach("proper_requests_are_not_denied", f"{len(out_of_touch)} out of touch")
