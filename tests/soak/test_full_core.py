"""Run short soaks in which all entry VMs share a core that is asked for more than it carries."""

import asyncio
from pathlib import Path

import pytest

from soak.options import SoakOptions
from soak.run import Soak

SEEDS_THAT_FAILED = [
    SoakOptions(
        4,
        seconds=16.0,
        vms=12,
        network=118,
        disturbs_store=False,
        press_per_s=500.0,
        busy_processes=4,
    )
]


# Late VMs sent requests on by an old configuration, and to targets and domains that were leaving.
@pytest.mark.parametrize("options", SEEDS_THAT_FAILED, ids=lambda options: str(options.seed))
def test_full_core_makes_entry_vms_act_on_what_they_knew_before(
    tmp_path: Path, options: SoakOptions
) -> None:
    soak = Soak(options, tmp_path)
    assert asyncio.run(soak.run()) == []
    served = sum(attempt.status == 200 for attempt in soak.history.attempts.values())
    assert served > 0
