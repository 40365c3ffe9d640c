"""Limit uploads to this node's share of the links between regions."""

import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from chervilmill.requests import UploadPacer
from chervilmill.targets import Body

UPLOAD_SHARE = 0.5
KBIT_PER_S_PER_UPLOAD = 20_000  # demand on a link for each upload in progress
BYTES_PER_KBIT = 125
PART_BYTES = 32 * 1024
ZERO_RATE_PAUSE_S = 0.1


class Allotments(Protocol):
    """This node's allotment of each cap that all nodes share."""

    def set_demand(self, resource: str, units: int) -> None:
        """Request a number of units of a cap for this node."""
        ...

    def granted_units(self, resource: str) -> int:
        """Return how many units of a cap this node may use now."""
        ...


class Links:
    """Paces the uploads that leave this node's region.

    Uploads use only `UPLOAD_SHARE` of the node's allotment of a link, so that idempotent
    requests and orders have room too.
    """

    def __init__(
        self,
        allotments: Allotments,
        region: str,
        resource_name: Callable[[str, str], str],
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._allotments = allotments
        self._region = region
        self._resource_name = resource_name
        self._clock = clock
        self._sleep = sleep
        self._pacers: dict[str, UploadPacer] = {}
        self._uploads: Counter[str] = Counter()
        self._lock = threading.Lock()

    def begin_upload(self, region: str) -> str | None:
        """Count an upload to a region and return its link, or None for this node's region."""
        if region == self._region:
            return None
        link = self._resource_name(self._region, region)
        self._change_uploads(link, 1)
        return link

    def end_upload(self, link: str | None) -> None:
        """Count the end of an upload; `link` is what `begin_upload` returned."""
        if link is not None:
            self._change_uploads(link, -1)

    def pace_body(self, body: Body, link: str | None) -> Body:
        """Return a body that is read no faster than the uploads' share of the link allows."""
        return (
            body if link is None else _PacedBody(body, lambda size: self._wait_for_rate(link, size))
        )

    def _change_uploads(self, link: str, change: int) -> None:
        with self._lock:
            self._uploads[link] += change
            wanted = self._uploads[link] * KBIT_PER_S_PER_UPLOAD
        self._allotments.set_demand(link, wanted)

    def _wait_for_rate(self, link: str, size: int) -> None:
        while True:
            rate_bytes_per_s = UPLOAD_SHARE * self._allotments.granted_units(link) * BYTES_PER_KBIT
            with self._lock:
                pacer = self._pacers.setdefault(link, UploadPacer())
                pause_s = pacer.schedule(size, rate_bytes_per_s, self._clock())
            self._sleep(ZERO_RATE_PAUSE_S if pause_s is None else pause_s)
            if pause_s is not None:
                return


class _PacedBody:
    """A body that is read in small parts, at the rate of a link."""

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
