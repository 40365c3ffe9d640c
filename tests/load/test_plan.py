"""Check that the planned load is determined by its seed and has the stated rate and shares."""

import random

from bench.checker import RequestKind
from bench.load import Mix, plan_requests

CLIENTS = 48


def test_plan_is_open_loop_with_the_stated_rate_and_shares() -> None:
    requests = list(plan_requests(Mix(requests_per_s=100.0), CLIENTS, 100.0, random.Random(1)))
    assert requests == list(
        plan_requests(Mix(requests_per_s=100.0), CLIENTS, 100.0, random.Random(1))
    )
    assert 9_500 < len(requests) < 10_500
    shares = {
        kind: sum(req.kind is kind for req in requests) / len(requests) for kind in RequestKind
    }
    assert 0.18 < shares[RequestKind.ORDER] < 0.22
    assert 0.08 < shares[RequestKind.UPLOAD] < 0.12
