"""Choose the targets of one service for one entry VM.

A request goes to a home slot of this node while one is free. Otherwise a few targets are drawn and
the one with the lowest estimated load is taken, as in power-of-d choices; what the targets' answers
say of their load is reused, as in Prequal (Wydrowski and others, NSDI 2024).
"""

import random
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from chervilmill.requests._shares import home_slots, reachable_targets
from chervilmill.requests._target_state import (
    AttemptEnd,
    LoadReading,
    TargetCondition,
    TargetState,
)

CHOICES = 4
FURTHER_CHOICES = 8
MAX_EJECTED_SHARE = 0.5
MAX_SLOW_PENALTY = 3.0
OTHERS_WEIGHT = 0.05
FAILED_WEIGHT = 0.02
MAX_FAILED_SHARE = 0.15


@dataclass(frozen=True, slots=True)
class TargetInfo:
    """Describe a target as the node's list has it; `is_near` holds within the node's region."""

    name: str
    slots: int
    is_near: bool = True
    failure_domain: str = ""


@dataclass(frozen=True, slots=True)
class Domains:
    """Hold the failure domains where a request may run, and the one to try first, if any."""

    allowed: frozenset[str]
    first: str | None = None


class TargetPolicy:
    """Hold the knowledge of one entry VM about the targets of one service."""

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._states: dict[str, TargetState] = {}
        self._near: frozenset[str] = frozenset()
        self._home: dict[str, int] = {}
        self._home_order: list[str] = []
        self._reachable: list[str] = []
        self._domains: dict[str, str] = {}
        self._listed: tuple[tuple[str, ...], tuple[TargetInfo, ...]] = ((), ())
        self._expected_others = 0.0
        self._median_latency_s: float | None = None
        self._answers = 0
        self._failed_share = 0.0

    def update(self, targets: Sequence[TargetInfo], entries: Sequence[str], now_s: float) -> None:
        """Take in the present lists of targets and of entry VMs."""
        listed = (tuple(entries), tuple(targets))
        if listed == self._listed:
            return
        is_first = not self._states
        self._listed = listed
        names = {target.name for target in targets}
        for gone in [name for name in self._states if name not in names]:
            if not self._states[gone].in_flight:
                del self._states[gone]
        for target in targets:
            if target.name not in self._states:
                state = TargetState(target.name, target.slots, now_s, is_cold=not is_first)
                self._states[target.name] = state
        self._domains = {target.name: target.failure_domain for target in targets}
        self._near = frozenset(target.name for target in targets if target.is_near)
        near = {target.name: target.slots for target in targets if target.is_near}
        self._home = home_slots(self._entry, entries, near)
        self._home_order = sorted(self._home)
        reachable = {*reachable_targets(self._entry, entries, sorted(names)), *self._home}
        self._reachable = [target.name for target in targets if target.name in reachable]

    def take(
        self,
        now_s: float,
        rng: random.Random,
        excluded: Collection[str] = (),
        only: str | None = None,
        domains: Domains | None = None,
    ) -> str | None:
        """Return a target with room and count the attempt there, or None where there is none.

        Where `only` is given, no other target is taken. Without `domains`, near targets are taken,
        and others where no near one takes work.
        """
        if only is not None:
            is_free = self.is_open(only, now_s) and self._has_room(only, now_s)
            name = only if is_free and only not in excluded else None
        else:
            name = self._choose(now_s, rng, excluded, domains)
        if name is not None:
            self._states[name].start()
        return name

    def end(self, name: str, end: AttemptEnd, now_s: float, latency_s: float | None = None) -> None:
        """Count an attempt that has ended; the latency is that to its first part."""
        state = self._states.get(name)
        if state is None:
            return
        has_failed = end in (AttemptEnd.FAILED, AttemptEnd.UNREACHABLE)
        self._failed_share += FAILED_WEIGHT * (has_failed - self._failed_share)
        state.end(end, now_s, latency_s, may_eject=self._failed_share < MAX_FAILED_SHARE)
        self._answers += 1
        if self._answers % 64 == 0:
            self._refresh_median()

    def read(self, name: str, reading: LoadReading, now_s: float) -> None:
        """Take in the load that a target stated in an answer or a probe."""
        state = self._states.get(name)
        if state is None:
            return
        others = max(0, reading.in_flight - state.in_flight)
        self._expected_others += OTHERS_WEIGHT * (others - self._expected_others)
        state.read(reading, now_s)

    def probes_due(self, now_s: float) -> list[str]:
        """Return the targets to probe now.

        Those are targets that could not be reached or leave, and silent ones with home slots here.
        """
        return [
            name
            for name, state in self._states.items()
            if state.is_probe_due(now_s) or (name in self._home and state.is_silent(now_s))
        ]

    def probed(self, name: str, is_reached: bool, now_s: float) -> None:
        """Take in the end of a probe."""
        if name in self._states:
            self._states[name].probed(is_reached, now_s)

    def set_condition(self, name: str, condition: TargetCondition, now_s: float) -> bool:
        """Take in what a target says of itself and return whether it began to leave."""
        state = self._states.get(name)
        return state is not None and state.set_condition(condition, now_s)

    def set_probed_condition(self, name: str, condition: TargetCondition, now_s: float) -> bool:
        """Take in what a probe tells of a target and return whether it began to leave."""
        state = self._states.get(name)
        return state is not None and state.set_probed_condition(condition, now_s)

    def in_flight(self) -> Mapping[str, int]:
        """Return the attempts in flight by target."""
        return {name: state.in_flight for name, state in self._states.items()}

    def is_open(self, name: str, now_s: float) -> bool:
        """Return whether a target may be chosen, were there room."""
        return name in self._states and self._states[name].is_open(now_s)

    def has_target(self, excluded: Collection[str]) -> bool:
        """Return whether any target is listed that is neither excluded nor leaving."""
        return any(
            name not in excluded and not self._states[name].is_leaving for name in self._reachable
        )

    def _choose(
        self,
        now_s: float,
        rng: random.Random,
        excluded: Collection[str],
        domains: Domains | None,
    ) -> str | None:
        if domains is None:
            return self._choose_among(now_s, rng, self._near_or_all(excluded))
        allowed = [
            name
            for name in self._reachable
            if name not in excluded and self._domains[name] in domains.allowed
        ]
        first = [name for name in allowed if self._domains[name] == domains.first]
        name = self._choose_among(now_s, rng, first) if first else None
        return name or self._choose_among(now_s, rng, allowed)

    def _choose_among(
        self,
        now_s: float,
        rng: random.Random,
        names: Collection[str],
    ) -> str | None:
        home = self._free_home(now_s, names)
        if home:
            return self._least_loaded(home, now_s, rng)
        candidates = self._open(now_s, names)
        for choices in (CHOICES, FURTHER_CHOICES):
            drawn = rng.sample(candidates, min(choices, len(candidates)))
            with_room = [name for name in drawn if self._has_room(name, now_s)]
            if with_room:
                return self._least_loaded(with_room, now_s, rng)
        return None

    def _has_room(self, name: str, now_s: float) -> bool:
        home = self._home.get(name, 0)
        return self._states[name].has_room(now_s, home, self._expected_others)

    def _free_home(self, now_s: float, names: Collection[str]) -> list[str]:
        return [
            name
            for name in self._home_order
            if name in names
            and self._states[name].in_flight < self._home[name]
            and self._states[name].is_open(now_s)
            and self._has_room(name, now_s)
        ]

    def _near_or_all(self, excluded: Collection[str]) -> list[str]:
        """Return the near targets, or all where none of the near ones takes work."""
        listed = [name for name in self._reachable if name not in excluded]
        working = [name for name in listed if not self._states[name].is_out_of_work]
        return [name for name in working if name in self._near] or working

    def _open(self, now_s: float, names: Collection[str]) -> list[str]:
        """Return the targets to choose from.

        Where most targets were ejected, ejection is more likely wrong than right and is ignored.
        """
        working = [name for name in names if not self._states[name].is_out_of_work]
        is_open = [name for name in working if self._states[name].is_open(now_s)]
        return is_open if len(is_open) >= (1 - MAX_EJECTED_SHARE) * len(working) else working

    def _least_loaded(self, names: Sequence[str], now_s: float, rng: random.Random) -> str:
        return min(names, key=self._scorer(now_s, rng))

    def _scorer(self, now_s: float, rng: random.Random) -> Callable[[str], tuple[float, float]]:
        def score(name: str) -> tuple[float, float]:
            state = self._states[name]
            occupancy = state.occupancy(now_s, self._expected_others)
            return ((occupancy + 1 / state.slots) * self._slowness(state), rng.random())

        return score

    def _slowness(self, state: TargetState) -> float:
        if state.latency_s is None or not self._median_latency_s:
            return 1.0
        return min(MAX_SLOW_PENALTY, max(1.0, state.latency_s / self._median_latency_s))

    def _refresh_median(self) -> None:
        known = sorted(s.latency_s for s in self._states.values() if s.latency_s is not None)
        self._median_latency_s = known[len(known) // 2] if known else None
