"""Report the failures listed in KNOWN-RED.txt as expected, and print each of them."""

from collections.abc import Iterator, Mapping

import pytest

from bench._known_red import KnownRed

PREFIX = "known red: "


class KnownRedPlugin:
    """A pytest plugin that reports a listed test as known red, or as no longer red if it passes."""

    def __init__(self, entries: Mapping[str, KnownRed]) -> None:
        self._entries = entries

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_makereport(self, item: pytest.Item) -> Iterator[None]:
        """Turn the failure of a listed test into an expected one that names its entry."""
        report = yield
        entry = self._entries.get(item.nodeid)
        if entry is not None and report.failed:
            report.outcome = "skipped"
            report.wasxfail = f"{PREFIX}{entry.seen} (issue {entry.issue})"
        return report

    def pytest_terminal_summary(self, terminalreporter) -> None:
        """Print every listed test with its outcome."""
        if not self._entries:
            return
        failed = {
            report.nodeid: report.wasxfail
            for report in terminalreporter.stats.get("xfailed", ())
            if report.wasxfail.startswith(PREFIX)
        }
        passed = {report.nodeid for report in terminalreporter.stats.get("passed", ())}
        terminalreporter.section("KNOWN-RED.txt")
        for test in self._entries:
            if test in failed:
                terminalreporter.write_line(f"{test}: {failed[test]}")
            elif test in passed:
                terminalreporter.write_line(f"{test}: no longer fails, take it out")
            elif not test.startswith("bench:"):
                terminalreporter.write_line(f"{test}: not run")
