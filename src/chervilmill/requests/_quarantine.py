"""Keep a request that crashes its targets from crashing further ones.

Each run that ends without an answer counts against its request, also before the target is known to
have crashed: a crash may show only seconds later, when the entry of the target expires. After a
crash, or after two losses, the request is a suspect. It may run at one target only, if possible in
another failure domain and shared with no other suspect. A further crash there tells the request
that causes the crashes from requests that merely ran at the same time. After two crashes, or three
losses, the request is quarantined: for long if they are conclusive, otherwise for some seconds,
after which it is a suspect again. An answer clears it. Losses without a crash are soon forgotten.
"""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from chervilmill.requests._crash_signs import CrashSigns
from chervilmill.requests._losses import (
    UNCONFIRMED_TTL_S,
    Judgement,
    Lifetime,
    Loss,
    LossRecord,
    Standing,
)
from chervilmill.requests._suspect_targets import choose_suspect_target
from chervilmill.requests._verdicts import (
    CrashReport,
    LimitedToTarget,
    Quarantined,
    ReportedLoss,
    Unrestricted,
    Verdict,
)

MAX_RECORDS = 10_000
EVICTED_SHARE = 0.1  # of the records, so that not every new record searches all of them


@dataclass(frozen=True, slots=True)
class _Unconfirmed:
    """A loss that a crash of its target would confirm."""

    fingerprint: bytes
    target: str
    known_s: float


class Quarantine:
    """The losses known to one entry VM, with the requests that run at targets.

    All times are in seconds of the same clock.
    """

    __slots__ = ("_domains", "_limited", "_records", "_running", "_signs", "_unconfirmed")

    def __init__(self) -> None:
        self._records: dict[bytes, LossRecord] = {}
        self._running: dict[str, list[bytes]] = {}
        self._limited: dict[bytes, Standing] = {}
        self._unconfirmed: deque[_Unconfirmed] = deque()
        self._signs = CrashSigns()
        self._domains: Mapping[str, str] = {}

    @property
    def limited(self) -> Mapping[bytes, Standing]:
        """Return the suspected and quarantined requests, as of their last judgements."""
        return self._limited

    def set_targets(self, domains: Mapping[str, str]) -> None:
        """Set the targets and their failure domains."""
        self._domains = domains

    def verdict(
        self, fingerprint: bytes, now_s: float, is_usable: Callable[[str], bool]
    ) -> Verdict:
        """Return where a request may run, among the targets that it can use.

        A suspect whose target is not usable is moved to another target.
        """
        record = self._live_record(fingerprint, now_s)
        if record is None:
            return Unrestricted()
        judgement = self._judge(record, now_s)
        if judgement.standing is Standing.CLEAR:
            return Unrestricted()
        if judgement.standing is Standing.QUARANTINED:
            return Quarantined(judgement.until_s - now_s)
        if record.limited_to not in self._domains or not is_usable(record.limited_to):
            record.limited_to = self._pick_target(fingerprint, record, now_s, is_usable)
        return LimitedToTarget(record.limited_to)

    def judgement(self, fingerprint: bytes, now_s: float) -> Judgement:
        """Return the standing of a request; call it after each change of its losses."""
        record = self._live_record(fingerprint, now_s)
        judgement = self._judge(record, now_s) if record is not None else Judgement(Standing.CLEAR)
        if judgement.standing is Standing.CLEAR:
            self._limited.pop(fingerprint, None)
        else:
            self._limited[fingerprint] = judgement.standing
        return judgement

    def record_start(self, fingerprint: bytes, target: str) -> None:
        """Record that a request starts to run at a target."""
        self._running.setdefault(target, []).append(fingerprint)

    def record_end(
        self, fingerprint: bytes, target: str, *, is_answered: bool, now_s: float
    ) -> None:
        """Record that a request no longer runs at a target.

        An answer clears the request, since a request that crashes its targets gets none.
        """
        running = self._running.get(target, [])
        if fingerprint in running:
            running.remove(fingerprint)
        record = self._live_record(fingerprint, now_s)
        if is_answered and record is not None and record.losses:
            record.clear(now_s)
            self._limited.pop(fingerprint, None)

    def record_loss(
        self, fingerprint: bytes, lifetime: Lifetime, sent_s: float, now_s: float
    ) -> bool:
        """Record that a run has no answer, and return whether this was not known yet.

        `sent_s` is when the request was sent to the target. The same run may be recorded again.
        """
        return self._add_loss(fingerprint, lifetime, sent_s, Loss(now_s))

    def record_crash(self, target: str, interrupted: bytes | None, now_s: float) -> list[bytes]:
        """Record that a target is down; return the fingerprints of the requests that it lost.

        These are the requests lost at this target, the interrupted one if there is one, and at the
        first sign of the crash also those that were running there.
        """
        is_new = self._signs.record(target, self._domains.get(target, ""), now_s)
        involved = {interrupted} if interrupted is not None else set()
        if is_new:
            involved.update(self._running.get(target, []))
        changed = {
            fingerprint
            for fingerprint in involved
            if self._add_loss(fingerprint, Lifetime(target), now_s, Loss(now_s, is_crash=True))
        }
        lost = {loss.fingerprint for loss in self._unconfirmed if loss.target == target}
        is_alone = len(lost | involved) <= 1
        for fingerprint in lost:
            record = self._live_record(fingerprint, now_s)
            if record is not None and record.confirm(target, is_alone=is_alone):
                changed.add(fingerprint)
        return sorted(changed)

    def report(self, fingerprint: bytes, now_s: float) -> CrashReport | None:
        """Return the report on a request for other entry VMs, or None if nothing is known of it."""
        record = self._live_record(fingerprint, now_s)
        if record is None or not record.losses:
            return None
        losses = tuple(
            ReportedLoss(lifetime, now_s - loss.at_s, loss.is_crash, loss.is_crash_alone)
            for lifetime, loss in record.losses.items()
        )
        return CrashReport(fingerprint, losses, record.limited_to)

    def receive_report(self, report: CrashReport, now_s: float) -> bool:
        """Merge the report of another entry VM and return whether it changed anything."""
        record = self._obtain_record(report.fingerprint, now_s)
        is_changed = False
        for reported in report.losses:
            at_s = now_s - max(0.0, reported.age_s)
            loss = Loss(at_s, reported.is_crash, reported.was_alone)
            is_changed |= self._add(report.fingerprint, record, reported.lifetime, loss, now_s)
        record.limited_to = record.limited_to or report.limited_to
        return is_changed

    def _add_loss(self, fingerprint: bytes, lifetime: Lifetime, sent_s: float, loss: Loss) -> bool:
        record = self._obtain_record(fingerprint, loss.at_s)
        was_alone = record.limited_to == lifetime.target
        reached = record.lifetime_at(lifetime, sent_s)
        loss = replace(loss, was_alone=was_alone)
        return self._add(fingerprint, record, reached, loss, loss.at_s)

    def _add(
        self, fingerprint: bytes, record: LossRecord, lifetime: Lifetime, loss: Loss, now_s: float
    ) -> bool:
        is_changed = record.add(lifetime, loss)
        if is_changed and not loss.is_crash:
            self._drop_old_unconfirmed(now_s)
            self._unconfirmed.append(_Unconfirmed(fingerprint, lifetime.target, now_s))
        return is_changed

    def _drop_old_unconfirmed(self, now_s: float) -> None:
        """Drop the losses that no crash can confirm any more, and their records if empty."""
        while self._unconfirmed and now_s - self._unconfirmed[0].known_s >= UNCONFIRMED_TTL_S:
            self._live_record(self._unconfirmed.popleft().fingerprint, now_s)

    def _judge(self, record: LossRecord, now_s: float) -> Judgement:
        used = {lifetime.target for lifetime in record.losses}
        return record.judge(
            now_s,
            lambda target: self._signs.lost_domain(target, self._domains),
            lambda target: self._signs.is_outage(target, used),
        )

    def _live_record(self, fingerprint: bytes, now_s: float) -> LossRecord | None:
        record = self._records.get(fingerprint)
        if record is None:
            return None
        record.prune(now_s)
        if record.is_expired(now_s):
            del self._records[fingerprint]
            return None
        return record

    def _obtain_record(self, fingerprint: bytes, now_s: float) -> LossRecord:
        record = self._live_record(fingerprint, now_s)
        if record is None:
            self._evict_if_full(now_s)
            record = self._records[fingerprint] = LossRecord()
        return record

    def _pick_target(
        self,
        fingerprint: bytes,
        record: LossRecord,
        now_s: float,
        is_usable: Callable[[str], bool],
    ) -> str:
        assigned = {other.limited_to for other in self._records.values() if other is not record}
        crashed = {lifetime.target for lifetime in record.losses} | self._signs.recent(now_s)
        lost_domains = {self._domains.get(lifetime.target) for lifetime in record.losses}
        usable = [name for name in self._domains if is_usable(name)]
        return choose_suspect_target(
            fingerprint, usable, crashed, assigned, lost_domains, self._domains
        )

    def _evict_if_full(self, now_s: float) -> None:
        if len(self._records) < MAX_RECORDS:
            return
        for fingerprint in list(self._records):
            self._live_record(fingerprint, now_s)
        excess = len(self._records) - int(MAX_RECORDS * (1 - EVICTED_SHARE))
        for fingerprint in sorted(
            self._records, key=lambda fingerprint: self._eviction_rank(fingerprint, now_s)
        )[: max(0, excess)]:
            del self._records[fingerprint]
            self._limited.pop(fingerprint, None)

    def _eviction_rank(self, fingerprint: bytes, now_s: float) -> tuple[Standing, float]:
        record = self._records[fingerprint]
        newest_s = max((loss.at_s for loss in record.losses.values()), default=record.cleared_s)
        return (self._judge(record, now_s).standing, newest_s)
