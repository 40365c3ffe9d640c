"""Decide whether what this entry VM knows is recent enough to act on.

Load pattern: callers ask for more than the processor carries, the process was frozen, or the store
is sound but answers late or refuses most reads. Changes of the store then wait, and requests would
be decided by what was known before. A VM acts only on copies whose age leaves time for a request to
reach its target within the bounds of the operators, unless the store is away: nobody is known to
have had an answer from it (`StoreState`). A VM then goes on with what it knows.
"""

from collections.abc import Callable

from chervilmill.platform import Bounds

SEND_MARGIN_S = 0.3  # from the decision to send until the target has the request, also from afar
MIN_AGE_S = 0.5


class CopyCurrency:
    """Whether the copies of the store's objects are recent enough; times are of the event loop.

    `confirmed_s` returns the time up to which all copies are confirmed, if known, and
    `is_store_away` whether the store is known to serve nobody at a time.
    """

    def __init__(
        self,
        bounds: Bounds,
        confirmed_s: Callable[[], float | None],
        is_store_away: Callable[[float], bool],
    ) -> None:
        bound_s = min(bounds.drain_s, bounds.configuration_propagation_s)
        self.max_age_s = max(MIN_AGE_S, bound_s - SEND_MARGIN_S)
        self._confirmed_s = confirmed_s
        self._is_store_away = is_store_away

    def is_confirmed(self, now_s: float) -> bool:
        """Return whether the copies are confirmed as of a time that is recent enough."""
        confirmed_s = self._confirmed_s()
        return confirmed_s is not None and now_s - confirmed_s <= self.max_age_s

    def is_current(self, now_s: float) -> bool:
        """Return whether this VM may act on its copies at a time."""
        return self.is_confirmed(now_s) or self._is_store_away(now_s)
