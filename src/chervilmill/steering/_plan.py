"""Define plans, which describe the effects of a shift before an operator confirms it."""

import json
from dataclasses import dataclass
from enum import Enum
from typing import Any

import xxhash

from chervilmill.steering._priorities import LinkConcession
from chervilmill.steering._shares import ShareMap
from chervilmill.steering._steps import BlockCap, ShiftStep


class RefusalCause(Enum):
    """Cause for which a plan may not be confirmed."""

    CAP_TOO_SMALL = "cap_too_small"
    DOMAIN_LOSS_NOT_SURVIVED = "domain_loss_not_survived"
    LINK_OVERLOADED = "link_overloaded"
    NOT_ENOUGH_CAPACITY = "not_enough_capacity"
    PLACE_OVERLOADED = "place_overloaded"
    SHARE_NOT_POSSIBLE = "share_not_possible"
    SHIFT_IN_PROGRESS = "shift_in_progress"


@dataclass(frozen=True, slots=True)
class PlanRefusal:
    """One reason for which a plan may not be confirmed."""

    cause: RefusalCause
    detail: str


@dataclass(frozen=True, slots=True)
class PlaceLoad:
    """Load of a place and its limit, in requests a second."""

    place: str
    requests_per_s: float
    limit_requests_per_s: float


@dataclass(frozen=True, slots=True)
class LinkLoad:
    """Load of a link in one direction, summed over all services, and its limit, in Mbit/s."""

    source: str
    sink: str
    mbit_per_s: float
    limit_mbit_per_s: float


@dataclass(frozen=True, slots=True)
class Loss:
    """Utilisation and refused load after the loss of one failure domain or region."""

    lost: str
    utilisation: float
    refused_requests_per_s: float


@dataclass(frozen=True, slots=True)
class PlanStep:
    """State after one step; moved blocks and requests are counted from the start of the shift."""

    after_s: float
    blocks_moved: int
    requests_per_s_moved: float
    cold_connections: int
    cold_start_s: float
    places: tuple[PlaceLoad, ...]
    links: tuple[LinkLoad, ...]
    domain_losses: tuple[Loss, ...]
    region_losses: tuple[Loss, ...]

    @property
    def worst_domain_loss(self) -> Loss:
        """Return the failure-domain loss with the most refused load, then highest utilisation."""
        return _worst(self.domain_losses)

    @property
    def worst_region_loss(self) -> Loss:
        """Return the region loss with the most refused load, then the highest utilisation."""
        return _worst(self.region_losses)


@dataclass(frozen=True, slots=True)
class RefusedLoad:
    """Load of a home region that will be refused because capacity is short.

    `admitted` is the share of the region's requests that is still served.
    """

    region: str
    requests_per_s: float
    admitted: float


@dataclass(frozen=True, slots=True)
class UndoShare:
    """Share of a place before the shift, for an intent that undoes the shift."""

    place: str
    percent: float


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan: the effects that it shows to operators and the shift that it carries out.

    A confirm records `goal`. `steps` are the projected states that operators see, one for each
    entry of `shift_steps`. `best_headroom` is the greatest headroom that any placement could keep
    with one failure domain lost.
    """

    intent: str
    service: str
    revision: int
    is_emergency: bool
    block_count: int
    cap: BlockCap
    before: PlanStep
    steps: tuple[PlanStep, ...]
    best_headroom: float
    refused: tuple[RefusedLoad, ...]
    link_concessions: tuple[LinkConcession, ...]
    refusals: tuple[PlanRefusal, ...]
    undo: tuple[UndoShare, ...]
    base: ShareMap
    goal: ShareMap
    shift_steps: tuple[ShiftStep, ...]

    @property
    def may_be_confirmed(self) -> bool:
        """Return whether the plan has no refusals."""
        return not self.refusals

    @property
    def plan_id(self) -> str:
        """Return a digest of the shown content, the goal map and the steps of the shift."""
        content = [self._content(), self.goal.to_lists(), [s.fraction for s in self.shift_steps]]
        return xxhash.xxh3_128_hexdigest(json.dumps(content, sort_keys=True).encode())

    def to_json(self) -> dict[str, Any]:
        """Return the JSON form for operators."""
        return {"plan": self.plan_id, **self._content()}

    def encode(self) -> bytes:
        """Return the JSON text, which is the same byte for byte for equal plans."""
        return json.dumps(self.to_json(), sort_keys=True, indent=1).encode()

    def _content(self) -> dict[str, Any]:
        return {
            "intent": self.intent,
            "service": self.service,
            "revision": self.revision,
            "is_emergency": self.is_emergency,
            "blocks": self.block_count,
            "cap_blocks_per_min": self.cap.blocks_per_min,
            "before": _step_json(self.before),
            "steps": [_step_json(step) for step in self.steps],
            "best_headroom": self.best_headroom,
            "refused": [
                {"region": r.region, "requests_per_s": r.requests_per_s, "admitted": r.admitted}
                for r in self.refused
            ],
            "yields": [
                {
                    "service": c.service,
                    "link": c.key,
                    "admitted": c.admitted,
                    "refused_mbit_per_s": c.refused_mbit_per_s,
                }
                for c in self.link_concessions
            ],
            "refusals": [{"cause": r.cause.value, "detail": r.detail} for r in self.refusals],
            "undo": {
                "while_moving": "the steps are taken back in reverse order under the same cap",
                "shares_before": {share.place: share.percent for share in self.undo},
            },
        }


def _step_json(step: PlanStep) -> dict[str, Any]:
    return {
        "after_s": step.after_s,
        "blocks_moved": step.blocks_moved,
        "requests_per_s_moved": step.requests_per_s_moved,
        "cold_connections": step.cold_connections,
        "cold_start_s": step.cold_start_s,
        "places": {
            load.place: [load.requests_per_s, load.limit_requests_per_s] for load in step.places
        },
        "links": {
            f"{load.source}>{load.sink}": [load.mbit_per_s, load.limit_mbit_per_s]
            for load in step.links
        },
        "domain_losses": _losses_json(step.domain_losses),
        "region_losses": _losses_json(step.region_losses),
        "worst_domain_loss": _loss_json(step.worst_domain_loss),
        "worst_region_loss": _loss_json(step.worst_region_loss),
    }


def _worst(losses: tuple[Loss, ...]) -> Loss:
    return max(losses, key=lambda loss: (loss.refused_requests_per_s, loss.utilisation))


def _losses_json(losses: tuple[Loss, ...]) -> dict[str, list[float]]:
    return {loss.lost: [loss.utilisation, loss.refused_requests_per_s] for loss in losses}


def _loss_json(loss: Loss) -> dict[str, Any]:
    return {
        "lost": loss.lost,
        "utilisation": loss.utilisation,
        "refused_requests_per_s": loss.refused_requests_per_s,
    }
