"""Decide from the reports of observers whether a suspected member is dead.

One observer is not enough while other members could observe the suspect too. A node that suspects
more than half of the members assumes that it is cut off itself, and declares no member dead.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from chervilmill.nodes._messages import Suspicion

REFUTATION_TIMEOUT_S = 1.0  # for a suspect to refute the suspicion
REQUIRED_OBSERVERS = 2
SINGLE_OBSERVER_TIMEOUT_S = 10.0  # if there are too few members for a second observer
SUSPICION_LIFETIME_S = 15.0
MAX_OBSERVERS = 3


@dataclass(slots=True)
class _Suspect:
    """The observers that suspect a member in one incarnation."""

    incarnation: int
    first_s: float
    observers: set[str] = field(default_factory=set)


class Suspicions:
    """The suspected members and the observers that have reported them."""

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._suspects: dict[str, _Suspect] = {}
        self.generation = 0

    def add(self, suspicion: Suspicion, now: float) -> bool:
        """Store a report and return whether to pass it on."""
        suspect = self._suspects.get(suspicion.name)
        if suspect is None or suspect.incarnation < suspicion.incarnation:
            suspect = _Suspect(suspicion.incarnation, now)
            self._suspects[suspicion.name] = suspect
            self.generation += 1
        is_known = suspicion.observer in suspect.observers
        if is_known or len(suspect.observers) >= MAX_OBSERVERS:
            return False
        suspect.observers.add(suspicion.observer)
        self.generation += 1
        return True

    def clear(self, name: str) -> None:
        """Drop all reports on a member."""
        if self._suspects.pop(name, None) is not None:
            self.generation += 1

    def suspected_names(self) -> Collection[str]:
        """Return the suspected members."""
        return self._suspects.keys()

    def is_excluded(self, name: str) -> bool:
        """Return whether a member is not eligible as a neighbour because it is suspected."""
        suspect = self._suspects.get(name)
        if suspect is None:
            return False
        is_confirmed = len(suspect.observers) >= REQUIRED_OBSERVERS
        return is_confirmed or self._own_name in suspect.observers

    def expire(self, now: float) -> None:
        """Drop old reports that were neither confirmed nor refuted."""
        due = [name for name, s in self._suspects.items() if now - s.first_s > SUSPICION_LIFETIME_S]
        for name in due:
            self.clear(name)

    def confirmed_dead(
        self, now: float, unlisted: Collection[str], present: int
    ) -> list[tuple[str, int]]:
        """Return the names and incarnations of the suspects that are to be declared dead.

        `unlisted` are the members that are not in the platform's list, which counts like another
        observer; `present` is the number of members that are not declared dead.
        """
        if len(self._suspects) * 2 > present:
            return []
        possible_observers = present - len(self._suspects)
        return [
            (name, suspect.incarnation)
            for name, suspect in self._suspects.items()
            if _is_dead(suspect, now - suspect.first_s, name in unlisted, possible_observers)
        ]


def _is_dead(suspect: _Suspect, age_s: float, is_unlisted: bool, possible_observers: int) -> bool:
    votes = len(suspect.observers) + int(is_unlisted)
    if votes >= REQUIRED_OBSERVERS:
        return age_s >= REFUTATION_TIMEOUT_S
    return possible_observers < REQUIRED_OBSERVERS and age_s >= SINGLE_OBSERVER_TIMEOUT_S
