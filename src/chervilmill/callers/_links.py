"""Keep uploads within this node's share of the links between regions."""

import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from chervilmill.requests import UploadPace
from chervilmill.targets import Body

UPLOAD_SHARE = 0.5
WANTED_KBIT_PER_S = 20_000
BYTES_PER_KBIT = 125
PART_BYTES = 32 * 1024
NO_RATE_PAUSE_S = 0.1


class Allotments(Protocol):
    """Know how much of each cap this node may use."""

    def set_demand(self, resource: str, units: int) -> None:
        """Say how many units of a cap this node has use for now."""
        ...

    def units(self, resource: str) -> int:
        """Return how many units of a cap this node may use now."""
        ...


class Links:
    """Pace the uploads that leave this node's region.

    Uploads get a part of the node's allotment of a link, so that checks and orders find room.
    """

    def __init__(
        self,
        allotments: Allotments,
        region: str,
        resource: Callable[[str, str], str],
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._allotments = allotments
        self._region = region
        self._resource = resource
        self._clock = clock
        self._sleep = sleep
        self._paces: dict[str, UploadPace] = {}
        self._uploads: Counter[str] = Counter()
        self._lock = threading.Lock()

    def begin(self, region: str) -> str | None:
        """Count an upload to a region and return its link, or None within this region."""
        if region == self._region:
            return None
        link = self._resource(self._region, region)
        self._count(link, 1)
        return link

    def end(self, link: str | None) -> None:
        """Count the end of an upload."""
        if link is not None:
            self._count(link, -1)

    def paced(self, body: Body, link: str | None) -> Body:
        """Return a body that is read no faster than the link's share allows."""
        return body if link is None else _PacedBody(body, lambda size: self._wait(link, size))

    def _count(self, link: str, change: int) -> None:
        with self._lock:
            self._uploads[link] += change
            wanted = self._uploads[link] * WANTED_KBIT_PER_S
        self._allotments.set_demand(link, wanted)

    def _wait(self, link: str, size: int) -> None:
        while True:
            rate = UPLOAD_SHARE * self._allotments.units(link) * BYTES_PER_KBIT
            with self._lock:
                pace = self._paces.setdefault(link, UploadPace())
                pause_s = pace.take(size, rate, self._clock())
            self._sleep(NO_RATE_PAUSE_S if pause_s is None else pause_s)
            if pause_s is not None:
                return


class _PacedBody:
    """Read a body in small parts, each at its time."""

    __slots__ = ("_body", "_wait")

    def __init__(self, body: Body, wait: Callable[[int], None]) -> None:
        self._body = body
        self._wait = wait

    def read(self, size: int = -1) -> bytes:
        wanted = PART_BYTES if size < 0 else min(size, PART_BYTES)
        part = self._body.read(wanted)
        if part:
            self._wait(len(part))
        return part
