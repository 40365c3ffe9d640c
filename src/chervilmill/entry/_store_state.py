"""Record whether the store answers this entry VM, and since when."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from chervilmill.logs import log_event, log_problem
from chervilmill.platform import StoreError

# Live targets whose entries expired during an outage register again within this time of its end.
REGISTER_AGAIN_S = 2.0


@dataclass(slots=True)
class StoreState:
    """Whether the store answers this VM; times are readings of one clock in seconds.

    `recovered_s` is when the last outage ended, `last_answer_s` when the store last answered.
    `answered_s` is the time of the last answer about each kind, and `called_s` the time since which
    a call about the kind has been open.
    """

    is_unreachable: bool = False
    recovered_s: float = float("-inf")
    last_answer_s: float = float("-inf")
    answered_s: dict[str, float] = field(default_factory=dict)
    called_s: dict[str, float] = field(default_factory=dict)

    def copy_ages_s(self, now_s: float) -> dict[str, float]:
        """Return the time since the store last answered about each kind."""
        return {kind: now_s - at_s for kind, at_s in self.answered_s.items()}

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

    def record_answer(self, kind: str, now_s: float) -> None:
        """Record an answer about a kind."""
        self.last_answer_s = self.answered_s[kind] = now_s
        if self.is_unreachable:
            self.is_unreachable = False
            self.recovered_s = now_s
            log_event("store is back", step="watch", peer="store")

    def record_restored(self, now_s: float) -> None:
        """Record that the store came back from an older copy, which is the end of an outage."""
        self.recovered_s = now_s

    def record_failure(self, kind: str, exc: StoreError) -> None:
        """Record that a call about a kind failed."""
        if not self.is_unreachable:
            self.is_unreachable = True
            log_problem("store is lost", step=exc.step, peer=exc.peer, kind=kind, error=exc.message)

    def register_again_until_s(self, now_s: float) -> float | None:
        """Return until when targets may register again, or None if they would have done so."""
        if self.is_unreachable:
            return now_s + REGISTER_AGAIN_S
        until_s = self.recovered_s + REGISTER_AGAIN_S
        return until_s if now_s < until_s else None
