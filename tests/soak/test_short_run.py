"""Run short soaks with real processes: a fixed seed and every seed that ever failed."""

import asyncio
from pathlib import Path

import pytest

from soak.options import SoakOptions
from soak.run import Soak

FIXED_SEED = [
    SoakOptions(1, seconds=5.0, vms=3, targets=4, callers=4, network=91),
]
SEEDS_THAT_FAILED = [
    # A kill excused failures for 4 s, but VMs on an overloaded machine took 13 s to restart.
    SoakOptions(106, seconds=12.0, network=106),
    # SIGHUP terminated VMs that were still starting.
    SoakOptions(107, seconds=12.0, network=107),
    SoakOptions(108, seconds=12.0, network=108),
    # Two crashes beside a harmless request kept it refused for a minute.
    SoakOptions(1104, seconds=20.0, network=104),
    # A request crashed silent targets for as long as it came again.
    SoakOptions(4, seconds=15.0, network=105, disturbs_store=False),
    # Crashes of one request looked like the loss of a failure domain, which ended its quarantine.
    SoakOptions(3022, seconds=16.0, network=111, disturbs_store=False, names_limits=True),
    # Targets got many times the limits that they named.
    SoakOptions(41, seconds=16.0, network=110, disturbs_store=False, names_limits=True),
    # A request that took two targets in each attempt took all of a service.
    SoakOptions(14, seconds=16.0, vms=6, targets=16, callers=6, network=109, only_crashes=True),
    # Replicas of the store answered watches with data older than the drain time.
    SoakOptions(59, seconds=12.0, network=114, disturbs_store=False, replica_age_s=8.0),
    # Replicas stated the present revision, and changes that they did not have yet were lost.
    SoakOptions(
        62,
        seconds=8.0,
        vms=3,
        targets=4,
        callers=4,
        network=115,
        disturbs_store=False,
        replica_age_s=8.0,
        replicas_state_present=True,
    ),
    # An object that crashes targets, asked for by many callers, took targets of each caller anew.
    SoakOptions(
        41,
        seconds=14.0,
        vms=6,
        targets=16,
        callers=6,
        network=113,
        only_crashes=True,
        crash_hosts=12,
    ),
]


@pytest.mark.parametrize(
    "options",
    [*FIXED_SEED, *SEEDS_THAT_FAILED],
    ids=lambda options: f"{options.seed}{'-many-callers' if options.crash_hosts else ''}",
)
def test_no_promise_is_broken(tmp_path: Path, options: SoakOptions) -> None:
    soak = Soak(options, tmp_path)
    assert asyncio.run(soak.run()) == []
    served = sum(attempt.status == 200 for attempt in soak.history.attempts.values())
    assert served > 0
