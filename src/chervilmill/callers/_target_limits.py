"""Keep the limits that the targets of one service name, and share them with other entry VMs."""

import math
from collections.abc import Collection, Iterable, Mapping
from typing import Protocol

import cbor2

from chervilmill.callers._broadcast import BroadcastChannel, ReceivedItem
from chervilmill.coordination import Vm
from chervilmill.logs import log_event, log_problem
from chervilmill.overload import (
    LIMIT_TTL_S,
    LimitReport,
    RatedTarget,
    TargetRates,
    is_limit,
    parse_limit,
    parse_pause,
)
from chervilmill.requests import Lifetime

LIMIT_TOPIC = "limit"
MAX_LOGGED_TEXT_CHARS = 40
CONFIRMATION_INTERVAL_S = LIMIT_TTL_S / 4  # in which others are told that a limit still holds


class ServiceLimits:
    """The limits of the targets of one service; hold the lock of its slots to use it.

    Targets of this interface have no lifetimes that can be told apart: a limit ends when an answer
    names none, or when the target is no longer listed.
    """

    def __init__(self, service: str, node: str, region: str) -> None:
        self._service = service
        self._rates = TargetRates(node, region)
        self._regions: dict[str, str] = {}
        self._reported_s: dict[str, float] = {}

    def set_fleet(self, targets: Iterable[Vm], entries: Iterable[Vm]) -> None:
        """Set the targets of the service and the entry VMs that share their limits."""
        regions = {vm.name: vm.region for vm in targets}
        for gone in self._regions.keys() - regions:
            self._rates.forget(gone)
            self._rates.limits.forget(gone)
            self._reported_s.pop(gone, None)
        self._regions = regions
        vms: dict[str, list[str]] = {}
        for vm in entries:
            vms.setdefault(vm.region, []).append(vm.name)
        self._rates.vms_by_region = vms

    def record_answer(self, target: str, text: str | None, now_s: float) -> LimitReport | None:
        """Record the limit in an answer, or that it names none; a malformed one is ignored.

        Return the report for the other entry VMs if the limit has changed, or if it still holds and
        they have not been told for a while.
        """
        stated = parse_limit(text) if text is not None else None
        if stated is not None and stated.per_s is None:
            log_problem(
                "limit refused",
                step="limit",
                peer=target,
                text=stated.text[:MAX_LOGGED_TEXT_CHARS],
            )
            return None
        per_s = stated.per_s if stated is not None else None
        if self._rates.limits.record(Lifetime(target), per_s, now_s):
            self._log_change(target, per_s, "answer")
        elif per_s is None or now_s - self._reported_s.get(target, now_s) < CONFIRMATION_INTERVAL_S:
            return None
        self._reported_s[target] = now_s
        return LimitReport(Lifetime(target), per_s, 0.0)

    def receive(self, report: LimitReport, now_s: float) -> None:
        """Apply the report of another entry VM."""
        target = report.lifetime.target
        self._reported_s[target] = now_s
        if self._rates.limits.receive(report, now_s):
            self._log_change(target, report.per_s, "peer")

    def record_pause(self, target: str, text: str, now_s: float) -> None:
        """Record the pause that a target asked for when it rejected a request."""
        stated = parse_pause(text)
        if stated.pause_s is None:
            shown = stated.text[:MAX_LOGGED_TEXT_CHARS]
            log_problem("pause refused", step="pause", peer=target, text=shown)
            return
        self._rates.pauses.record(Lifetime(target), stated.pause_s, now_s)
        log_event("target pause", step="pause", target=target, pause_s=stated.pause_s)

    def may_send(self, target: str, now_s: float) -> bool:
        """Return whether this node may send a request to a target now."""
        return self._room_in_s(target, now_s) <= 0

    def is_sender(self, target: str, now_s: float) -> bool:
        """Return whether this node may send requests to a target, now or after a while."""
        return math.isfinite(self._room_in_s(target, now_s))

    def count(self, target: str, now_s: float) -> None:
        """Record a request that is sent to a target."""
        if self._rates.limits.per_s(Lifetime(target), now_s) is not None:
            self._rates.count(Lifetime(target), now_s)

    def retry_after_s(self, targets: Collection[str], now_s: float) -> float | None:
        """Return when a caller may return for whom these targets have no room."""
        return self._rates.retry_after_s([self._rated(name) for name in targets], now_s)

    def _room_in_s(self, target: str, now_s: float) -> float:
        if self._rates.is_unlimited:
            return 0.0
        return self._rates.room_in_s(self._rated(target), now_s)

    def _rated(self, target: str) -> RatedTarget:
        return RatedTarget(Lifetime(target), self._regions.get(target, ""))

    def _log_change(self, target: str, per_s: float | None, source: str) -> None:
        log_event(
            "target limit",
            step="limit",
            service=self._service,
            target=target,
            per_s=per_s,
            source=source,
        )


class LimitReceiver(Protocol):
    """The state of a service, which takes the reports of other entry VMs."""

    def receive_limit(self, report: LimitReport) -> None:
        """Apply the report of another entry VM."""
        ...


def publish_limit(channel: BroadcastChannel, service: str, report: LimitReport) -> None:
    """Tell the other entry VMs of a changed limit."""
    key = f"{service}/{report.lifetime.target}"
    channel.publish(LIMIT_TOPIC, key, cbor2.dumps(report.per_s), LIMIT_TTL_S)


def receive_limits(channel: BroadcastChannel, services: Mapping[str, LimitReceiver]) -> None:
    """Pass limits that other entry VMs report to the service that each report concerns."""

    def receive(item: ReceivedItem) -> None:
        service, _, target = item.key.partition("/")
        state = services.get(service)
        if state is None:
            return
        try:
            report = _decode_report(target, item)
        except (cbor2.CBORDecodeError, ValueError) as exc:
            log_problem("news dropped", step="decode", peer=LIMIT_TOPIC, error=str(exc))
            return
        state.receive_limit(report)

    channel.on_broadcast(LIMIT_TOPIC, receive)


def _decode_report(target: str, item: ReceivedItem) -> LimitReport:
    """Return the report in an item; its age follows from the lifetime that the item has left."""
    per_s = cbor2.loads(item.value)
    if per_s is not None and not is_limit(per_s):
        raise ValueError(f"invalid limit {per_s!r}")
    age_s = max(0.0, LIMIT_TTL_S - item.lifetime_ms / 1000)
    return LimitReport(Lifetime(target), per_s, age_s)
