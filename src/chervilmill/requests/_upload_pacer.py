"""Pace the uploads of an entry VM over one link between regions."""

BURST_S = 0.05


class UploadPacer:
    """Schedules the parts of all uploads over one link, so that together they keep to a rate.

    All times are in seconds of the same clock. The uploads share one schedule, so the rate does not
    depend on their number.
    """

    __slots__ = ("_link_free_s",)

    def __init__(self) -> None:
        self._link_free_s = float("-inf")

    def schedule(self, size: int, bytes_per_s: float, now_s: float) -> float | None:
        """Return how long to wait before the next part is sent, and schedule that part.

        Return None if the rate is not positive.
        """
        if bytes_per_s <= 0:
            return None
        start_s = max(self._link_free_s, now_s - BURST_S)
        self._link_free_s = start_s + size / bytes_per_s
        return max(0.0, start_s - now_s)
