"""Define the stored state of a service's shift, which every node reads."""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType
from typing import Any

from chervilmill.documents import decode_document
from chervilmill.steering._hashing import HASH_SPAN
from chervilmill.steering._priorities import link_key
from chervilmill.steering._shares import ShareMap, interpolate
from chervilmill.steering._steps import ShiftStep

STEERING_PREFIX = "steering/"
ALL_REQUESTS = 1.0


class Phase(Enum):
    """Phase of a shift."""

    MOVING = "moving"
    PAUSED = "paused"
    RETURNING = "returning"
    DONE = "done"
    RETURNED = "returned"

    @property
    def is_final(self) -> bool:
        """Return whether the shift has ended."""
        return self in (Phase.DONE, Phase.RETURNED)


class MalformedStateError(ValueError):
    """Raised for a stored steering object that cannot be decoded."""


@dataclass(frozen=True, slots=True)
class ShiftState:
    """State of a shift, whose current map lies between a base map and a goal map.

    `fraction` is the progress from base to goal, in units of 1 / HASH_SPAN. `sequence` increases
    with every write. `places` names the places that the maps refer to by index. `admitted` holds
    the share of requests that is served, by home region or by link, where that share is below 1
    (see `served_share`). `is_settled` is set once a minute has passed since the last step.
    """

    plan_id: str
    intent: str
    intent_version: int
    plan_revision: int
    places: tuple[str, ...]
    base: ShareMap
    goal: ShareMap
    fraction: int
    steps: tuple[ShiftStep, ...]
    block_count: int
    cap_blocks_per_min: int
    phase: Phase
    reason: str
    sequence: int
    is_settled: bool
    admitted: Mapping[str, float]

    def current_map(self) -> ShareMap:
        """Return the map that currently assigns blocks to places."""
        return interpolate(self.base, self.goal, self.fraction)

    @property
    def blocks_moved(self) -> int:
        """Return how many blocks have left the place that the base map assigns."""
        return max((s.blocks for s in self.steps if s.fraction <= self.fraction), default=0)

    @property
    def blocks_to_move(self) -> int:
        """Return how many blocks the whole shift moves."""
        return self.steps[-1].blocks if self.steps else 0

    def encode(self) -> bytes:
        """Return the stored form."""
        fields = {
            "plan": self.plan_id,
            "intent": self.intent,
            "intent_version": self.intent_version,
            "plan_revision": self.plan_revision,
            "places": list(self.places),
            "base": self.base.to_lists(),
            "goal": self.goal.to_lists(),
            "fraction": self.fraction,
            "steps": [[step.fraction, step.blocks] for step in self.steps],
            "block_count": self.block_count,
            "cap_blocks_per_min": self.cap_blocks_per_min,
            "phase": self.phase.value,
            "reason": self.reason,
            "sequence": self.sequence,
            "is_settled": self.is_settled,
            "admitted": dict(self.admitted),
        }
        return json.dumps(fields, separators=(",", ":")).encode()


def served_share(admitted: Mapping[str, float], home: str, place: str) -> float:
    """Return the share of requests served, by the regions of the home and of the place."""
    return admitted.get(home, ALL_REQUESTS) * admitted.get(link_key(home, place), ALL_REQUESTS)


def decode_state(body: bytes) -> ShiftState:
    """Return the state from its stored form, or raise MalformedStateError."""
    try:
        return _state_from_json(decode_document(body))
    except (ArithmeticError, AttributeError, LookupError, TypeError, ValueError) as exc:
        raise MalformedStateError(f"steering object: {exc!r}") from exc


def _state_from_json(raw: dict[str, Any]) -> ShiftState:
    fraction = int(raw["fraction"])
    if not 0 <= fraction <= HASH_SPAN:
        raise ValueError(f"fraction {fraction} is not within 0 to {HASH_SPAN}")
    return ShiftState(
        plan_id=str(raw["plan"]),
        intent=str(raw["intent"]),
        intent_version=int(raw["intent_version"]),
        plan_revision=int(raw["plan_revision"]),
        places=tuple(str(name) for name in raw["places"]),
        base=ShareMap.from_lists(raw["base"]),
        goal=ShareMap.from_lists(raw["goal"]),
        fraction=fraction,
        steps=tuple(ShiftStep(int(f), int(b)) for f, b in raw["steps"]),
        block_count=int(raw["block_count"]),
        cap_blocks_per_min=int(raw["cap_blocks_per_min"]),
        phase=Phase(raw["phase"]),
        reason=str(raw["reason"]),
        sequence=int(raw["sequence"]),
        is_settled=bool(raw["is_settled"]),
        admitted=MappingProxyType({str(k): float(v) for k, v in raw["admitted"].items()}),
    )
