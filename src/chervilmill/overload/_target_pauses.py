"""Keep the pauses that targets asked this entry VM for when they rejected its requests.

A pause applies to one lifetime of its target and to this VM alone: a target may reject the requests
of one VM only, so pauses are not reported to the others.
"""

import math
import re
from dataclasses import dataclass

from chervilmill.requests import Lifetime

MAX_PAUSE_S = 3600.0  # an overloaded target can ask again after that
MAX_KNOWN_PAUSES = 4096
_DECIMAL_NUMBER = re.compile(r"[0-9]+(\.[0-9]*)?")


@dataclass(frozen=True, slots=True)
class StatedPause:
    """A pause as a target states it; `pause_s` is None if `text` is not a number of seconds."""

    pause_s: float | None
    text: str


def parse_pause(text: str) -> StatedPause:
    """Return the pause that a target states as a decimal number of seconds."""
    stripped = text.strip()
    if _DECIMAL_NUMBER.fullmatch(stripped) is None:
        return StatedPause(None, text)
    return StatedPause(min(MAX_PAUSE_S, float(stripped)), text)


class TargetPauses:
    """The pauses known to one entry VM; all times are in seconds of one clock."""

    __slots__ = ("_until_s",)

    def __init__(self) -> None:
        self._until_s: dict[Lifetime, float] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no target has asked for a pause lately."""
        return not self._until_s

    def record(self, lifetime: Lifetime, pause_s: float, now_s: float) -> None:
        """Record a pause from now on; an earlier one that ends later still applies."""
        if lifetime not in self._until_s and len(self._until_s) >= MAX_KNOWN_PAUSES:
            self._drop_first_to_end()
        until_s = now_s + pause_s
        self._until_s[lifetime] = max(until_s, self._until_s.get(lifetime, -math.inf))

    def left_s(self, lifetime: Lifetime, now_s: float) -> float:
        """Return how long a target is still paused, 0 if it takes requests."""
        until_s = self._until_s.get(lifetime)
        if until_s is None:
            return 0.0
        if until_s <= now_s:
            del self._until_s[lifetime]
            return 0.0
        return until_s - now_s

    def forget(self, target: str) -> None:
        """Drop the pauses of a target that is gone, in all its lifetimes."""
        for lifetime in [known for known in self._until_s if known.target == target]:
            del self._until_s[lifetime]

    def _drop_first_to_end(self) -> None:
        del self._until_s[min(self._until_s, key=lambda lifetime: self._until_s[lifetime])]
