"""Compare the product's target selection with simple baseline policies under the same load."""

from collections.abc import Iterator

from bench._rows import Figure
from bench.requests._load import POLICIES, SCENARIOS, Result, Scenario, run

PRODUCT = "steered"
BASELINES = tuple(policy for policy in POLICIES if policy != PRODUCT)


def comparison_figures(seed: int, scenarios: tuple[Scenario, ...] = SCENARIOS) -> Iterator[Figure]:
    """Yield the figures of every policy in each scenario, followed by the p99 ratios.

    A latency is the time from the arrival of a request to its complete answer. Only requests that
    were answered within their deadline have a latency.
    """
    for scenario in scenarios:
        results = {policy: run(scenario, policy, seed) for policy in POLICIES}
        for policy, result in results.items():
            yield from _result_figures(f"{scenario.name}.{policy}", result)
        yield from _ratio_figures(scenario.name, results)


def _result_figures(prefix: str, result: Result) -> Iterator[Figure]:
    yield Figure(f"{prefix}.median", result.median_ms, "ms")
    yield Figure(f"{prefix}.p99", result.p99_ms, "ms")
    yield Figure(f"{prefix}.p99_9", result.p999_ms, "ms")
    yield Figure(f"{prefix}.refused", 100 * result.refused_share, "%")
    yield Figure(f"{prefix}.worst_target", result.peak_target_load, "requests")
    yield Figure(f"{prefix}.goodput", 100 * result.goodput_share, "% of capacity")
    yield Figure(f"{prefix}.sent", result.sent_per_received, "per received")


def _ratio_figures(name: str, results: dict[str, Result]) -> Iterator[Figure]:
    product = results[PRODUCT]
    best_ms = min(results[policy].p99_ms for policy in BASELINES)
    yield Figure(f"{name}.p99_to_best_baseline", product.p99_ms / best_ms, "times")
    round_robin_ms = results["round_robin"].p99_ms
    yield Figure(f"{name}.round_robin_p99_to_own", round_robin_ms / product.p99_ms, "times")
