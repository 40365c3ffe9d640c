"""Divide the requests of a route among its services by weight.

Smooth weighted round robin keeps the shares close to the weights in every run of requests. The
shares therefore hold within seconds on each entry VM, and so on all entry VMs together.
"""

from collections.abc import Sequence

from chervilmill.routing._model import WeightedService


class TrafficSplitter:
    """The current credit of each service in each route's split."""

    __slots__ = ("_credits",)

    def __init__(self) -> None:
        self._credits: dict[tuple[str, tuple[WeightedService, ...]], list[float]] = {}

    def pick(self, route: str, split: Sequence[WeightedService]) -> str:
        """Return the service for the next request of a route."""
        if len(split) == 1:
            return split[0].service
        parts = tuple(split)
        credit = self._credits.setdefault((route, parts), [0.0] * len(parts))
        for index, part in enumerate(parts):
            credit[index] += part.weight
        chosen = max(range(len(parts)), key=credit.__getitem__)
        credit[chosen] -= sum(part.weight for part in parts)
        return parts[chosen].service
