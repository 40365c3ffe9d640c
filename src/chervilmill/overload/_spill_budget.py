"""Let a few requests leave for another region when theirs is full.

Load pattern: a burst at one failure domain or a region that has lost targets. Spilled requests stay
a small part of a region's requests, under the cap on shifts between regions.
"""

SPILL_SHARE = 0.05  # of a region's requests; the cap on shifts is 0.15
MAX_SAVED = 3.0  # requests


class SpillAllowance:
    """Earn a part of a spilled request with each request."""

    __slots__ = ("_saved",)

    def __init__(self) -> None:
        self._saved = 0.0

    def earn(self) -> None:
        """Count a request of a caller."""
        self._saved = min(MAX_SAVED, self._saved + SPILL_SHARE)

    def has_room(self) -> bool:
        """Return whether a request may be spilled."""
        return self._saved >= 1.0

    def spend(self) -> None:
        """Count a spilled request."""
        self._saved -= 1.0
