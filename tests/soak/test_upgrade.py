"""Replace entry VMs of an earlier version one by one under load and faults, and go back."""

import asyncio
from pathlib import Path

import pytest

from soak.builds import BuildError, export_build
from soak.options import SoakOptions
from soak.run import Soak

PREVIOUS = "1559793"


def _export_previous(folder: Path) -> Path:
    try:
        return export_build(PREVIOUS, folder)
    except BuildError as exc:
        pytest.skip(f"the history is not here: {exc}")


@pytest.mark.parametrize("seed", [9301])
def test_promise_is_broken_while_two_versions_run(tmp_path: Path, seed: int) -> None:
    previous = _export_previous(tmp_path / "previous")
    soak = Soak(SoakOptions(seed, seconds=12.0, network=112, previous=previous), tmp_path)
    assert asyncio.run(soak.run()) == []
    runs = [line for line in soak.log if " runs " in line]
    assert len(runs) == 2 * soak.options.vms
    assert any(attempt.status == 200 for attempt in soak.history.attempts.values())


def test_unknown_version_ends_the_soak_without_a_reason(tmp_path: Path) -> None:
    with pytest.raises(BuildError, match="git show"):
        export_build("no-such-version", tmp_path)
