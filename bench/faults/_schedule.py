"""Choose the faults of a run from its seed."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from bench.fleet import Shape

FAULTS_PER_RUN = 4
EARLIEST_START_S = 2.0
LATEST_START_S = 5.0
SHORTEST_FAULT_S = 2.0
LONGEST_FAULT_S = 4.0
DRAIN_EXTRA_S = 3.0


class FaultKind(Enum):
    """The kind of an injected fault."""

    ENTRY_KILLED = "entry killed"
    ENTRY_PAUSED = "entry paused"
    TARGET_KILLED = "target killed"
    DOMAIN_LOST = "failure domain lost"
    REGIONS_PARTED = "regions parted"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    REPLIES_LOST = "store replies lost"
    VM_LIST_STALE = "list of VMs stale"
    TARGET_DRAINS = "target drains"
    CRASH_REQUEST = "crash request resent"
    ROLLING_REPLACEMENT = "rolling replacement"


class LeavingSign(Enum):
    """How a target's leaving is announced."""

    VM_LIST = "by the list of VMs"
    CONFIGURATION = "by an operator"
    ANSWERS = "by its answers"


_STORE_FAULTS = {FaultKind.STORE_DOWN, FaultKind.STORE_SLOW, FaultKind.VM_LIST_STALE}


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault, the names that it affects and its times in seconds after the start of the run."""

    kind: FaultKind
    names: tuple[str, ...]
    from_s: float
    until_s: float

    def __str__(self) -> str:
        names = ", ".join(self.names)
        return f"{self.from_s:.1f} to {self.until_s:.1f} s: {self.kind.value} {names}".rstrip()


def schedule_faults(shape: Shape, seed: int) -> tuple[PlannedFault, ...]:
    """Return the faults of a run, of which two or three overlap."""
    rng = random.Random(f"{shape.name} {seed}")
    kinds = rng.sample(list(FaultKind), FAULTS_PER_RUN)
    faults = []
    for kind in kinds:
        from_s = rng.uniform(EARLIEST_START_S, LATEST_START_S)
        until_s = from_s + rng.uniform(SHORTEST_FAULT_S, LONGEST_FAULT_S)
        if kind is FaultKind.TARGET_DRAINS:
            until_s += DRAIN_EXTRA_S
        faults.append(PlannedFault(kind, _fault_names(kind, kinds, shape, rng), from_s, until_s))
    return tuple(sorted(faults, key=lambda fault: fault.from_s))


def single_fault(
    kind: FaultKind, shape: Shape, seed: int, from_s: float, until_s: float
) -> PlannedFault:
    """Return one fault of a kind, with affected names chosen by the seed."""
    rng = random.Random(f"{shape.name} {kind.value} {seed}")
    return PlannedFault(kind, _fault_names(kind, (kind,), shape, rng), from_s, until_s)


def _fault_names(
    kind: FaultKind, kinds: Sequence[FaultKind], shape: Shape, rng: random.Random
) -> tuple[str, ...]:
    names = _affected_names(kind, shape, rng)
    if kind is FaultKind.TARGET_DRAINS:
        names += (_leaving_sign(kinds, rng).value,)
    return names


def _leaving_sign(kinds: Sequence[FaultKind], rng: random.Random) -> LeavingSign:
    """Choose a sign that can still be read during the other faults of the run."""
    sign = rng.choice(list(LeavingSign))
    return sign if _STORE_FAULTS.isdisjoint(kinds) else LeavingSign.ANSWERS


def _affected_names(kind: FaultKind, shape: Shape, rng: random.Random) -> tuple[str, ...]:
    domains = [place.failure_domain for place in shape.places]
    match kind:
        case FaultKind.ENTRY_KILLED | FaultKind.ENTRY_PAUSED:
            return (f"entry-{rng.choice(domains)}-1",)
        case FaultKind.TARGET_KILLED:
            return (f"target-{rng.choice(domains)}-1",)
        case FaultKind.TARGET_DRAINS:
            return (f"target-{rng.choice(domains)}-2",)
        case FaultKind.ROLLING_REPLACEMENT:
            return tuple(f"entry-{domain}-2" for domain in rng.sample(domains, 2))
        case FaultKind.DOMAIN_LOST:
            return (rng.choice(domains),)
        case FaultKind.REGIONS_PARTED:
            return tuple(rng.sample(shape.regions, 2))
    return ()
