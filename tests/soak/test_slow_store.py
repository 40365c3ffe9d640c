"""Run short soaks with a sound store whose answers are late."""

import asyncio
from pathlib import Path

from soak.options import SoakOptions
from soak.run import Soak


def _soak(options: SoakOptions, folder: Path) -> None:
    soak = Soak(options, folder)
    assert asyncio.run(soak.run()) == []
    assert any(attempt.status == 200 for attempt in soak.history.attempts.values())


def test_late_linearizable_answers_make_entry_vms_act_on_old_copies(tmp_path: Path) -> None:
    """Answers that may be stale come at once, with data that is seconds old."""
    options = SoakOptions(
        5,
        seconds=8.0,
        vms=12,
        network=119,
        disturbs_store=False,
        is_calm=True,
        linearizable_answer_s=0.7,
        replica_age_s=3.0,
        replicas_state_present=True,
    )
    _soak(options, tmp_path)


def test_late_answers_make_entry_vms_act_on_old_copies(tmp_path: Path) -> None:
    options = SoakOptions(
        2, seconds=6.0, vms=6, network=120, disturbs_store=False, is_calm=True, answer_s=1.8
    )
    _soak(options, tmp_path)


def test_entry_vms_that_all_start_at_once_act_on_old_copies(tmp_path: Path) -> None:
    """They are killed at the same moment, while all answers are late."""
    options = SoakOptions(
        3,
        seconds=8.0,
        vms=6,
        network=121,
        disturbs_store=False,
        is_calm=True,
        outages=True,
        answer_s=1.8,
    )
    _soak(options, tmp_path)
