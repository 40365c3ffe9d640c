"""Check that listed failures, and no others, are printed and don't fail the run."""

import pytest

from bench._known_red import KnownRed, KnownRedError, load_known_red
from tests.known_red import KnownRedPlugin

MODULE = """
import pytest

@pytest.fixture
def broken():
    raise RuntimeError("no setup")

def test_listed(): assert 1 == 2
def test_listed_setup(broken): pass
def test_mended(): pass
def test_other(): {other}
"""


def entry(name: str) -> KnownRed:
    return KnownRed(f"test_module.py::{name}", "pytest", "one is not two", "7")


@pytest.mark.parametrize(("other", "exit_code"), [("pass", 0), ("assert False", 1)])
def test_only_listed_failures_are_passed_over(pytester, other: str, exit_code: int) -> None:
    pytester.makepyfile(test_module=MODULE.format(other=other))
    listed = ("test_listed", "test_listed_setup", "test_mended", "test_gone")
    entries = {item.test: item for item in map(entry, listed)}
    result = pytester.runpytest_inprocess(plugins=[KnownRedPlugin(entries)])
    assert result.ret == exit_code
    result.stdout.fnmatch_lines(
        [
            "*KNOWN-RED.txt*",
            "test_module.py::test_listed: known red: one is not two (issue 7)",
            "test_module.py::test_listed_setup: known red: one is not two (issue 7)",
            "test_module.py::test_mended: no longer fails, take it out",
            "test_module.py::test_gone: not run",
        ]
    )
    result.assert_outcomes(passed=2 - exit_code, failed=exit_code, xfailed=2)


def test_file_holds_one_entry_a_line(tmp_path) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("# remark\n\na.py::test | pytest | seen | 7\n")
    assert load_known_red(path) == {"a.py::test": KnownRed("a.py::test", "pytest", "seen", "7")}
    path.write_text("a.py::test | pytest | | 7\n")
    with pytest.raises(KnownRedError, match="line 1"):
        load_known_red(path)


def test_file_of_the_repository_is_well_formed() -> None:
    load_known_red()
