"""Find a place at a target for each attempt of a request."""

import time
from collections.abc import Mapping

from chervilmill.callers._answers import ForwardedAnswer
from chervilmill.callers._attempt import Attempt, AttemptFailure
from chervilmill.callers._attempt_run import AttemptRun
from chervilmill.callers._links import Links
from chervilmill.callers._places import NoPlace, Wanted
from chervilmill.callers._refusal import Refusal
from chervilmill.callers._request import CallerRequest
from chervilmill.callers._services import ServiceParts
from chervilmill.callers._steered import SteeredRequests
from chervilmill.coordination import Vm
from chervilmill.metrics import Metrics
from chervilmill.reasons import Ran, RefusalReason
from chervilmill.requests import Domains, Failure, priority_of
from chervilmill.targets import Targets


class Attempts:
    """Choose a target, send it one attempt and judge what comes back."""

    def __init__(
        self,
        services: Mapping[str, ServiceParts],
        targets: Targets,
        links: Links,
        metrics: Metrics,
        steered: SteeredRequests | None = None,
    ) -> None:
        self._services = services
        self._targets = targets
        self._links = links
        self._metrics = metrics
        self._steered = steered

    def send(self, attempt: Attempt) -> ForwardedAnswer:
        """Return the answer of a target once its first part is there, or raise AttemptFailure."""
        parts = self._services[attempt.req.service]
        target = self._take(parts, attempt)
        attempt.taken.append(target.name)
        return AttemptRun(
            self._targets, self._links, self._metrics, parts, target, attempt
        ).answer()

    def _take(self, parts: ServiceParts, attempt: Attempt) -> Vm:
        req, places = attempt.req, parts.places
        left_s = req.deadline_s - time.monotonic()
        if left_s <= 0:
            raise _not_run(Failure.REFUSED_BY_DEADLINE, RefusalReason.DEADLINE_EXCEEDED, "deadline")
        try:
            only = parts.suspects.only_target(attempt.fingerprint, places)
        except Refusal as refusal:
            raise AttemptFailure(Failure.QUARANTINED, refusal) from refusal
        domains = self._domains(req)
        excluded = () if only is not None else attempt.excluded
        wanted = Wanted(priority_of(req.kind, left_s), req.deadline_s, excluded, only, domains)
        try:
            return places.take(wanted)
        except NoPlace as exc:
            if exc.retry_after_s is None and not places.domains():
                reason, detail = RefusalReason.NO_TARGET, f"service {req.service} has no target"
            else:
                reason, detail = RefusalReason.TARGETS_BUSY, "every target is busy"
            retry_after_ms = int(1000 * (exc.retry_after_s or 1.0))
            raise _not_run(Failure.NO_TARGET, reason, detail, retry_after_ms) from exc

    def _domains(self, req: CallerRequest) -> Domains | None:
        if self._steered is None:
            return None
        try:
            return self._steered.domains(req)
        except Refusal as refusal:
            raise AttemptFailure(Failure.NO_TARGET, refusal) from refusal


def _not_run(
    failure: Failure, reason: RefusalReason, detail: str, retry_after_ms: int | None = None
) -> AttemptFailure:
    return AttemptFailure(failure, Refusal(reason, Ran.NOT_RUN, detail, retry_after_ms))
