"""Share reports of requests that crash targets with the other entry VMs."""

from collections.abc import Callable, Mapping
from typing import Protocol

import cbor2

from chervilmill.callers._service_state import ServiceState
from chervilmill.logs import log_problem
from chervilmill.requests import CrashReport

CRASH_TOPIC = "crash"
FINGERPRINT_BYTES = 16
MAX_CRASHES = 2


class ReceivedItem(Protocol):
    """A broadcast item from another entry VM."""

    @property
    def key(self) -> str:
        """Return the key of the item."""
        ...

    @property
    def value(self) -> bytes:
        """Return the encoded value of the item."""
        ...


class BroadcastChannel(Protocol):
    """A channel that distributes broadcast items among entry VMs."""

    def publish(self, topic: str, key: str, value: bytes, lifetime_s: float) -> None:
        """Send an item to every node."""
        ...

    def on_broadcast(self, topic: str, listener: Callable[[ReceivedItem], None]) -> None:
        """Call a listener with every new item of a topic."""
        ...


def publish_crash(channel: BroadcastChannel, service: str, report: CrashReport) -> None:
    """Log a suspected or quarantined request and publish it to the other entry VMs."""
    log_problem(
        "request crashed a target",
        service=service,
        fingerprint=report.fingerprint.hex(),
        crashes=report.crashes,
        limited_to=report.limited_to,
    )
    key = f"{service}/{report.fingerprint.hex()}"
    value = cbor2.dumps((report.crashes, report.limited_to, report.expires_in_s))
    channel.publish(CRASH_TOPIC, key, value, report.expires_in_s)


def receive_crashes(channel: BroadcastChannel, services: Mapping[str, ServiceState]) -> None:
    """Pass crash reports of other entry VMs to the service that each report concerns."""

    def receive(item: ReceivedItem) -> None:
        service, _, fingerprint = item.key.partition("/")
        state = services.get(service)
        if state is None:
            return
        try:
            report = _decode_report(fingerprint, item.value)
        except (cbor2.CBORDecodeError, ValueError, TypeError) as exc:
            log_problem("news dropped", step="decode", peer=CRASH_TOPIC, error=str(exc))
            return
        state.suspects.receive_report(report, state.slots)

    channel.on_broadcast(CRASH_TOPIC, receive)


def _decode_report(fingerprint: str, value: bytes) -> CrashReport:
    """Return the decoded report, or raise CBORDecodeError, ValueError or TypeError."""
    crashes, limited_to, expires_in_s = cbor2.loads(value)
    fingerprint_bytes = bytes.fromhex(fingerprint)
    if len(fingerprint_bytes) != FINGERPRINT_BYTES or crashes not in range(1, MAX_CRASHES + 1):
        raise ValueError(f"invalid fingerprint {fingerprint!r} or crash count {crashes!r}")
    if not isinstance(limited_to, str) or not float(expires_in_s) >= 0:
        raise ValueError(f"invalid target {limited_to!r} or duration {expires_in_s!r}")
    return CrashReport(fingerprint_bytes, crashes, limited_to, float(expires_in_s))
