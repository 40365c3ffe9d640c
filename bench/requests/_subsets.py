"""Measure how evenly large fleets divide their targets into subsets, also under churn."""

from collections.abc import Iterator

from bench._rows import Figure
from chervilmill.requests import reachable_targets

ENTRIES = 800
TARGETS = 600
REPLACED_ENTRIES = 87


def subset_figures() -> Iterator[Figure]:
    """Yield the subset sizes of 800 entry VMs and the share of targets a day of churn replaces."""
    entries = [f"entry-{index}" for index in range(ENTRIES)]
    targets = [f"target-{index}" for index in range(TARGETS)]
    subsets = {name: set(reachable_targets(name, entries, targets)) for name in entries[::8]}
    sizes = [len(subset) for subset in subsets.values()]
    mean = sum(sizes) / len(sizes)
    yield Figure("subset.mean_targets", mean, "of 600")
    yield Figure("subset.most_to_mean", max(sizes) / mean, "times")
    entries_after = [
        *entries[REPLACED_ENTRIES:],
        *(f"entry-new-{index}" for index in range(REPLACED_ENTRIES)),
    ]
    kept, moved = 0, 0
    for name in subsets:
        if name in entries_after:
            subset_after = set(reachable_targets(name, entries_after, targets))
            kept += len(subsets[name] & subset_after)
            moved += len(subsets[name] - subset_after)
    yield Figure("subset.moved_by_a_day_of_churn", 100 * moved / (kept + moved), "%")
