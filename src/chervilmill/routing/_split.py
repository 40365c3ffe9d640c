"""Divide the requests of a route among its services by weight.

Smooth weighted round robin keeps every run of requests close to the weights, so that the shares
hold within seconds on each entry VM and therefore on all of them together.
"""

from collections.abc import Sequence

from chervilmill.routing._model import SplitPart


class TrafficSplitter:
    """Hold the running credit of each part of each route."""

    __slots__ = ("_credits",)

    def __init__(self) -> None:
        self._credits: dict[tuple[str, tuple[SplitPart, ...]], list[float]] = {}

    def pick(self, route: str, split: Sequence[SplitPart]) -> str:
        """Return the service of the next request."""
        if len(split) == 1:
            return split[0].service
        parts = tuple(split)
        credit = self._credits.setdefault((route, parts), [0.0] * len(parts))
        for index, part in enumerate(parts):
            credit[index] += part.weight
        chosen = max(range(len(parts)), key=credit.__getitem__)
        credit[chosen] -= sum(part.weight for part in parts)
        return parts[chosen].service
