"""Show that a target told to leave gets no new work."""

import time

from chervilmill.standins.demo._load import Load
from chervilmill.standins.demo._report import Report
from chervilmill.standins.demo._site import Site

WARM_UP_S = 1.5
WATCH_S = 5.0
MAX_NEW_WORK_S = 3.0


def show_drain(site: Site, report: Report) -> None:
    """Drain a target under load and find the time of its last new request."""
    entries = (site.entries[0], site.entries[2])
    before_load = _requests(site)
    with Load(site, entries) as load:
        time.sleep(WARM_UP_S)
        seen = _requests(site)
        target = max(seen, key=lambda name: seen[name] - before_load[name])
        before = seen[target] - before_load[target]
        drained_s = time.time()
        mark = site.command(entries[0], "drain", target)
        time.sleep(WATCH_S)
        stats = site.stats()[target]
    last_s = max(0.0, stats["last_request_s"] - drained_s)
    report.line(f"{target}, the busiest one, marked as leaving in revision {mark['version']}")
    after = stats["requests"] - seen[target]
    report.line(f"its requests under load: {before} before the command, {after} after it")
    report.line(f"last new request {last_s:.2f} s after the command; watched for {WATCH_S:.0f} s")
    report.line("answers during the drain: " + _shown(load.outcomes))
    report.claim("the target had work before it was told to leave", before > 0)
    report.claim(f"it got no new work after {MAX_NEW_WORK_S:.0f} s", last_s <= MAX_NEW_WORK_S)
    report.claim("no request failed meanwhile", set(load.outcomes) == {"200"})


def _requests(site: Site) -> dict[str, int]:
    return {name: int(stats["requests"]) for name, stats in site.stats().items()}


def _shown(outcomes: dict[str, int]) -> str:
    return ", ".join(f"{count} of {name}" for name, count in sorted(outcomes.items()))
