"""Check that the pages name tests, invariants and files that exist."""

import re
from pathlib import Path

import pytest

from bench import measures_page
from bench.checker import INVARIANTS

ROOT = Path(__file__).resolve().parents[2]
DOCS = ROOT / "docs"
PROMISES = (DOCS / "promises.md").read_text()
NAMED_TESTS = re.findall(r"`(tests/[\w/]+\.py)::(\w+)`", PROMISES)
LINKS = [
    (page, link)
    for page in sorted(DOCS.rglob("*.md"))
    for link in re.findall(r"\]\(([^)#:]+)\)", page.read_text())
]


@pytest.mark.parametrize(("file", "test"), NAMED_TESTS)
def test_named_test_exists(file: str, test: str) -> None:
    assert re.search(rf"^def {test}\(", (ROOT / file).read_text(), re.MULTILINE)


def test_every_invariant_is_a_promise_with_a_test() -> None:
    rows = [line for line in PROMISES.splitlines() if line.startswith("| ")]
    for invariant in INVARIANTS:
        found = [row for row in rows if f"`{invariant}`" in row]
        assert found, invariant
        assert all("`tests/" in row for row in found), invariant


@pytest.mark.parametrize(("page", "link"), LINKS, ids=str)
def test_link_leads_to_a_file(page: Path, link: str) -> None:
    assert (page.parent / link).exists()


def test_index_names_every_folder() -> None:
    index = (DOCS / "index.md").read_text()
    folders = {page.parent.relative_to(DOCS) for page in DOCS.rglob("*.md")} - {Path()}
    assert all(f"]({folder}/" in index for folder in folders)


def test_tables_of_the_measures_are_made_from_the_saved_rows() -> None:
    page = measures_page.PAGE.read_text()
    assert measures_page.render(page, measures_page.load_rows()) == page
