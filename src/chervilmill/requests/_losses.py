"""Record the runs of a request that ended without an answer, and judge the request by them.

Entry VMs merge their records by union. All of them therefore reach the same state, whatever the
order in which the reports arrive, and a crash counts wherever it happened.
"""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, replace
from enum import IntEnum
from typing import TYPE_CHECKING

from chervilmill.requests._crash_signs import OUTAGE_WINDOW_S

if TYPE_CHECKING:
    from chervilmill.requests._verdicts import ReportedLoss

# A loss counts until a crash of its target would have been seen: three missed heartbeats and the
# time that the store and its watchers need.
UNCONFIRMED_TTL_S = 10.0
CRASH_TTL_S = 60.0
QUARANTINE_TTL_S = 600.0
# A quarantine that rests on inconclusive losses ends this long after the last of them. The request
# is then a suspect, and one further run decides.
INCONCLUSIVE_TTL_S = 10.0
REPORT_DELAY_S = 0.2  # at most, for a report on its way and for its rounded ages
# A request is limited to one target, or quarantined, from this many losses or crashes on.
SUSPECT_LOSSES = 2
SUSPECT_CRASHES = 1
QUARANTINE_LOSSES = 3
# For a content, which harms many callers if it is refused, and if an answer speaks for the request.
QUARANTINE_LOSSES_IF_DOUBTFUL = 4
QUARANTINE_CRASHES = 2
CONCLUSIVE_CRASHES = 3  # that nothing else explains
CONCLUSIVE_CRASHES_IN_OUTAGES = 4
# A content is blamed only if this many callers lost runs of it: else the blame is the request's.
CONTENT_CALLERS = 2


class Standing(IntEnum):
    """What the losses of a request allow it; a higher value allows less."""

    CLEAR = 0
    SUSPECTED = 1
    QUARANTINED = 2


@dataclass(frozen=True, slots=True)
class Lifetime:
    """One lifetime of a target; `incarnation` is 0 where lifetimes cannot be told apart."""

    target: str
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class Loss:
    """A run that ended without an answer.

    `is_crash` says that the lifetime of the target ended too. `was_alone` says that the request was
    limited to this target and no other request is known to have been lost there. `callers` are tags
    of callers whose runs of a content were lost there, at most CONTENT_CALLERS of them.
    """

    at_s: float
    is_crash: bool = False
    was_alone: bool = False
    callers: frozenset[bytes] = frozenset()

    @property
    def is_crash_alone(self) -> bool:
        """Return whether the target crashed and no other request was lost with it."""
        return self.is_crash and self.was_alone

    def merge(self, other: "Loss") -> "Loss":
        """Return this loss with what another entry VM knows of the same run.

        The time stays, as each report is a little late: else a loss would change with each report.
        """
        callers = sorted(self.callers | other.callers)[:CONTENT_CALLERS]
        return Loss(
            self.at_s,
            self.is_crash or other.is_crash,
            self.was_alone or other.was_alone,
            frozenset(callers),
        )


@dataclass(frozen=True, slots=True)
class Judgement:
    """The standing of a request and when it ends, if nothing else is lost until then."""

    standing: Standing
    until_s: float = 0.0
    crashes: int = 0
    losses: int = 0


class LossRecord:
    """The losses of one request or content, and the target to which it is limited.

    An answer clears the record: losses up to `cleared_s`, when the answered run was sent, no longer
    count, also where a peer reports them again. A reported loss seems later by the time that its
    report took. Until `quarantined_until_s` the request is refused, also where an outage explains
    its losses later: its own crashes may look like one. `is_answered_after_loss` says that a run
    sent after a loss was answered, which no run is of a request that crashes its targets.
    """

    __slots__ = (
        "cleared_s",
        "is_answered_after_loss",
        "limited_to",
        "losses",
        "min_callers",
        "quarantined_until_s",
    )

    def __init__(self, min_callers: int = 0) -> None:
        self.min_callers = min_callers  # whose losses it takes to blame a content
        self.losses: dict[Lifetime, Loss] = {}
        self.limited_to = ""
        self.cleared_s = float("-inf")
        self.is_answered_after_loss = False
        self.quarantined_until_s = float("-inf")

    def lifetime_at(self, lifetime: Lifetime, sent_s: float) -> Lifetime:
        """Return the lifetime that a request reached, given the latest one known.

        After a crash this is a later one, also where the new lifetime is not known yet.
        """
        known = self.losses.get(lifetime)
        while known is not None and known.is_crash and sent_s - known.at_s >= OUTAGE_WINDOW_S:
            lifetime = replace(lifetime, incarnation=lifetime.incarnation + 1)
            known = self.losses.get(lifetime)
        return lifetime

    def add(self, lifetime: Lifetime, loss: Loss) -> bool:
        """Add or merge a loss and return whether anything changed."""
        if loss.at_s <= self.cleared_s + REPORT_DELAY_S:
            return False
        known = self.losses.get(lifetime)
        merged = loss if known is None else known.merge(loss)
        self.losses[lifetime] = merged
        return merged != known

    def includes(self, reported: "ReportedLoss") -> bool:
        """Return whether a reported loss is known with all that it says."""
        known = self.losses.get(reported.lifetime)
        return (
            known is not None
            and known.is_crash >= reported.is_crash
            and known.was_alone >= reported.was_alone
            and reported.callers <= known.callers
        )

    def confirm(self, target: str, *, is_alone: bool) -> bool:
        """Record that a target crashed and return whether this changes a loss.

        `is_alone` says that the target lost no other request.
        """
        unconfirmed = [
            (lifetime, loss)
            for lifetime, loss in self.losses.items()
            if lifetime.target == target and not loss.is_crash
        ]
        for lifetime, loss in unconfirmed:
            self.losses[lifetime] = replace(
                loss, is_crash=True, was_alone=loss.was_alone and is_alone
            )
        return bool(unconfirmed)

    @property
    def crashed(self) -> frozenset[Lifetime]:
        """Return the lifetimes of targets that crashed while they ran the request."""
        return frozenset(lifetime for lifetime, loss in self.losses.items() if loss.is_crash)

    def clear(self, sent_s: float) -> bool:
        """Forget the losses up to when an answered run was sent; return whether there were any.

        A run that was lost later still counts: a request may crash targets from a moment on.
        """
        if sent_s <= self.cleared_s:
            return False
        self.cleared_s = sent_s
        kept = {lifetime: loss for lifetime, loss in self.losses.items() if loss.at_s > sent_s}
        is_changed = len(kept) < len(self.losses)
        self.losses = kept
        if is_changed:
            self.is_answered_after_loss = True
            self.limited_to = ""
            self.quarantined_until_s = float("-inf")
        return is_changed

    def is_released(self, now_s: float) -> bool:
        """Return whether a quarantine of the request has ended without an answer."""
        return float("-inf") < self.quarantined_until_s <= now_s

    def withdraw(self, target: str, sent_s: float) -> None:
        """Forget that a run sent to a target at a time was lost, unless the target crashed."""
        self.losses = {
            lifetime: loss
            for lifetime, loss in self.losses.items()
            if lifetime.target != target or loss.is_crash or loss.at_s < sent_s
        }

    def prune(self, now_s: float) -> None:
        """Remove the losses that have expired."""
        self.losses = {
            lifetime: loss
            for lifetime, loss in self.losses.items()
            if now_s - loss.at_s < (QUARANTINE_TTL_S if loss.is_crash else UNCONFIRMED_TTL_S)
        }

    def is_expired(self, now_s: float) -> bool:
        """Return whether the record says nothing any more."""
        return not self.losses and now_s - self.cleared_s >= CRASH_TTL_S

    def judge(
        self,
        now_s: float,
        lost_domain_of: Callable[[str], str | None],
        is_outage: Callable[[str], bool],
        ignored: Collection[Lifetime] = (),
        release_delay_s: float = 0.0,
        is_ambiguous: bool = False,
    ) -> Judgement:
        """Return the standing of the request.

        `lost_domain_of` returns the failure domain with which a target was lost, or None. All
        losses in a lost domain count as one. `is_outage` returns whether a target crashed together
        with others that the request did not use. A crash that either explains counts as a loss.
        Losses in `ignored` lifetimes do not count at all. An inconclusive quarantine is longer by
        `release_delay_s`. `is_ambiguous` says that another request was lost at the same crashes.
        """
        losses = {
            lifetime: loss for lifetime, loss in self.losses.items() if lifetime not in ignored
        }
        if len(frozenset().union(*(loss.callers for loss in losses.values()))) < self.min_callers:
            return Judgement(Standing.CLEAR)
        causes: dict[Lifetime, object] = {
            lifetime: lost_domain_of(lifetime.target) or lifetime for lifetime in losses
        }
        explained = {
            lifetime
            for lifetime, cause in causes.items()
            if cause is not lifetime or is_outage(lifetime.target)
        }
        if self._is_conclusive(losses, causes, explained, is_ambiguous=is_ambiguous):
            crashed_s = max(loss.at_s for loss in losses.values() if loss.is_crash)
            until_s = crashed_s + QUARANTINE_TTL_S
            return Judgement(Standing.QUARANTINED, until_s, *self._count(losses, explained))
        live = {
            lifetime: loss
            for lifetime, loss in losses.items()
            if now_s - loss.at_s < (CRASH_TTL_S if loss.is_crash else UNCONFIRMED_TTL_S)
        }
        crashes, _ = self._count(live, explained)
        lost = len({causes[lifetime] for lifetime in live})
        if ignored:
            self.quarantined_until_s = float("-inf")
        is_doubtful = self.min_callers > 0 or self.is_answered_after_loss
        min_lost = QUARANTINE_LOSSES_IF_DOUBTFUL if is_doubtful else QUARANTINE_LOSSES
        if crashes >= QUARANTINE_CRASHES or lost >= min_lost:
            last_s = max(loss.at_s for loss in live.values())
            until_s = last_s + INCONCLUSIVE_TTL_S + release_delay_s
            self.quarantined_until_s = max(self.quarantined_until_s, until_s)
        if now_s < self.quarantined_until_s:
            return Judgement(Standing.QUARANTINED, self.quarantined_until_s, crashes, lost)
        is_suspect = crashes >= SUSPECT_CRASHES or lost >= SUSPECT_LOSSES
        return Judgement(Standing.SUSPECTED if is_suspect else Standing.CLEAR, 0.0, crashes, lost)

    @staticmethod
    def _is_conclusive(
        losses: Mapping[Lifetime, Loss],
        causes: Mapping[Lifetime, object],
        explained: Collection[Lifetime],
        *,
        is_ambiguous: bool,
    ) -> bool:
        """Return whether the crashes leave no doubt that the request causes them."""
        crashed = [lifetime for lifetime, loss in losses.items() if loss.is_crash]
        has_alone = any(loss.is_crash_alone for loss in losses.values())
        unexplained = len(set(crashed).difference(explained))
        return (
            unexplained >= CONCLUSIVE_CRASHES
            and not is_ambiguous
            or len({causes[lifetime] for lifetime in crashed}) >= CONCLUSIVE_CRASHES_IN_OUTAGES
            or unexplained >= QUARANTINE_CRASHES
            and has_alone
        )

    @staticmethod
    def _count(losses: Mapping[Lifetime, Loss], explained: Collection[Lifetime]) -> tuple[int, int]:
        """Return the numbers of unexplained crashes and of losses."""
        crashes = sum(
            loss.is_crash and lifetime not in explained for lifetime, loss in losses.items()
        )
        return crashes, len(losses)
