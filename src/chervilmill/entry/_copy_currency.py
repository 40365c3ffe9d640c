"""Decide whether what this entry VM knows is recent enough to act on.

Load pattern: callers ask for more than the processor carries, or the process was frozen. Changes of
the store then wait in sockets among the requests, which would be decided by what was known before.
Such a VM acts only on copies whose age leaves time for a request to reach its target within the
bounds of the operators. A VM that is on time but has not had its copies confirmed is another
matter: the store is away or refuses reads, and the VM goes on with what it knows.
"""

from collections.abc import Callable

from chervilmill.platform import Bounds

SEND_MARGIN_S = 0.3  # from the decision to send until the target has the request, also from afar
MIN_AGE_S = 0.5


class CopyCurrency:
    """Whether the copies of the store's objects are recent enough; times are of the event loop.

    `confirmed_s` returns the time up to which all copies are confirmed, if known, `is_store_away`
    whether the store is known not to serve, and `was_late_since` whether the event loop was late
    since a time.
    """

    def __init__(
        self,
        bounds: Bounds,
        confirmed_s: Callable[[], float | None],
        is_store_away: Callable[[], bool],
        was_late_since: Callable[[float], bool],
    ) -> None:
        bound_s = min(bounds.drain_s, bounds.configuration_propagation_s)
        self.max_age_s = max(MIN_AGE_S, bound_s - SEND_MARGIN_S)
        self._confirmed_s = confirmed_s
        self._is_store_away = is_store_away
        self._was_late_since = was_late_since

    def is_current(self, now_s: float) -> bool:
        """Return whether this VM may act on its copies at a time."""
        confirmed_s = self._confirmed_s()
        if confirmed_s is None or now_s - confirmed_s <= self.max_age_s:
            return True
        return self._is_store_away() or not self._was_late_since(confirmed_s)
