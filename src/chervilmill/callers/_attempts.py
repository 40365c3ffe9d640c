"""Choose a target for each attempt of a request."""

import time
from collections.abc import Mapping

from chervilmill.callers._answers import ForwardedAnswer
from chervilmill.callers._attempt import Attempt, AttemptFailure
from chervilmill.callers._attempt_run import AttemptRun
from chervilmill.callers._refusal import Refusal
from chervilmill.callers._request import CallerRequest
from chervilmill.callers._service_state import ServiceState
from chervilmill.callers._slots import NoFreeSlot, SlotRequest
from chervilmill.callers._steered_requests import SteeredRequests
from chervilmill.callers._upload_links import Links
from chervilmill.coordination import Vm
from chervilmill.metrics import Metrics
from chervilmill.reasons import Ran, RefusalReason
from chervilmill.requests import AllowedDomains, Failure, priority_of
from chervilmill.targets import Targets


class Attempts:
    """Takes a slot at a target for each attempt and sends the attempt there.

    With `steered`, requests are limited to the failure domains that steering allows, and each
    attempt is charged to the link to its target's region.
    """

    def __init__(
        self,
        services: Mapping[str, ServiceState],
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
        """Return the answer of a target once its first part has arrived.

        Raise AttemptFailure if there is no slot or the attempt fails.
        """
        state = self._services[attempt.req.service]
        target = self._take_slot(state, attempt)
        attempt.taken_targets.append(target.name)
        if self._steered is not None:
            self._steered.record_sent(attempt.req, target)
        return AttemptRun(
            self._targets, self._links, self._metrics, state, target, attempt
        ).answer()

    def _take_slot(self, state: ServiceState, attempt: Attempt) -> Vm:
        req, slots = attempt.req, state.slots
        remaining_s = req.deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise _not_run(Failure.REFUSED_BY_DEADLINE, RefusalReason.DEADLINE_EXCEEDED, "deadline")
        try:
            only_target = state.suspects.only_target(attempt.fingerprint, slots)
        except Refusal as refusal:
            raise AttemptFailure(Failure.QUARANTINED, refusal) from refusal
        domains = self._domains(req)
        excluded = () if only_target is not None else attempt.excluded
        slot_request = SlotRequest(
            priority_of(req.kind, remaining_s), req.deadline_s, excluded, only_target, domains
        )
        try:
            return slots.take(slot_request)
        except NoFreeSlot as exc:
            if exc.retry_after_s is None and not slots.domains():
                reason, detail = RefusalReason.NO_TARGET, f"service {req.service} has no target"
            else:
                reason, detail = RefusalReason.TARGETS_BUSY, "every target is busy"
            retry_after_ms = int(1000 * (exc.retry_after_s or 1.0))
            raise _not_run(Failure.NO_TARGET, reason, detail, retry_after_ms) from exc

    def _domains(self, req: CallerRequest) -> AllowedDomains | None:
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
