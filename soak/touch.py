"""Tell whether an entry VM was in touch, which most promises with a time bound require."""

from soak.records import Attempt, History

STABLE_WINDOW_S = 4.0  # stable-window-s of the site


def own_delay_s(history: History, at_s: float) -> float:
    """Return by how much a record of a time may be late, as the soak itself was."""
    return max(
        (until_s - from_s for from_s, until_s in history.own_delays if from_s <= at_s <= until_s),
        default=0.0,
    )


def was_in_touch(history: History, attempt: Attempt, at_s: float) -> bool:
    """Return whether the VM was in touch from the sending of a request until it was handled."""
    return was_undisturbed(history, attempt, at_s) and not any(
        from_s <= at_s and attempt.sent_s - STABLE_WINDOW_S <= until_s
        for from_s, until_s in history.store_disruptions
    )


def was_undisturbed(history: History, attempt: Attempt, at_s: float) -> bool:
    return not any(
        vm == attempt.vm and from_s <= at_s and attempt.sent_s - STABLE_WINDOW_S <= until_s
        for vm, from_s, until_s in history.vm_disruptions
    )
