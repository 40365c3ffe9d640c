"""Record whether the store answers this entry VM, and up to when its copies are confirmed.

The store counts as away, for this VM and for its peers alike, while nobody is known to have had a
linearizable answer from it for AWAY_AFTER_S. A VM then goes on with what it knows. While answers
keep coming, however late, the changes of the store bind.

Three answers are told apart. The store `serves` if this VM or a peer has lately read it. It is
unreachable (`is_unreachable`) if the last call of this VM that ended has failed, which may be the
VM's own link. It is away (`is_away`) if it does not serve and a call of this VM shows so too.

A call that times out while this VM's event loop is late says nothing of the store, whose answer may
have waited in the socket. A VM that took it for an outage would go on with what it knows, although
the changes of the store are at its door.
"""

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from chervilmill.logs import log_event, log_problem
from chervilmill.platform import StoreBusyError, StoreError

# Live targets whose entries expired during an outage register again within this time of its end.
REGISTER_AGAIN_S = 2.0
TIMED_OUT_S = 3.0  # the longest time that calls wait for an answer that is due
SERVED_LATELY_S = 1.3  # two reads of the reader that confirms the others, with their gossip
# A VM has to know that the store is away before its copies are too old to act on. Until then it has
# time for as many reads as show that a store which refuses most of them still serves.
AWAY_AFTER_S = 1.5
SILENT_AFTER_S = 0.3  # a call unanswered for this time adds to the silence of all others
REFUSAL_VALID_S = 3.0  # on a VM that is late since, and may not have read a better answer
NEWS_S = 0.3  # by which a peer's confirmation has to be later; digests round their ages
MAX_NEWS_AGE_S = 2.2  # of a peer's confirmation that gossip delivers late
RECENT_ANSWERS = 8  # that tell how long the store takes to answer


@dataclass(slots=True)
class StoreState:
    """Whether the store answers this VM; times are readings of one clock in seconds.

    `failed_s` is when a call last failed, and `recovered_s` when the last outage ended. Only a
    linearizable answer ends an outage. `has_stale_answer` says that a stale one, which may come
    from a replica without the store, has come since a call failed.

    `served_s` is when the store was last known to have answered this VM or a peer linearizably,
    `asked_s` when this VM first asked it since, and `refused_s` when it last refused.

    `confirmed_s` is, for each kind, the time up to which the copy is known to reflect the store.
    `called_s` is the time since which a call about the kind has been open. `was_late_since` returns
    whether the event loop was late since a time.
    """

    is_unreachable: bool = False
    has_stale_answer: bool = False
    failed_s: float = float("-inf")
    recovered_s: float = float("-inf")
    served_s: float = float("-inf")
    asked_s: float = float("-inf")
    refused_s: float = float("-inf")
    confirmed_s: dict[str, float] = field(default_factory=dict)
    called_s: dict[str, float] = field(default_factory=dict)
    was_late_since: Callable[[float], bool] = lambda _: False
    _peers_confirmed_s: float = float("-inf")
    _answers_s: deque[float] = field(default_factory=lambda: deque(maxlen=RECENT_ANSWERS))

    @property
    def answer_s(self) -> float:
        """Return the longest time that one of the last linearizable answers took."""
        return max(self._answers_s, default=0.0)

    def serves(self, now_s: float) -> bool:
        """Return whether the store has lately answered this VM or a peer linearizably."""
        return now_s - self.served_s <= SERVED_LATELY_S

    def is_away(self, now_s: float) -> bool:
        """Return whether nothing shows that the store serves anybody, and a call of this VM failed.

        A refusal shows that also to a VM that is late, silence only to one that is on time.
        """
        if now_s - self.served_s <= AWAY_AFTER_S:
            return False
        if self.refused_s > self.served_s and now_s - self.refused_s <= REFUSAL_VALID_S:
            return True
        is_silent = self.asked_s > self.served_s and now_s - self.asked_s > SILENT_AFTER_S
        return is_silent and not self.was_late_since(now_s - AWAY_AFTER_S)

    def record_call(self, now_s: float) -> None:
        """Record that this VM asks the store for a linearizable answer."""
        if self.asked_s <= self.served_s:
            self.asked_s = now_s

    def record_peer_confirmation(self, at_s: float, now_s: float) -> None:
        """Record that a peer has read the store at a time."""
        if at_s > self._peers_confirmed_s + NEWS_S and now_s - at_s <= MAX_NEWS_AGE_S:
            self._peers_confirmed_s = at_s
            self._record_service(now_s)

    def confirm(self, kind: str, at_s: float) -> None:
        """Record that the copy of a kind reflects the store as it was at a time."""
        self.confirmed_s[kind] = max(at_s, self.confirmed_s.get(kind, at_s))

    def confirmed_ages_s(self, now_s: float) -> dict[str, float]:
        """Return for each kind for how long the copy has not been confirmed."""
        return {kind: now_s - at_s for kind, at_s in self.confirmed_s.items()}

    def call_open_s(self, kind: str, now_s: float) -> float | None:
        """Return for how long a call about a kind has been open, or None if none is."""
        called_s = self.called_s.get(kind)
        return None if called_s is None else now_s - called_s

    @contextmanager
    def open_call(self, kind: str, now_s: float) -> Iterator[None]:
        """Record since when a call about a kind has been open."""
        self.called_s[kind] = now_s
        try:
            yield
        finally:
            del self.called_s[kind]

    def record_answer(self, now_s: float, took_s: float | None) -> None:
        """Record a linearizable answer, which only the store itself gives.

        `took_s` is how long it took, or None if the store held it back for changes.
        """
        if took_s is not None:
            self._answers_s.append(took_s)
        self._record_service(now_s)
        if self.is_unreachable:
            self.is_unreachable = False
            log_event("store is back", step="follow", peer="store")

    def _record_service(self, now_s: float) -> None:
        """Record that the store serves; if it had served nobody, an outage has ended."""
        if self.is_unreachable and not self.serves(now_s):
            self.recovered_s = now_s
        self.served_s = now_s

    def record_stale_answer(self) -> None:
        """Record an answer that a replica may have given."""
        self.has_stale_answer = True

    def record_restored(self, now_s: float) -> None:
        """Record that the store came back from an older copy, which is the end of an outage."""
        self.recovered_s = now_s

    def record_refusal(self, exc: StoreError, now_s: float) -> None:
        """Record that a call failed, if the store stated that it does not serve it."""
        if exc.is_refusal or isinstance(exc, StoreBusyError):
            self.refused_s = now_s

    def record_failure(self, kind: str, exc: StoreError, now_s: float) -> None:
        """Record that a call about a kind failed."""
        self.record_refusal(exc, now_s)
        if exc.has_timed_out and self.was_late_since(now_s - TIMED_OUT_S):
            return
        self.failed_s = now_s
        self.has_stale_answer = False
        if not self.is_unreachable:
            self.is_unreachable = True
            log_problem("store is lost", step=exc.step, peer=exc.peer, kind=kind, error=exc.message)

    def register_again_until_s(self, now_s: float) -> float | None:
        """Return until when targets may register again, or None if they would have done so.

        Entries lapse where the store serves nobody, which one failed call does not show.
        """
        if self.is_unreachable and not self.serves(now_s):
            return now_s + REGISTER_AGAIN_S
        until_s = self.recovered_s + REGISTER_AGAIN_S
        return until_s if now_s < until_s else None
