"""Tell whether an entry VM was in touch, which most promises with a time bound require.

A store whose answers take long is sound. One that refuses reads within its rates is not: it excuses
VMs as other disruptions of the store do, but stretches the bounds of configurations and evacuations
instead of lifting them.
"""

import math
from collections.abc import Iterable

from soak.records import Attempt, History

STABLE_WINDOW_S = 4.0  # stable-window-s of the site
MAX_STRETCH_S = 6.0  # max-stretch-s of the site


def own_delay_s(history: History, at_s: float) -> float:
    """Return by how much a record of a time may be late, as the soak itself was."""
    return max(
        (until_s - from_s for from_s, until_s in history.own_delays if from_s <= at_s <= until_s),
        default=0.0,
    )


def was_in_touch(history: History, attempt: Attempt, at_s: float) -> bool:
    """Return whether the VM was in touch from the sending of a request until it was handled."""
    return stretch_s(history, attempt, at_s) == 0.0


def stretch_s(history: History, attempt: Attempt, at_s: float) -> float:
    """Return by how much the bounds of configurations and evacuations are stretched for a request.

    They do not hold (infinity) near a disruption of the VM or another one of the store.
    """
    if not was_undisturbed(history, attempt, at_s):
        return math.inf
    if _is_near(history.store_disruptions, attempt, at_s):
        return math.inf
    return MAX_STRETCH_S if _is_near(history.store_refusals, attempt, at_s) else 0.0


def was_undisturbed(history: History, attempt: Attempt, at_s: float) -> bool:
    """Return whether the VM itself was undisturbed, whatever happened to the store."""
    own = [(from_s, until_s) for vm, from_s, until_s in history.vm_disruptions if vm == attempt.vm]
    return not _is_near(own, attempt, at_s)


def _is_near(spans: Iterable[tuple[float, float]], attempt: Attempt, at_s: float) -> bool:
    return any(
        from_s <= at_s and attempt.sent_s - STABLE_WINDOW_S <= until_s for from_s, until_s in spans
    )
