"""Plan the requests of a run in advance, so that the load does not depend on the answers."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from bench.checker import RequestKind

MIN_UPLOAD_BYTES = 20_000


@dataclass(frozen=True, slots=True)
class Mix:
    """The rate of all requests, the shares of orders and uploads and the maximum upload size."""

    requests_per_s: float
    order_share: float = 0.2
    upload_share: float = 0.1
    max_upload_bytes: int = 400_000


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request with its due time after the start of the run, its kind and its client's number."""

    number: int
    due_s: float
    kind: RequestKind
    client: int
    upload_bytes: int
    is_crashing: bool = False


def plan_requests(
    mix: Mix, clients: int, duration_s: float, rng: random.Random
) -> Iterator[PlannedRequest]:
    """Yield requests at exponentially distributed intervals (Poisson arrivals)."""
    due_s, number = rng.expovariate(mix.requests_per_s), 0
    while due_s < duration_s:
        upload_bytes = rng.randint(MIN_UPLOAD_BYTES, mix.max_upload_bytes)
        yield PlannedRequest(number, due_s, _kind(mix, rng), rng.randrange(clients), upload_bytes)
        due_s += rng.expovariate(mix.requests_per_s)
        number += 1


def _kind(mix: Mix, rng: random.Random) -> RequestKind:
    draw = rng.random()
    if draw < mix.order_share:
        return RequestKind.ORDER
    if draw < mix.order_share + mix.upload_share:
        return RequestKind.UPLOAD
    return RequestKind.DIGEST
