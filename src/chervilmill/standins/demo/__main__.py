"""Run the demonstration and exit with status 1 if a claim fails."""

import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

from chervilmill.standins.demo._drain import show_drain
from chervilmill.standins.demo._report import Report
from chervilmill.standins.demo._requests import show_digest, show_lookup, show_order
from chervilmill.standins.demo._shift import show_shift
from chervilmill.standins.demo._site import Site
from chervilmill.standins.demo._upload import show_upload

Step = Callable[[Site, Report], None]

STEPS: tuple[tuple[str, Step], ...] = (
    ("Look-up: which entry VM to use", show_lookup),
    ("Digest: partial results as they arrive", show_digest),
    ("Order: sent twice through two entry VMs", show_order),
    ("Shift: an intent, its plan, confirmed", show_shift),
    ("Drain: a target leaves under load", show_drain),
    ("Upload: 64 MB while its entry VM stops", show_upload),
)


def main() -> int:
    """Run all steps and return the exit code."""
    report = Report()
    with tempfile.TemporaryDirectory(prefix="chervilmill-demo-") as folder:
        site = Site(Path(folder))
        try:
            _run(site, report)
        finally:
            site.close()
    return report.close()


def _run(site: Site, report: Report) -> None:
    report.step("Start: 1 platform, 12 targets, 3 entry VMs, each a process on loopback")
    is_up = site.start()
    report.claim("all processes answer", is_up)
    if not is_up:
        return
    for title, show in STEPS:
        report.step(title)
        try:
            show(site, report)
        except Exception as exc:  # count as a failed claim and go on with the next step
            report.claim(f"{title}: {type(exc).__name__}: {exc}", False)


if __name__ == "__main__":
    sys.exit(main())
