"""Keep runs without an answer until their targets show whether they crashed.

A run that is overdue, past its deadline or left by its caller may be slow work. It is kept here,
told to nobody and counted by nothing, until its target shows a sign of a crash: it refuses
connections, or its entry ends or names a new lifetime. Silence is no sign, as a target that is five
times slower and has only long work answers nothing for seconds either.

An answer to a later request does not remove a run: it shows that the target was alive, but not that
the run ended, and a request may crash its target after seconds of work.
"""

from dataclasses import dataclass

from chervilmill.requests._losses import UNCONFIRMED_TTL_S, Lifetime

MAX_RUNS_PER_TARGET = 64  # more than the slots of a target over the retention
MAX_RUNS = 10_000  # as many as the losses that are kept


@dataclass(frozen=True, slots=True)
class UnconfirmedRun:
    """A run without an answer, sent at a time and first found to be unanswered at another."""

    fingerprint: bytes
    lifetime: Lifetime
    sent_s: float
    known_s: float


class UnconfirmedRuns:
    """The unconfirmed runs of one entry VM, by target; the oldest are dropped beyond the limits."""

    __slots__ = ("_count", "_runs", "_signs_s")

    def __init__(self) -> None:
        self._runs: dict[str, dict[tuple[bytes, Lifetime], UnconfirmedRun]] = {}
        self._signs_s: dict[str, float] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, run: UnconfirmedRun) -> bool:
        """Keep a run and return whether it is a loss already.

        It is if its target showed a sign of a crash since the run was sent. A run that is recorded
        again keeps the time at which it was first known.
        """
        target = run.lifetime.target
        if run.sent_s <= self._signs_s.get(target, float("-inf")):
            return True
        self._prune(target, run.known_s)
        key = (run.fingerprint, run.lifetime)
        known = self._runs.get(target, {}).get(key)
        if known is not None and known.sent_s == run.sent_s:
            return False
        if known is None:
            self._make_room(target)
            self._count += 1
        self._runs.setdefault(target, {})[key] = run
        return False

    def remove(self, fingerprint: bytes, target: str, sent_s: float) -> None:
        """Forget the run of a request that was sent at a time, as it ended or did not start."""
        runs = self._runs.get(target, {})
        ended = [key for key, run in runs.items() if key[0] == fingerprint and run.sent_s == sent_s]
        for key in ended:
            del runs[key]
        self._count -= len(ended)
        self._drop_empty(target)

    def take_lost(self, target: str, now_s: float) -> list[UnconfirmedRun]:
        """Return and forget the runs at a target that shows a sign of a crash."""
        self._signs_s = {
            name: at_s for name, at_s in self._signs_s.items() if now_s - at_s < UNCONFIRMED_TTL_S
        }
        self._signs_s[target] = now_s
        self._prune(target, now_s)
        runs = self._runs.pop(target, {})
        self._count -= len(runs)
        return list(runs.values())

    def _make_room(self, target: str) -> None:
        """Drop the oldest run of a target that has too many, or of the target longest unchanged."""
        if len(self._runs.get(target, ())) >= MAX_RUNS_PER_TARGET:
            self._drop_oldest(target)
        elif self._count >= MAX_RUNS:
            self._drop_oldest(next(iter(self._runs)))

    def _drop_oldest(self, target: str) -> None:
        runs = self._runs[target]
        del runs[next(iter(runs))]
        self._count -= 1
        self._drop_empty(target)

    def _prune(self, target: str, now_s: float) -> None:
        """Forget the runs that no crash can confirm any more; runs are ordered by their age."""
        runs = self._runs.get(target, {})
        old = [key for key, run in runs.items() if now_s - run.known_s >= UNCONFIRMED_TTL_S]
        for key in old:
            del runs[key]
        self._count -= len(old)
        self._drop_empty(target)

    def _drop_empty(self, target: str) -> None:
        if not self._runs.get(target, True):
            del self._runs[target]
