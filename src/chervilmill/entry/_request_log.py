"""Write the log lines about the ends of requests."""

from chervilmill.entry._decision_basis import DecisionBasis
from chervilmill.entry._progress import Progress, Refusal
from chervilmill.logs import log_failure, log_request
from chervilmill.overload import Candidate
from chervilmill.platform import RequestHeaders
from chervilmill.routing import Organisation


def log_refusal(
    request_headers: RequestHeaders,
    service: str,
    refusal: Refusal,
    basis: DecisionBasis,
    organisation: Organisation | None,
    tried: list[str],
    *,
    uptime_s: float,
    took_s: float,
) -> None:
    """Log why a request was refused."""
    log_failure(
        "request refused",
        step="answer",
        request=request_headers.request_id,
        service=service,
        reason=refusal.reason.value,
        detail=refusal.detail,
        **_organisation_field(organisation),
        uptime_s=round(uptime_s, 3),
        **basis.log_fields(),
        status=refusal.reason.status,
        retry_after_s=refusal.retry_after_s,
        tried=tried,
        took_s=round(took_s, 4),
    )


def log_end(progress: Progress, event: str, status: int, took_s: float) -> None:
    """Log how a request ended that was not refused."""
    fields = _placement_fields(progress.last_candidate) if progress.last_candidate else {}
    log_request(
        event,
        step="answer",
        request=progress.request_headers.request_id,
        service=progress.service,
        route=progress.route.name,
        **_organisation_field(progress.organisation),
        status=status,
        **progress.basis.log_fields(),
        tried=progress.tried,
        age_s=round(progress.age_s, 4),
        **fields,
        took_s=round(took_s, 4),
    )


def _organisation_field(organisation: Organisation | None) -> dict[str, object]:
    """Return the log field with the organisation, or none where it is not known."""
    return {} if organisation is None else {"organisation": organisation.name[:64]}


def _placement_fields(candidate: Candidate) -> dict[str, object]:
    """Return the log fields with the estimates by which a target was chosen."""
    return {
        "wait_s": round(candidate.wait_s, 4),
        "work_s": round(candidate.work_s, 4),
        "expected_s": round(candidate.expected_answer_s, 4),
        "unproven_rank": candidate.unproven_rank,
    }
