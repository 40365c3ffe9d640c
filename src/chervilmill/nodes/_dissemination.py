"""Disseminate membership updates over the links at a bounded rate.

An update is sent once to every linked peer except the one that it came from. A token bucket limits
the rate while many members change at once. A newer update about a member replaces the pending one.
"""

from chervilmill.nodes._actions import Outbox
from chervilmill.nodes._messages import Member, MembershipUpdates, MemberStatus, Suspicion

COALESCE_DELAY_S = 0.05  # to send several updates in one message
UPDATES_PER_S = 80.0
BURST_UPDATES = 160.0

Update = Member | MemberStatus | Suspicion


class UpdateQueue:
    """The dissemination queue of membership updates."""

    def __init__(self, outbox: Outbox) -> None:
        self._outbox = outbox
        self._pending: dict[tuple[str, str], tuple[Update, str]] = {}
        self._tokens = BURST_UPDATES
        self._last_refill_s = 0.0
        self._pending_since_s = 0.0

    def add(self, update: Update, source: str, now: float) -> None:
        """Queue an update for every linked peer except its source."""
        if not self._pending:
            self._pending_since_s = now
        observer = update.observer if isinstance(update, Suspicion) else ""
        self._pending.pop((update.name, observer), None)
        self._pending[update.name, observer] = (update, source)

    @property
    def due_s(self) -> float | None:
        """Return when to call `flush`, or None if no update is pending."""
        return self._pending_since_s + COALESCE_DELAY_S if self._pending else None

    def flush(self, now: float) -> None:
        """Send as many pending updates as the rate limit allows."""
        due = self.due_s
        if due is None or now < due:
            return
        refill = (now - self._last_refill_s) * UPDATES_PER_S
        self._tokens = min(BURST_UPDATES, self._tokens + refill)
        self._last_refill_s = now
        count = min(len(self._pending), int(self._tokens))
        self._tokens -= count
        batch = [self._pending.pop(key) for key in list(self._pending)[:count]]
        self._pending_since_s = now
        self._send(batch)

    def _send(self, batch: list[tuple[Update, str]]) -> None:
        shared: dict[tuple[Update, ...], MembershipUpdates] = {}
        for peer in sorted(self._outbox.links):
            updates = tuple(update for update, source in batch if source != peer)
            if updates:
                message = shared.get(updates) or _to_message(updates)
                shared[updates] = message
                self._outbox.send(peer, message)


def _to_message(updates: tuple[Update, ...]) -> MembershipUpdates:
    return MembershipUpdates(
        members=tuple(update for update in updates if isinstance(update, Member)),
        statuses=tuple(update for update in updates if isinstance(update, MemberStatus)),
        suspicions=tuple(update for update in updates if isinstance(update, Suspicion)),
    )
