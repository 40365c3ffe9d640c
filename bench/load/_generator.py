"""Send planned requests when they are due, regardless of the outcome of earlier requests."""

import threading
import time
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor

from bench.load._caller import Callers
from bench.load._plan import PlannedRequest

MAX_IN_FLIGHT = 200


def offer_load(
    callers: Callers, requests: Iterable[PlannedRequest], stopped: threading.Event
) -> None:
    """Send every request when it is due, and wait for the last answer.

    A request that is due while all threads are busy starts late. Its record keeps the due time.
    """
    started_s = time.monotonic()
    with ThreadPoolExecutor(MAX_IN_FLIGHT, thread_name_prefix="caller") as threads:
        for req in requests:
            due_s = started_s + req.due_s
            if stopped.wait(max(0.0, due_s - time.monotonic())):
                return
            threads.submit(callers.send, req, due_s)
