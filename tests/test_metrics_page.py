"""Test that the operators' page of metrics names every metric and every reason."""

import re

import pytest

from chervilmill.metrics import Metrics
from chervilmill.reasons import DropReason, RefusalReason, RetryReason
from tests.support import ROOT

PAGE = (ROOT / "docs" / "operators" / "metrics.md").read_text()


def rows(title: str) -> dict[str, list[str]]:
    """Return the cells of each row below a title by the name in the first cell."""
    section = PAGE.partition(f"## {title}\n")[2].partition("\n## ")[0]
    found = re.findall(r"^\| `([^`]+)` \|(.+)\|$", section, re.MULTILINE)
    return {name: [cell.strip() for cell in cells.split("|")] for name, cells in found}


def exported_metrics() -> set[str]:
    suffix = {"counter": "_total"}
    families = Metrics().registry.collect()
    return {family.name + suffix.get(family.type, "") for family in families}


@pytest.mark.parametrize(
    ("title", "names"),
    [
        ("Metrics", exported_metrics()),
        ("Refusal reasons", {reason.value for reason in RefusalReason}),
        ("Retry reasons", {reason.value for reason in RetryReason}),
        ("Drop reasons", {reason.value for reason in DropReason}),
    ],
)
def test_page_names_exactly_what_exists(title: str, names: set[str]) -> None:
    documented = rows(title)
    assert set(documented) == names
    assert all(cells[-1] for cells in documented.values())


def test_page_gives_the_status_of_each_refusal() -> None:
    shown = {name: cells[0] for name, cells in rows("Refusal reasons").items()}
    assert shown == {reason.value: str(reason.status) for reason in RefusalReason}
