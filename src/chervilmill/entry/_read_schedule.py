"""Decide when an entry VM reads the store to confirm its copies.

Load pattern: a store that is sound answers late, refuses most reads, or is away. The age of a copy
is the time that a read took and the time until the next one is there, so the interval between the
starts of reads is what a VM controls. It is shorter while answers are late or refused. When the
store serves nobody, few reads look for its return.

One of the readers reads for all VMs. The next one stands by until the confirmation is older than it
should be, and any VM reads for itself if its peers do not confirm its copies in time to act on
them. A VM that starts has just listed all copies, and waits for its peers as long as for silent
ones: else each VM of a fleet that starts at once would read the store again before it hears the
others.
"""

import math

from chervilmill.entry._store_state import SILENT_AFTER_S, StoreState
from chervilmill.peers import ROUND_S, SUSPECT_AFTER_S

CONFIRM_INTERVAL_S = 0.7  # of the reader that reads for the others
STANDBY_STEP_S = 0.25  # for the read of the reader before, and its digest
PRESSED_INTERVAL_S = 0.35  # while answers are late or refused
REFUSED_INTERVAL_S = 0.1  # of readers that are refused, until the store counts as away
SLOW_ANSWER_S = 0.4  # more than the store and the farthest link usually take together
FAILED_LATELY_S = 1.0
CONFIRM_RETRY_S = 1.0  # while the store serves nobody; a few readers try more often if refused
CHECK_S = 0.1  # between the moments at which an answer may turn out to be late
MAX_OPEN_READS = 8
MAX_OPEN_READS_OF_FAILING = 2
READ_SLACK_S = 0.2  # for the next confirmation of peers
PEER_ROUNDS = 3  # of gossip, besides those that grow with the fleet


def read_age_s(reader_rank: int | None, fleet_size: int, *, hears_peers: bool) -> float:
    """Return the age of its confirmation at which a VM reads for itself.

    `reader_rank` is the place of the VM among the readers, or None if it is no reader. Gossip takes
    a number of rounds that grows with the logarithm of the fleet.
    """
    if reader_rank is not None:
        return CONFIRM_INTERVAL_S + STANDBY_STEP_S * reader_rank
    if not hears_peers:
        return CONFIRM_INTERVAL_S
    return CONFIRM_INTERVAL_S + ROUND_S * (PEER_ROUNDS + math.log2(max(1, fleet_size)) / 2.0)


class ReadSchedule:
    """When one VM reads the store; all times are readings of one clock in seconds.

    `act_age_s` is the age up to which this VM may act on its copies.
    """

    def __init__(self, store_state: StoreState) -> None:
        self.reader_rank: int | None = None
        self.fleet_size = 1
        self.act_age_s = math.inf
        self._store_state = store_state
        self._open_s: list[float] = []
        self._began_s = float("-inf")
        self._failed_s = float("-inf")
        self._not_before_s = float("-inf")
        self._loaded_s = math.inf
        self._heard_s = float("-inf")
        self._peers_confirmed_s = float("-inf")
        self._adopted_age_s = 0.0

    def begin_read(self, now_s: float) -> None:
        """Record that a read begins."""
        self._began_s = now_s
        self._open_s.append(now_s)

    def end_read(self, began_s: float) -> None:
        """Record that a read has ended, well or not."""
        self._open_s.remove(began_s)

    def record_failure(self, now_s: float, pause_s: float = 0.0) -> None:
        """Record that a read failed, and for how long not to begin another."""
        self._failed_s = now_s
        self._not_before_s = now_s + pause_s

    def record_digest(self, now_s: float) -> None:
        """Record that a peer was heard."""
        self._heard_s = now_s

    def record_peer_confirmation(self, at_s: float) -> None:
        """Record that a peer's copies are confirmed as of a time."""
        self._peers_confirmed_s = max(self._peers_confirmed_s, at_s)

    def record_adopted(self, age_s: float) -> None:
        """Record that peers confirmed all copies here, as of this long ago."""
        self._adopted_age_s = age_s

    def reads_all_kinds(self, now_s: float) -> bool:
        """Return whether a read asks for all kinds at once, in place of the revision first."""
        return self._store_state.serves(now_s) and self._is_pressed(now_s)

    def next_read_s(self, confirmed_s: float | None, now_s: float) -> float:
        """Return when to begin a read, if all copies are confirmed up to a time."""
        if confirmed_s is None:
            return math.inf
        self._loaded_s = min(self._loaded_s, now_s)
        most = MAX_OPEN_READS_OF_FAILING if self._is_failing(now_s) else MAX_OPEN_READS
        if len(self._open_s) >= most:
            return math.inf
        due_s = max(self._due_s(confirmed_s, now_s), self._not_before_s)
        return max(due_s, self._began_s + self._interval_s(now_s))

    def _interval_s(self, now_s: float) -> float:
        """Return the time from the start of one read to that of the next."""
        is_refused_reader = self.reader_rank is not None and self._is_refused(now_s)
        if is_refused_reader and not self._store_state.is_away(now_s):
            return REFUSED_INTERVAL_S
        if self._is_failing(now_s) and not is_refused_reader:
            return CONFIRM_RETRY_S
        return PRESSED_INTERVAL_S if self._is_pressed(now_s) else CONFIRM_INTERVAL_S

    def _is_failing(self, now_s: float) -> bool:
        """Return whether the store serves nobody, as far as is known, and has failed this VM."""
        return self._failed_s > self._store_state.served_s and not self._store_state.serves(now_s)

    def _is_refused(self, now_s: float) -> bool:
        """Return whether the store has just refused this VM; it may serve every tenth read."""
        return now_s - self._store_state.refused_s < FAILED_LATELY_S

    def _is_pressed(self, now_s: float) -> bool:
        """Return whether an answer is or was lately late, or a read has just failed."""
        oldest_s = min(self._open_s, default=now_s)
        is_slow = max(self._store_state.answer_s, now_s - oldest_s) > SLOW_ANSWER_S
        return is_slow or now_s - self._failed_s < FAILED_LATELY_S

    def _due_s(self, confirmed_s: float, now_s: float) -> float:
        """Return from when on the copies need to be confirmed by a read of this VM."""
        if self._store_state.is_unreachable and self._may_be_back():
            return now_s
        if self.reader_rank == 0:
            return confirmed_s + self._interval_s(now_s)
        # Peers may not have had time to be heard. A store that fails is tried again all the same.
        started_s = float("-inf") if self._store_state.is_unreachable else self._loaded_s
        hears_peers = now_s - max(self._heard_s, started_s) < SUSPECT_AFTER_S
        age_s = read_age_s(self.reader_rank, self.fleet_size, hears_peers=hears_peers)
        age_s += max(0.0, self._adopted_age_s - STANDBY_STEP_S)  # of a store that answers slowly
        return confirmed_s + min(age_s, self._last_moment_s(now_s))

    def _last_moment_s(self, now_s: float) -> float:
        """Return the age at which a read, or its silence, tells in time whether to act.

        While peers confirm the copies at their usual intervals, it need not begin before the next
        confirmation of theirs is overdue.
        """
        answer_s = max(self._store_state.answer_s, SILENT_AFTER_S)
        next_of_peers_s = self._adopted_age_s + self._interval_s(now_s) + READ_SLACK_S
        latest_s = self.act_age_s - SILENT_AFTER_S
        return max(latest_s - answer_s, min(next_of_peers_s, latest_s - CHECK_S))

    def _may_be_back(self) -> bool:
        """Return whether a replica, or the store to a peer, has answered since the last failure."""
        is_back_at_peers = self._peers_confirmed_s > self._store_state.failed_s
        return self._store_state.has_stale_answer or is_back_at_peers
