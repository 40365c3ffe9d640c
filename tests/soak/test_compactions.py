"""Run short soaks in which the store drops its history while the configuration changes."""

import asyncio
from pathlib import Path

import pytest

from soak.options import SoakOptions
from soak.run import Soak


def _soak(options: SoakOptions, folder: Path) -> None:
    soak = Soak(options, folder)
    assert asyncio.run(soak.run()) == []
    assert any(attempt.status == 200 for attempt in soak.history.attempts.values())


@pytest.mark.parametrize("seed", [3, 12, 13])
def test_change_that_watches_did_not_hear_of_has_no_effect(tmp_path: Path, seed: int) -> None:
    options = SoakOptions(
        seed,
        seconds=10.0,
        vms=6,
        network=130 + seed,
        disturbs_store=False,
        is_calm=True,
        compactions=True,
    )
    _soak(options, tmp_path)


def test_start_of_all_entry_vms_amid_compactions_brings_old_copies_back(tmp_path: Path) -> None:
    options = SoakOptions(
        3,
        seconds=10.0,
        vms=6,
        network=123,
        disturbs_store=False,
        is_calm=True,
        outages=True,
        compactions=True,
    )
    _soak(options, tmp_path)
