"""Step of the demonstration: a draining target gets no new requests."""

import time

from chervilmill.standins.demo._load import Load
from chervilmill.standins.demo._report import Report
from chervilmill.standins.demo._site import Site

LOAD_BEFORE_DRAIN_S = 1.5
OBSERVATION_S = 5.0
MAX_DRAIN_DELAY_S = 3.0


def show_drain(site: Site, report: Report) -> None:
    """Drain the busiest target under load and measure when its last new request arrives."""
    entries = (site.entries[0], site.entries[2])
    requests_before_load = _request_counts(site)
    with Load(site, entries) as load:
        time.sleep(LOAD_BEFORE_DRAIN_S)
        requests_at_drain = _request_counts(site)
        target = max(
            requests_at_drain, key=lambda name: requests_at_drain[name] - requests_before_load[name]
        )
        before = requests_at_drain[target] - requests_before_load[target]
        drained_s = time.time()
        marked = site.command(entries[0], "drain", target)
        time.sleep(OBSERVATION_S)
        stats = site.stats()[target]
    last_s = max(0.0, stats["last_request_s"] - drained_s)
    report.line(f"{target}, the busiest one, marked as leaving in revision {marked['version']}")
    after = stats["requests"] - requests_at_drain[target]
    report.line(f"its requests under load: {before} before the command, {after} after it")
    report.line(
        f"last new request {last_s:.2f} s after the command; watched for {OBSERVATION_S:.0f} s"
    )
    report.line("answers during the drain: " + _format_outcomes(load.outcomes))
    report.claim("the target had work before it was told to leave", before > 0)
    report.claim(f"it got no new work after {MAX_DRAIN_DELAY_S:.0f} s", last_s <= MAX_DRAIN_DELAY_S)
    report.claim("no request failed meanwhile", set(load.outcomes) == {"200"})


def _request_counts(site: Site) -> dict[str, int]:
    return {name: int(stats["requests"]) for name, stats in site.stats().items()}


def _format_outcomes(outcomes: dict[str, int]) -> str:
    return ", ".join(f"{count} of {name}" for name, count in sorted(outcomes.items()))
