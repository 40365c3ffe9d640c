"""Format a plan as short tables of text."""

from collections.abc import Iterator
from typing import Any

MAX_ROWS = 12
PERCENT = 100


def plan_lines(plan: dict[str, Any], token: str) -> Iterator[str]:
    """Yield the lines of text for a plan that is given in its JSON form."""
    steps = plan["steps"]
    kind = "emergency plan" if plan["is_emergency"] else "plan"
    yield f"{kind} {token}"
    yield f"intent {plan['intent']} of {plan['service']}, computed on revision {plan['revision']}"
    last = steps[-1] if steps else plan["before"]
    yield (
        f"moves {last['blocks_moved']} of {plan['blocks']} blocks in {len(steps)} steps, "
        f"at most {plan['cap_blocks_per_min']} a minute"
    )
    yield ""
    yield from _step_table(plan["before"], steps)
    yield ""
    yield from _place_table(plan["before"], last)
    yield from _link_table(plan["before"], last)
    yield from _notes(plan, last)


def _step_table(before: dict[str, Any], steps: list[dict[str, Any]]) -> Iterator[str]:
    yield (
        f"{'step':>5} {'after':>7} {'blocks':>8} {'moved':>9} {'fullest':>8} "
        f"{'one domain lost':>22} {'one region lost':>22}"
    )
    for number, step in _abbreviated([before, *steps]):
        if step is None:
            yield "  ..."
            continue
        fullest = max(_utilisation(*load) for load in step["places"].values())
        yield (
            f"{number:>5} {step['after_s']:>5.0f} s {step['blocks_moved']:>8} "
            f"{step['requests_per_s_moved']:>7.1f}/s {fullest:>6.0f} % "
            f"{_loss(step['worst_domain_loss']):>22} {_loss(step['worst_region_loss']):>22}"
        )


def _abbreviated(rows: list[dict[str, Any]]) -> Iterator[tuple[int, dict[str, Any] | None]]:
    """Yield the first and the last rows, and one None in place of the rows between them."""
    half = MAX_ROWS // 2
    for number, row in enumerate(rows):
        if len(rows) <= MAX_ROWS or number < half or number >= len(rows) - half:
            yield number, row
        elif number == half:
            yield number, None


def _loss(loss: dict[str, Any]) -> str:
    if not loss["lost"]:
        return "-"
    if loss["refused_requests_per_s"]:
        return f"{loss['lost']} {loss['refused_requests_per_s']:.1f}/s refused"
    return f"{loss['lost']} {loss['utilisation'] * PERCENT:.0f} %"


def _place_table(before: dict[str, Any], last: dict[str, Any]) -> Iterator[str]:
    yield f"{'place':<20} {'before':>10} {'after':>10} {'limit':>10}  requests/s"
    for name, (load, limit) in last["places"].items():
        yield f"{name:<20} {before['places'][name][0]:>10.1f} {load:>10.1f} {limit:>10.1f}"


def _link_table(before: dict[str, Any], last: dict[str, Any]) -> Iterator[str]:
    used = {
        name: load for name, load in last["links"].items() if load[0] or before["links"][name][0]
    }
    if not used:
        return
    yield ""
    yield f"{'link':<20} {'before':>10} {'after':>10} {'limit':>10}  Mbit/s"
    for name, (load, limit) in used.items():
        yield f"{name:<20} {before['links'][name][0]:>10.1f} {load:>10.1f} {limit:>10.1f}"


def _notes(plan: dict[str, Any], last: dict[str, Any]) -> Iterator[str]:
    yield ""
    yield (
        f"cold start: {last['cold_connections']} connections, "
        f"{last['cold_start_s']:.1f} s of targets' time"
    )
    yield f"greatest headroom with one failure domain lost: {plan['best_headroom'] * PERCENT:.0f} %"
    shares = plan["undo"]["shares_before"].items()
    yield "undo: " + plan["undo"]["while_moving"]
    yield "      later by shares " + ", ".join(f"{place} {percent} %" for place, percent in shares)
    for refused in plan["refused"]:
        yield (
            f"will be refused: {refused['requests_per_s']:.1f} requests/s of {refused['region']} "
            f"({refused['admitted'] * PERCENT:.0f} % admitted)"
        )
    for item in plan["yields"]:
        yield (
            f"{item['service']} yields {item['link']}: {item['refused_mbit_per_s']:.1f} Mbit/s "
            f"will be refused ({item['admitted'] * PERCENT:.0f} % admitted)"
        )
    for refusal in plan["refusals"]:
        yield f"MAY NOT BE CONFIRMED ({refusal['cause']}): {refusal['detail']}"


def _utilisation(load: float, limit: float) -> float:
    if limit > 0:
        return load / limit * PERCENT
    return PERCENT if load > 0 else 0.0
