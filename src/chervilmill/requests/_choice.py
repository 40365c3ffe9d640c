"""Choose the target of a request."""

import random
from collections.abc import Mapping, Sequence
from typing import Protocol


class TargetChoice(Protocol):
    """Choose one of several targets."""

    def choose(
        self, names: Sequence[str], in_flight: Mapping[str, int], rng: random.Random
    ) -> str | None:
        """Return the name of a target, or None if there is none to choose."""
        ...


class TwoRandomChoices:
    """Draw two targets and take the one with fewer requests in flight from this node."""

    def choose(
        self, names: Sequence[str], in_flight: Mapping[str, int], rng: random.Random
    ) -> str | None:
        """Return the name of a target, or None if there is none to choose."""
        if not names:
            return None
        first, second = rng.choice(names), rng.choice(names)
        if in_flight.get(second, 0) < in_flight.get(first, 0):
            return second
        return first
