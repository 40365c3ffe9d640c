"""Collect the changes of a shard and group them into commits, one commit at a time."""

from collections.abc import Callable

from chervilmill.requests._order_shard import (
    CachedShard,
    Change,
    Claim,
    ClaimReply,
    ClaimResult,
    Commit,
    RecordOutcome,
    ReleaseClaim,
)

_STORE_UNAVAILABLE_REPLY = ClaimReply(ClaimResult.STORE_UNAVAILABLE)

ClaimCallback = Callable[[ClaimReply], None]


class ShardQueue:
    """Queue of the changes to one shard, with those of the current commit.

    A claim is released if the caller has given it up by the time it is granted, or if it fails
    although its write may have been applied: no transmission will use the claim. Outcomes and
    releases stay in the queue until they are stored.
    """

    __slots__ = ("_committing", "_claim_callbacks", "_waiting", "cached")

    def __init__(self) -> None:
        self.cached: CachedShard | None = None
        self._waiting: list[Change] = []
        self._committing: list[Change] = []
        self._claim_callbacks: dict[bytes, ClaimCallback] = {}

    @property
    def is_committing(self) -> bool:
        """Return whether a commit is in progress."""
        return bool(self._committing)

    @property
    def has_claims(self) -> bool:
        """Return whether any claim waits for the next commit."""
        return any(isinstance(change, Claim) for change in self._waiting)

    @property
    def has_changes(self) -> bool:
        """Return whether any change waits for the next commit."""
        return bool(self._waiting)

    @property
    def pending_records(self) -> int:
        """Return the number of outcomes and releases not yet known to be stored."""
        changes = self._waiting + self._committing
        return sum(not isinstance(change, Claim) for change in changes)

    def claim(self, claim: Claim, callback: ClaimCallback) -> None:
        """Add a claim.

        The callback is called once with the reply, unless the claim is given up first.
        """
        self._waiting.append(claim)
        self._claim_callbacks[claim.nonce] = callback

    def record(self, change: RecordOutcome | ReleaseClaim) -> None:
        """Add an outcome or a release to the next commit."""
        self._waiting.append(change)

    def withdraw(self, claim: Claim) -> None:
        """Withdraw a claim whose reply is no longer wanted.

        A claim that is already part of a commit is released if that commit grants it.
        """
        self._claim_callbacks.pop(claim.nonce, None)
        self._waiting = [change for change in self._waiting if change != claim]

    def begin_commit(self) -> tuple[Change, ...]:
        """Begin a commit and return its changes."""
        self._committing, self._waiting = self._waiting, []
        return tuple(self._committing)

    def end_commit(self, commit: Commit) -> None:
        """End the commit and answer its claims.

        Outcomes and releases of a failed commit are queued again, ahead of newer changes.
        """
        changes, self._committing = self._committing, []
        self.cached = commit.cached
        retained: list[Change] = []
        for change in changes:
            if isinstance(change, Claim):
                retained += self._answer_claim(change, commit)
            elif not commit.is_done:
                retained.append(change)
        self._waiting[:0] = retained

    def _answer_claim(self, claim: Claim, commit: Commit) -> list[Change]:
        reply = commit.replies.get(claim.nonce, _STORE_UNAVAILABLE_REPLY)
        callback = self._claim_callbacks.pop(claim.nonce, None)
        if callback is not None:
            callback(reply)
        if reply.result is ClaimResult.GRANTED:
            needs_release = callback is None
        else:
            needs_release = reply.result is ClaimResult.STORE_UNAVAILABLE and commit.may_be_applied
        return [ReleaseClaim(claim.key, claim.nonce)] if needs_release else []
