"""Choose a target for each request of one service at one entry VM.

A request goes to a free home slot of this entry VM if there is one. Otherwise a few targets are
sampled at random and the one with the lowest estimated load is chosen, as in power-of-d choices.
The estimates reuse the load that targets report in their answers, as in Prequal (Wydrowski and
others, NSDI 2024).
"""

import random
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from chervilmill.requests._shares import home_slots, reachable_targets
from chervilmill.requests._target_state import (
    AttemptEnd,
    ReportedLoad,
    TargetCondition,
    TargetState,
)

SAMPLED_TARGETS = 4
RESAMPLED_TARGETS = 8  # if no target of the first sample has room
MAX_EJECTED_SHARE = 0.5
MAX_LATENCY_PENALTY = 3.0
OTHERS_EWMA_WEIGHT = 0.05
FAILED_EWMA_WEIGHT = 0.02
MAX_FAILED_SHARE = 0.15


@dataclass(frozen=True, slots=True)
class TargetInfo:
    """A target as listed at an entry VM.

    `is_in_region` is True if the target is in the region of the entry VM.
    """

    name: str
    slots: int
    is_in_region: bool = True
    failure_domain: str = ""


@dataclass(frozen=True, slots=True)
class AllowedDomains:
    """The failure domains where a request may run, and the domain to try first, if any."""

    allowed: frozenset[str]
    preferred: str | None = None


class TargetPolicy:
    """Chooses among the targets of one service by what one entry VM knows about them.

    `may_send` returns whether a target takes one more request from this entry VM at a time, by the
    rate that all entry VMs share.
    """

    def __init__(
        self, entry: str, may_send: Callable[[str, float], bool] = lambda _name, _now_s: True
    ) -> None:
        self._entry = entry
        self._may_send = may_send
        self._states: dict[str, TargetState] = {}
        self._in_region: frozenset[str] = frozenset()
        self._home_slots: dict[str, int] = {}
        self._home_targets: list[str] = []
        self._reachable: list[str] = []
        self._domains: dict[str, str] = {}
        self._last_update: tuple[tuple[str, ...], tuple[TargetInfo, ...]] = ((), ())
        self._expected_others = 0.0
        self._median_latency_s: float | None = None
        self._ended_attempts = 0
        self._failed_share = 0.0

    def update(self, targets: Sequence[TargetInfo], entries: Sequence[str], now_s: float) -> None:
        """Apply the current lists of targets and entry VMs.

        Targets that join after the first list count as cold. A target that left the list is
        removed once it has no attempts in flight.
        """
        listed = (tuple(entries), tuple(targets))
        if listed == self._last_update:
            return
        is_first = not self._states
        self._last_update = listed
        names = {target.name for target in targets}
        for gone in [name for name in self._states if name not in names]:
            if not self._states[gone].in_flight:
                del self._states[gone]
        for target in targets:
            if target.name not in self._states:
                state = TargetState(target.name, target.slots, now_s, is_cold=not is_first)
                self._states[target.name] = state
        self._domains = {target.name: target.failure_domain for target in targets}
        self._in_region = frozenset(target.name for target in targets if target.is_in_region)
        in_region = {target.name: target.slots for target in targets if target.is_in_region}
        self._home_slots = home_slots(self._entry, entries, in_region)
        self._home_targets = sorted(self._home_slots)
        reachable = {*reachable_targets(self._entry, entries, sorted(names)), *self._home_slots}
        self._reachable = [target.name for target in targets if target.name in reachable]

    def start_attempt(
        self,
        now_s: float,
        rng: random.Random,
        excluded: Collection[str] = (),
        only: str | None = None,
        domains: AllowedDomains | None = None,
    ) -> str | None:
        """Choose a target with room and count an attempt there; return None if there is none.

        If `only` is given, no other target is chosen. Without `domains`, targets outside the region
        are chosen only if no target within the region is available.
        """
        if only is not None:
            is_free = self.is_open(only, now_s) and self._has_room(only, now_s)
            is_free = is_free and self._may_send(only, now_s)
            name = only if is_free and only not in excluded else None
        else:
            name = self._choose(now_s, rng, excluded, domains)
        if name is not None:
            self._states[name].start_attempt()
        return name

    def end_attempt(
        self, name: str, end: AttemptEnd, now_s: float, latency_s: float | None = None
    ) -> None:
        """Count an attempt that ended and update the state of its target.

        `latency_s` is the time to the first part of the answer.
        """
        state = self._states.get(name)
        if state is None:
            return
        has_failed = end in (AttemptEnd.FAILED, AttemptEnd.UNREACHABLE)
        self._failed_share += FAILED_EWMA_WEIGHT * (has_failed - self._failed_share)
        state.end_attempt(end, now_s, latency_s, may_eject=self._failed_share < MAX_FAILED_SHARE)
        self._ended_attempts += 1
        if self._ended_attempts % 64 == 0:
            self._refresh_median()

    def record_load(self, name: str, load: ReportedLoad, now_s: float) -> None:
        """Record the load that a target reported in an answer or to a probe."""
        state = self._states.get(name)
        if state is None:
            return
        others = max(0, load.in_flight - state.in_flight)
        self._expected_others += OTHERS_EWMA_WEIGHT * (others - self._expected_others)
        state.record_load(load, now_s)

    def probes_due(self, now_s: float) -> list[str]:
        """Return the targets to probe now.

        They are the unreachable and the leaving targets that are due, and the silent targets at
        which this entry VM has home slots.
        """
        return [
            name
            for name, state in self._states.items()
            if state.is_probe_due(now_s) or (name in self._home_slots and state.is_silent(now_s))
        ]

    def record_probe(self, name: str, is_reached: bool, now_s: float) -> None:
        """Record whether a probe reached a target."""
        if name in self._states:
            self._states[name].record_probe(is_reached, now_s)

    def set_condition(self, name: str, condition: TargetCondition, now_s: float) -> bool:
        """Record the condition a target reports; return whether it has just begun to leave."""
        state = self._states.get(name)
        return state is not None and state.set_condition(condition, now_s)

    def set_probed_condition(self, name: str, condition: TargetCondition, now_s: float) -> bool:
        """Record the condition found by a probe; return whether the target has begun to leave."""
        state = self._states.get(name)
        return state is not None and state.set_probed_condition(condition, now_s)

    def in_flight(self) -> Mapping[str, int]:
        """Return the number of attempts in flight for each target."""
        return {name: state.in_flight for name, state in self._states.items()}

    def is_open(self, name: str, now_s: float) -> bool:
        """Return whether a target may be chosen, regardless of its load."""
        return name in self._states and self._states[name].is_open(now_s)

    def has_target(self, excluded: Collection[str]) -> bool:
        """Return whether any reachable target is neither excluded nor leaving."""
        return any(
            name not in excluded and not self._states[name].is_leaving for name in self._reachable
        )

    def rate_limited(
        self,
        now_s: float,
        excluded: Collection[str] = (),
        only: str | None = None,
        domains: AllowedDomains | None = None,
    ) -> list[str]:
        """Return the targets that a request could use if their rates allowed it.

        The list is empty if a rate keeps the request from none of its targets, or not from all.
        """
        if only is not None:
            names = [only] if only in self._states else []
        elif domains is not None:
            names = self._allowed(excluded, domains)
        else:
            names = self._in_region_or_all(excluded)
        names = [name for name in names if self.is_open(name, now_s)]
        return [] if any(self._may_send(name, now_s) for name in names) else names

    def _choose(
        self,
        now_s: float,
        rng: random.Random,
        excluded: Collection[str],
        domains: AllowedDomains | None,
    ) -> str | None:
        if domains is None:
            return self._choose_among(now_s, rng, self._in_region_or_all(excluded))
        allowed = self._allowed(excluded, domains)
        preferred = [name for name in allowed if self._domains[name] == domains.preferred]
        name = self._choose_among(now_s, rng, preferred) if preferred else None
        return name or self._choose_among(now_s, rng, allowed)

    def _allowed(self, excluded: Collection[str], domains: AllowedDomains) -> list[str]:
        return [
            name
            for name in self._reachable
            if name not in excluded and self._domains[name] in domains.allowed
        ]

    def _choose_among(
        self,
        now_s: float,
        rng: random.Random,
        names: Collection[str],
    ) -> str | None:
        names = [name for name in names if self._may_send(name, now_s)]
        home = self._with_free_home_slot(now_s, names)
        if home:
            return self._least_loaded(home, now_s, rng)
        candidates = self._open_or_all(now_s, names)
        for sample_size in (SAMPLED_TARGETS, RESAMPLED_TARGETS):
            sampled = rng.sample(candidates, min(sample_size, len(candidates)))
            with_room = [name for name in sampled if self._has_room(name, now_s)]
            if with_room:
                return self._least_loaded(with_room, now_s, rng)
        return None

    def _has_room(self, name: str, now_s: float) -> bool:
        home = self._home_slots.get(name, 0)
        return self._states[name].has_room(now_s, home, self._expected_others)

    def _with_free_home_slot(self, now_s: float, names: Collection[str]) -> list[str]:
        return [
            name
            for name in self._home_targets
            if name in names
            and self._states[name].in_flight < self._home_slots[name]
            and self._states[name].is_open(now_s)
            and self._has_room(name, now_s)
        ]

    def _in_region_or_all(self, excluded: Collection[str]) -> list[str]:
        """Return the available targets in the region, or all available ones if it has none."""
        listed = [name for name in self._reachable if name not in excluded]
        available = [name for name in listed if not self._states[name].is_unavailable]
        return [name for name in available if name in self._in_region] or available

    def _open_or_all(self, now_s: float, names: Collection[str]) -> list[str]:
        """Return the available targets that are open, or all if too many of them are ejected.

        If most targets are ejected, the ejections are more likely wrong than right and are
        therefore ignored.
        """
        available = [name for name in names if not self._states[name].is_unavailable]
        open_targets = [name for name in available if self._states[name].is_open(now_s)]
        return (
            open_targets
            if len(open_targets) >= (1 - MAX_EJECTED_SHARE) * len(available)
            else available
        )

    def _least_loaded(self, names: Sequence[str], now_s: float, rng: random.Random) -> str:
        return min(names, key=self._scorer(now_s, rng))

    def _scorer(self, now_s: float, rng: random.Random) -> Callable[[str], tuple[float, float]]:
        def score(name: str) -> tuple[float, float]:
            state = self._states[name]
            occupancy = state.occupancy(now_s, self._expected_others)
            return ((occupancy + 1 / state.slots) * self._latency_penalty(state), rng.random())

        return score

    def _latency_penalty(self, state: TargetState) -> float:
        if state.latency_s is None or not self._median_latency_s:
            return 1.0
        return min(MAX_LATENCY_PENALTY, max(1.0, state.latency_s / self._median_latency_s))

    def _refresh_median(self) -> None:
        known = sorted(s.latency_s for s in self._states.values() if s.latency_s is not None)
        self._median_latency_s = known[len(known) // 2] if known else None
