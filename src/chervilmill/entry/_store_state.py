"""Record whether the store answers this entry VM, and up to when its copies are confirmed.

A call that times out while this VM's event loop is late says nothing of the store, whose answer may
have waited in the socket. A VM that took it for an outage would go on with what it knows, as it has
to while the store is away, although the changes of the store are at its door.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from chervilmill.logs import log_event, log_problem
from chervilmill.platform import StoreError

# Live targets whose entries expired during an outage register again within this time of its end.
REGISTER_AGAIN_S = 2.0
TIMED_OUT_S = 3.0  # the longest time that calls wait for an answer that is due


@dataclass(slots=True)
class StoreState:
    """Whether the store answers this VM; times are readings of one clock in seconds.

    `failed_s` is when a call last failed, and `recovered_s` when the last outage ended. Only a
    linearizable answer ends an outage. `is_away` says that the store refused, or let a call of a VM
    on time wait; a connection that broke shows neither. `has_stale_answer` says that a stale one,
    which may come from a replica without the store, has come since a call failed.

    `confirmed_s` is, for each kind, the time up to which the copy is known to reflect the store.
    `called_s` is the time since which a call about the kind has been open. `was_late_since` returns
    whether the event loop was late since a time.
    """

    is_unreachable: bool = False
    is_away: bool = False
    has_stale_answer: bool = False
    failed_s: float = float("-inf")
    recovered_s: float = float("-inf")
    confirmed_s: dict[str, float] = field(default_factory=dict)
    called_s: dict[str, float] = field(default_factory=dict)
    was_late_since: Callable[[float], bool] = lambda _: False

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

    def record_answer(self, now_s: float) -> None:
        """Record a linearizable answer, which only the store itself gives."""
        self.is_away = False
        if self.is_unreachable:
            self.is_unreachable = False
            self.recovered_s = now_s
            log_event("store is back", step="follow", peer="store")

    def record_stale_answer(self) -> None:
        """Record an answer that a replica may have given."""
        self.has_stale_answer = True

    def record_restored(self, now_s: float) -> None:
        """Record that the store came back from an older copy, which is the end of an outage."""
        self.recovered_s = now_s

    def record_failure(self, kind: str, exc: StoreError, now_s: float) -> None:
        """Record that a call about a kind failed."""
        if exc.has_timed_out and self.was_late_since(now_s - TIMED_OUT_S):
            return
        self.failed_s = now_s
        self.has_stale_answer = False
        self.is_away = self.is_away or exc.is_refusal or exc.has_timed_out
        if not self.is_unreachable:
            self.is_unreachable = True
            log_problem("store is lost", step=exc.step, peer=exc.peer, kind=kind, error=exc.message)

    def register_again_until_s(self, now_s: float) -> float | None:
        """Return until when targets may register again, or None if they would have done so."""
        if self.is_unreachable:
            return now_s + REGISTER_AGAIN_S
        until_s = self.recovered_s + REGISTER_AGAIN_S
        return until_s if now_s < until_s else None
