"""Group the changes of one shard into commits, one commit at a time."""

from collections.abc import Callable

from chervilmill.requests._order_shard import (
    Change,
    Claim,
    ClaimReply,
    Commit,
    Finish,
    HeldShard,
    Release,
    Standing,
)

_UNAVAILABLE = ClaimReply(Standing.STORE_UNAVAILABLE)

ClaimListener = Callable[[ClaimReply], None]


class ShardQueue:
    """Hold the changes that wait for a commit and those that are in one.

    A claim that is given up, or that fails while its write may have been applied, is released, as
    nobody will send it. Outcomes and releases stay until they are in the store.
    """

    __slots__ = ("_committing", "_listeners", "_waiting", "held")

    def __init__(self) -> None:
        self.held: HeldShard | None = None
        self._waiting: list[Change] = []
        self._committing: list[Change] = []
        self._listeners: dict[bytes, ClaimListener] = {}

    @property
    def is_committing(self) -> bool:
        """Return whether a commit has begun and not ended."""
        return bool(self._committing)

    @property
    def has_claims(self) -> bool:
        """Return whether a claim waits for a commit."""
        return any(isinstance(change, Claim) for change in self._waiting)

    @property
    def has_changes(self) -> bool:
        """Return whether any change waits for a commit."""
        return bool(self._waiting)

    @property
    def records(self) -> int:
        """Return the number of outcomes and releases that are not known to be stored."""
        changes = self._waiting + self._committing
        return sum(not isinstance(change, Claim) for change in changes)

    def claim(self, claim: Claim, listener: ClaimListener) -> None:
        """Add a claim; the listener is called once unless the claim is given up before."""
        self._waiting.append(claim)
        self._listeners[claim.nonce] = listener

    def record(self, change: Finish | Release) -> None:
        """Add an outcome or a release."""
        self._waiting.append(change)

    def give_up(self, claim: Claim) -> None:
        """Forget who waits for a claim."""
        self._listeners.pop(claim.nonce, None)
        self._waiting = [change for change in self._waiting if change != claim]

    def begin(self) -> tuple[Change, ...]:
        """Return the changes of the next commit."""
        self._committing, self._waiting = self._waiting, []
        return tuple(self._committing)

    def end(self, commit: Commit) -> None:
        """Take in how the commit ended and answer its claims."""
        changes, self._committing = self._committing, []
        self.held = commit.held
        again: list[Change] = []
        for change in changes:
            if isinstance(change, Claim):
                again += self._answer(change, commit)
            elif not commit.is_done:
                again.append(change)
        self._waiting[:0] = again

    def _answer(self, claim: Claim, commit: Commit) -> list[Change]:
        reply = commit.replies.get(claim.nonce, _UNAVAILABLE)
        listener = self._listeners.pop(claim.nonce, None)
        if listener is not None:
            listener(reply)
        if reply.standing is Standing.GRANTED:
            needs_release = listener is None
        else:
            needs_release = reply.standing is Standing.STORE_UNAVAILABLE and commit.may_be_applied
        return [Release(claim.key, claim.nonce)] if needs_release else []
