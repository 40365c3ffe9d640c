"""Measure the time until callers receive the first part and the whole answer of a digest."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from bench._rows import Figure
from bench.checker import CallerRecord, Outcome, RequestKind, Trace

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1_000
PERCENTILES = {"median": 50.0, "p99": 99.0, "p99_9": 99.9}


@dataclass(frozen=True, slots=True)
class DigestTimes:
    """The times of one digest over all its attempts, or None if no answer was whole."""

    first_part_s: float | None
    whole_s: float | None


def digest_times(trace: Trace, from_s: float, until_s: float) -> list[DigestTimes]:
    """Return the times of the digests that were due in an interval after the start of the run."""
    attempts: dict[str, list[CallerRecord]] = {}
    for record in trace.attempts:
        if record.kind is RequestKind.DIGEST and "/digest/" in record.expected:
            attempts.setdefault(record.expected, []).append(record)
    times = []
    for records in attempts.values():
        due_s = min(record.due_s for record in records)
        if from_s <= due_s - trace.started_s <= until_s:
            times.append(_times_of_first_whole(records, due_s))
    return times


def latency_figures(prefix: str, times: list[DigestTimes]) -> Iterator[Figure]:
    """Yield the percentiles in milliseconds, the number of digests and the unanswered share."""
    first = [item.first_part_s for item in times if item.first_part_s is not None]
    whole = [item.whole_s for item in times if item.whole_s is not None]
    for name, values in (("first_part", first), ("whole", whole)):
        histogram = _histogram(values)
        for label, percentile in PERCENTILES.items():
            value_ms = histogram.get_value_at_percentile(percentile) / US_PER_MS
            yield Figure(f"{prefix}.{name}.{label}", value_ms, "ms")
    yield Figure(f"{prefix}.digests", len(times), "digests")
    unanswered = len(times) - len(whole)
    yield Figure(f"{prefix}.unanswered", 100 * unanswered / max(1, len(times)), "%")


def _times_of_first_whole(records: Iterable[CallerRecord], due_s: float) -> DigestTimes:
    for record in records:
        if record.outcome is Outcome.WHOLE and record.first_part_s is not None:
            return DigestTimes(record.first_part_s - due_s, record.ended_s - due_s)
    return DigestTimes(None, None)


def _histogram(values_s: Iterable[float]) -> HdrHistogram:
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    for value_s in values_s:
        histogram.record_value(int(value_s * US_PER_S))
    return histogram
