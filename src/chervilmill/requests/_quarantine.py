"""Keep a request that crashes its targets from crashing further ones.

Each run that ends without an answer counts against its request, also before the target is known to
have crashed: a crash may show only seconds later, when the entry of the target expires. After a
crash, or after two losses, the request is a suspect. It may run at one target only, if possible in
another failure domain and shared with no other suspect. A further crash there tells the request
that causes the crashes from requests that merely ran at the same time. After two crashes, or three
losses, the request is quarantined: for long if they are conclusive, otherwise for some seconds,
after which it is a suspect again. An answer clears it. Losses without a crash are soon forgotten.

The same is decided of the content that a request shares with those of other callers, once at least
two of these callers lost runs of it. Whichever allows less binds. An answer to any caller clears
the content, but not what another caller's request did.

A quarantined request that has had no answer explains the losses of others at the targets that it
crashed, if they have had answers or lost fewer targets: they merely ran beside it.
"""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from chervilmill.requests._crash_signs import CrashSigns
from chervilmill.requests._explanations import explained_losses, is_ambiguous
from chervilmill.requests._fingerprint import caller_tag, content_of, is_content, levels_of
from chervilmill.requests._loss_index import LossIndex
from chervilmill.requests._losses import (
    CONTENT_CALLERS,
    CRASH_TTL_S,
    QUARANTINE_CRASHES,
    REPORT_DELAY_S,
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
ANSWER_AGE_ERROR_S = 0.1  # of a reported age, by which a repeated answer may seem later
EVICTED_SHARE = 0.1  # of the records, so that not every new record searches all of them


@dataclass(frozen=True, slots=True)
class _Unconfirmed:
    """A loss that a crash of its target would confirm."""

    fingerprint: bytes
    target: str
    known_s: float


class Quarantine:
    """The losses known to one entry VM, with the requests that run at targets.

    All times are in seconds of the same clock. `release_delay_s` differs between entry VMs: a
    request whose quarantine ends is then tried by one of them first, and the others learn from it.
    """

    __slots__ = (
        "_culprits",
        "_domains",
        "_index",
        "_limited",
        "_records",
        "_release_delay_s",
        "_running",
        "_signs",
        "_unconfirmed",
    )

    def __init__(self, release_delay_s: float = 0.0) -> None:
        self._release_delay_s = release_delay_s
        self._records: dict[bytes, LossRecord] = {}
        self._index = LossIndex()
        self._running: dict[str, list[bytes]] = {}
        self._culprits: set[bytes] = set()
        self._limited: dict[bytes, Standing] = {}
        self._unconfirmed: deque[_Unconfirmed] = deque()
        self._signs = CrashSigns()
        self._domains: Mapping[str, str] = {}

    @property
    def limited(self) -> Mapping[bytes, Standing]:
        """Return the suspected and quarantined requests and contents, as last judged."""
        return self._limited

    def set_targets(self, domains: Mapping[str, str]) -> None:
        """Set the targets and their failure domains."""
        self._domains = domains
        self._signs.set_targets(domains)

    def verdict(
        self, fingerprint: bytes, now_s: float, is_usable: Callable[[str], bool]
    ) -> Verdict:
        """Return where a request may run, among the targets that it can use.

        A suspect whose target is not usable is moved to another target. All callers of a suspected
        content are limited to one target.
        """
        limited: list[tuple[bytes, LossRecord]] = []
        expires_in_s = 0.0
        for key in levels_of(fingerprint):
            record = self._live_record(key, now_s)
            if record is None:
                continue
            judgement = self._judge(key, record, now_s)
            if judgement.standing is Standing.QUARANTINED:
                expires_in_s = max(expires_in_s, judgement.until_s - now_s)
            elif judgement.standing is Standing.SUSPECTED:
                limited.append((key, record))
        if expires_in_s > 0:
            return Quarantined(expires_in_s)
        if not limited:
            return Unrestricted()
        key, record = limited[0]
        if record.limited_to not in self._domains or not is_usable(record.limited_to):
            record.limited_to = self._pick_target(key, record, now_s, is_usable)
        return LimitedToTarget(record.limited_to)

    def has_losses(self, fingerprint: bytes) -> bool:
        """Return whether runs of a request or of its content have been lost."""
        return any(key in self._records for key in levels_of(fingerprint))

    def has_crash(self, fingerprint: bytes) -> bool:
        """Return whether a target is known to have crashed with a run of a request or content."""
        record = self._records.get(fingerprint)
        return record is not None and bool(record.crashed)

    def judgement(self, fingerprint: bytes, now_s: float) -> Judgement:
        """Return the standing of a request or content; call it after each change of its losses."""
        record = self._live_record(fingerprint, now_s)
        judgement = (
            self._judge(fingerprint, record, now_s)
            if record is not None
            else Judgement(Standing.CLEAR)
        )
        is_quarantined = judgement.standing is Standing.QUARANTINED
        if is_quarantined and judgement.crashes >= QUARANTINE_CRASHES:
            self._culprits.add(fingerprint)
        else:
            self._culprits.discard(fingerprint)
        if judgement.standing is Standing.CLEAR:
            self._limited.pop(fingerprint, None)
        else:
            self._limited[fingerprint] = judgement.standing
        return judgement

    def record_start(self, fingerprint: bytes, target: str) -> None:
        """Record that a request starts to run at a target."""
        self._running.setdefault(target, []).append(fingerprint)

    def record_trial(self, fingerprint: bytes, lifetime: Lifetime, sent_s: float) -> list[bytes]:
        """Record that a request is sent to a target; call it as soon as it is sent.

        The first run after a quarantine counts as lost until it is answered. Without that, other
        runs would follow in the time until a silent target shows that it crashed again. Return
        what has changed.
        """
        is_released = any(
            record.is_released(sent_s)
            for key in levels_of(fingerprint)
            if (record := self._records.get(key)) is not None
        )
        return self.record_loss(fingerprint, lifetime, sent_s, sent_s) if is_released else []

    def withdraw_loss(self, fingerprint: bytes, target: str, sent_s: float) -> None:
        """Forget that a run sent to a target was lost, as the target did not start it."""
        for key in levels_of(fingerprint):
            if key in self._records:
                self._records[key].withdraw(target, sent_s)

    def record_end(
        self,
        fingerprint: bytes,
        target: str,
        *,
        is_answered: bool,
        now_s: float,
        sent_s: float | None = None,
    ) -> list[bytes]:
        """Record that a request no longer runs at a target.

        An answer clears the request and its content of the losses up to `sent_s`, when the run was
        sent, or up to now. Return which of the two were limited and have been cleared.
        """
        running = self._running.get(target, [])
        if fingerprint in running:
            running.remove(fingerprint)
        if not is_answered:
            return []
        cleared = []
        for key in levels_of(fingerprint):
            record = self._live_record(key, now_s)
            if record is None or not record.losses:
                continue
            answered_s = now_s if sent_s is None else sent_s
            record.withdraw(target, answered_s)
            record.clear(answered_s)
            was_limited = key in self._limited
            if was_limited and self.judgement(key, now_s).standing is Standing.CLEAR:
                cleared.append(key)
        return cleared

    def record_loss(
        self, fingerprint: bytes, lifetime: Lifetime, sent_s: float, now_s: float
    ) -> list[bytes]:
        """Record that a run has no answer.

        `sent_s` is when the request was sent to the target. The same run may be recorded again.
        Return which of the request and its content this was not known of.
        """
        return self._add_loss(fingerprint, lifetime, sent_s, Loss(now_s))

    def record_crash(self, target: str, interrupted: bytes | None, now_s: float) -> list[bytes]:
        """Record that a target is down; return the fingerprints whose losses changed.

        These are of the requests lost at this target, the interrupted one if there is one, at the
        first sign of the crash also those that were running there, and of their contents. Those
        with the most crashes come first, as they may explain the losses of the others.
        """
        is_new = self._signs.record(target, self._domains.get(target, ""), now_s)
        involved = {interrupted} if interrupted is not None else set()
        if is_new:
            involved.update(self._running.get(target, []))
        changed = {
            key
            for fingerprint in involved
            for key in self._add_loss(
                fingerprint, Lifetime(target), now_s, Loss(now_s, is_crash=True)
            )
        }
        lost = {loss.fingerprint for loss in self._unconfirmed if loss.target == target}
        is_alone = len({content_of(fingerprint) for fingerprint in lost | involved}) <= 1
        for fingerprint in lost:
            record = self._live_record(fingerprint, now_s)
            if record is not None and record.confirm(target, is_alone=is_alone):
                changed.add(fingerprint)
        return sorted(changed, key=lambda key: (-len(self._records[key].crashed), key))

    def report(self, fingerprint: bytes, now_s: float) -> CrashReport | None:
        """Return the report for other entry VMs, or None if nothing is known."""
        record = self._live_record(fingerprint, now_s)
        if record is None:
            return None
        losses = tuple(
            ReportedLoss(
                lifetime, now_s - loss.at_s, loss.is_crash, loss.is_crash_alone, loss.callers
            )
            for lifetime, loss in record.losses.items()
        )
        answered_age_s = now_s - record.cleared_s
        if answered_age_s >= CRASH_TTL_S:
            return CrashReport(fingerprint, losses, record.limited_to) if losses else None
        return CrashReport(fingerprint, losses, record.limited_to, answered_age_s)

    def knows(self, report: CrashReport, now_s: float) -> bool:
        """Return whether a report says nothing new, without changing or judging anything."""
        record = self._records.get(report.fingerprint)
        if record is None:
            return False
        answered_age_s = report.answered_age_s
        if answered_age_s is not None:
            answered_s = now_s - max(0.0, answered_age_s) - REPORT_DELAY_S
            if answered_s > record.cleared_s + ANSWER_AGE_ERROR_S:
                return False
        has_new_target = bool(report.limited_to) and not record.limited_to
        return not has_new_target and all(record.includes(loss) for loss in report.losses)

    def receive_report(self, report: CrashReport, now_s: float) -> bool:
        """Merge the report of another entry VM and return whether it changed anything."""
        known = self._live_record(report.fingerprint, now_s)
        if known is None and not report.losses:
            return False
        record = known or self._obtain_record(report.fingerprint, now_s)
        is_changed = False
        if report.answered_age_s is not None:
            sent_s = now_s - max(0.0, report.answered_age_s) - REPORT_DELAY_S
            is_changed = record.clear(sent_s)
        for reported in report.losses:
            at_s = now_s - max(0.0, reported.age_s)
            loss = Loss(at_s, reported.is_crash, reported.was_alone, reported.callers)
            is_changed |= self._add(report.fingerprint, record, reported.lifetime, loss, now_s)
        record.limited_to = record.limited_to or report.limited_to
        return is_changed

    def _add_loss(
        self, fingerprint: bytes, lifetime: Lifetime, sent_s: float, loss: Loss
    ) -> list[bytes]:
        """Add a loss to a request and to its content, and return those that it changed."""
        changed = []
        for key in levels_of(fingerprint):
            record = self._obtain_record(key, loss.at_s)
            callers = frozenset({caller_tag(fingerprint)}) if is_content(key) else frozenset()
            own = replace(loss, was_alone=record.limited_to == lifetime.target, callers=callers)
            if self._add(key, record, record.lifetime_at(lifetime, sent_s), own, loss.at_s):
                changed.append(key)
        return changed

    def _add(
        self, fingerprint: bytes, record: LossRecord, lifetime: Lifetime, loss: Loss, now_s: float
    ) -> bool:
        is_changed = record.add(lifetime, loss)
        if is_changed:
            self._index.add(lifetime, fingerprint, self._records)
        if is_changed and not loss.is_crash:
            self._drop_old_unconfirmed(now_s)
            self._unconfirmed.append(_Unconfirmed(fingerprint, lifetime.target, now_s))
        return is_changed

    def _drop_old_unconfirmed(self, now_s: float) -> None:
        """Drop the losses that no crash can confirm any more, and their records if empty."""
        while self._unconfirmed and now_s - self._unconfirmed[0].known_s >= UNCONFIRMED_TTL_S:
            self._live_record(self._unconfirmed.popleft().fingerprint, now_s)

    def _judge(self, fingerprint: bytes, record: LossRecord, now_s: float) -> Judgement:
        used = {lifetime.target for lifetime in record.losses}
        return record.judge(
            now_s,
            self._signs.lost_domain,
            lambda target: self._signs.is_outage(target, used),
            explained_losses(fingerprint, self._records, self._culprits, self._index),
            self._release_delay_s,
            is_ambiguous(fingerprint, self._records, self._index),
        )

    def _live_record(self, fingerprint: bytes, now_s: float) -> LossRecord | None:
        record = self._records.get(fingerprint)
        if record is None:
            return None
        record.prune(now_s)
        if record.is_expired(now_s):
            del self._records[fingerprint]
            self._culprits.discard(fingerprint)
            return None
        return record

    def _obtain_record(self, fingerprint: bytes, now_s: float) -> LossRecord:
        record = self._live_record(fingerprint, now_s)
        if record is None:
            self._evict_if_full(now_s)
            min_callers = CONTENT_CALLERS if is_content(fingerprint) else 0
            record = self._records[fingerprint] = LossRecord(min_callers)
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
            self._culprits.discard(fingerprint)

    def _eviction_rank(self, fingerprint: bytes, now_s: float) -> tuple[Standing, float]:
        record = self._records[fingerprint]
        newest_s = max((loss.at_s for loss in record.losses.values()), default=record.cleared_s)
        return (self._judge(fingerprint, record, now_s).standing, newest_s)
