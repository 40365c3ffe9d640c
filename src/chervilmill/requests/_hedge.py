"""Compute the delay after which an idempotent request is also sent to a second target.

The delay is a high quantile of the recent times to the first part of an answer, as in Dean and
Barroso, "The Tail at Scale" (CACM 2013). Few requests are therefore hedged while the targets are
healthy.
"""

from collections import deque

HEDGE_QUANTILE = 0.97
MIN_SAMPLES = 50
MAX_SAMPLES = 500
MIN_DELAY_S = 0.005
SAMPLES_PER_REFRESH = 25


class HedgeDelay:
    """The hedging delay of one service, computed from recent times to the first part."""

    __slots__ = ("_delay_s", "_new_samples", "_samples")

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._new_samples = 0
        self._delay_s: float | None = None

    def observe(self, first_part_s: float) -> None:
        """Record the time to the first part of one answer."""
        self._samples.append(first_part_s)
        self._new_samples += 1
        if self._new_samples >= SAMPLES_PER_REFRESH and len(self._samples) >= MIN_SAMPLES:
            self._new_samples = 0
            ordered = sorted(self._samples)
            self._delay_s = ordered[int(HEDGE_QUANTILE * (len(ordered) - 1))]

    def delay_s(self) -> float | None:
        """Return the delay, or None while there are too few samples."""
        if self._delay_s is None:
            return None
        return max(MIN_DELAY_S, self._delay_s)
