"""Share reports of requests that crash targets with the other entry VMs."""

from collections.abc import Mapping

import cbor2

from chervilmill.callers._broadcast import BroadcastChannel, ReceivedItem
from chervilmill.callers._service_state import ServiceState
from chervilmill.logs import log_problem
from chervilmill.requests import QUARANTINE_TTL_S, CrashReport, Lifetime, ReportedLoss

CRASH_TOPIC = "crash"
FINGERPRINT_BYTES = 16


def publish_crash(channel: BroadcastChannel, service: str, report: CrashReport) -> None:
    """Log a suspected or quarantined request and publish its losses to the other entry VMs.

    Each loss is an item of its own, so that no report replaces what another entry VM published.
    """
    log_problem(
        "request suspected",
        step="crash",
        service=service,
        fingerprint=report.fingerprint.hex(),
        losses=len(report.losses),
        crashes=sum(loss.is_crash for loss in report.losses),
        limited_to=report.limited_to,
    )
    for loss in report.losses:
        lifetime = loss.lifetime
        name = f"{service}/{report.fingerprint.hex()}/{lifetime.target}/{lifetime.incarnation}"
        callers = sorted(loss.callers)
        value = cbor2.dumps((loss.age_s, loss.is_crash, loss.was_alone, report.limited_to, callers))
        channel.publish(CRASH_TOPIC, name, value, QUARANTINE_TTL_S)


def receive_crashes(channel: BroadcastChannel, services: Mapping[str, ServiceState]) -> None:
    """Pass crash reports of other entry VMs to the service that each report concerns."""

    def receive(item: ReceivedItem) -> None:
        service, _, name = item.key.partition("/")
        state = services.get(service)
        if state is None:
            return
        try:
            report = _decode_report(name, item.value)
        except (cbor2.CBORDecodeError, ArithmeticError, ValueError, TypeError) as exc:
            log_problem("news dropped", step="decode", peer=CRASH_TOPIC, error=str(exc))
            return
        state.suspects.receive_report(report, state.slots)

    channel.on_broadcast(CRASH_TOPIC, receive)


def _decode_report(name: str, value: bytes) -> CrashReport:
    """Return the decoded report, or raise one of the errors that a malformed value causes."""
    fingerprint_hex, target, incarnation = name.split("/")
    age_s, is_crash, was_alone, limited_to, callers = cbor2.loads(value)[:5]
    fingerprint = bytes.fromhex(fingerprint_hex)
    if len(fingerprint) != FINGERPRINT_BYTES or not isinstance(limited_to, str):
        raise ValueError(f"invalid fingerprint {fingerprint_hex!r} or target {limited_to!r}")
    if not float(age_s) >= 0:
        raise ValueError(f"invalid age {age_s!r}")
    if not all(isinstance(tag, bytes) for tag in callers):
        raise ValueError(f"invalid callers {callers!r}")
    lifetime = Lifetime(target, int(incarnation))
    loss = ReportedLoss(lifetime, float(age_s), bool(is_crash), bool(was_alone), frozenset(callers))
    return CrashReport(fingerprint, (loss,), limited_to)
