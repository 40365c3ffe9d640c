"""Describe the users' sites at a size that fits on one machine."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import json5

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


@dataclass(frozen=True, slots=True)
class Place:
    """A failure domain and its region."""

    region: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class Shape:
    """The places, one-way delays and service of one user's site."""

    name: str
    places: tuple[Place, ...]
    service: str
    slots: int
    connect_cost_s: float
    link_delay_s: float
    caller_delay_s: float
    store_region: str

    @property
    def regions(self) -> tuple[str, ...]:
        """Return the regions in the order of the settings."""
        return tuple(dict.fromkeys(place.region for place in self.places))

    def settings(self) -> dict[str, Any]:
        """Return a new copy of the user's decoded settings."""
        raw: dict[str, Any] = json5.loads((EXAMPLES / f"{self.name}.jsonc").read_text())
        return raw


def _load(name: str, caller_delay_s: float) -> Shape:
    raw = json5.loads((EXAMPLES / f"{name}.jsonc").read_text())
    service = raw["services"][0]
    return Shape(
        name=name,
        places=tuple(
            Place(region["name"], domain)
            for region in raw["regions"]
            for domain in region["failure_domains"]
        ),
        service=service["name"],
        slots=service["slots_per_target"],
        connect_cost_s=service["connect_cost_ms"] / 1000,
        link_delay_s=raw["links"][0]["one_way_delay_ms"] / 1000,
        caller_delay_s=caller_delay_s,
        store_region=raw["regions"][0]["name"],
    )


SHAPES = {
    "souhrny": _load("souhrny", caller_delay_s=0.003),
    "swanbourne": _load("swanbourne", caller_delay_s=0.001),
}
