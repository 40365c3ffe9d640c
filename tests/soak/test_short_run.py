"""Run short soaks with real processes: one seed of its own, and each that ever failed."""

import asyncio
from pathlib import Path

import pytest

from soak.run import Plan, Soak

SHORT = [Plan(1, seconds=5.0, vms=3, targets=4, callers=4, network=91)]
FAILED_BEFORE = [
    # a kill excused 4 s, and VMs on a starved machine took 13 s to come back
    Plan(106, seconds=12.0, network=106),
    # SIGHUP ended VMs that were starting
    Plan(107, seconds=12.0, network=107),
    Plan(108, seconds=12.0, network=108),
]


@pytest.mark.parametrize("plan", [*SHORT, *FAILED_BEFORE], ids=lambda plan: str(plan.seed))
def test_no_promise_is_broken(tmp_path: Path, plan: Plan) -> None:
    soak = Soak(plan, tmp_path)
    assert asyncio.run(soak.run()) == []
    served = sum(sent.status == 200 for sent in soak.history.sent.values())
    assert served > 0
