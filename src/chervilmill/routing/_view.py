"""Hold what an entry VM believes about the site, and change it one event at a time.

A configuration is replaced by a newer version only. A target that is draining, gone or evacuated is
out of the choice from the event on. Entries that are missing after the store was away are kept for
a moment, since live targets register again, unless they were seen draining.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from chervilmill.routing._model import Configuration, Target

REGISTER_AGAIN_S = 2.5  # live targets are back within about 2 s of the store's return


@dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """Report a configuration that has come into force."""

    configuration: Configuration
    previous: int | None


@dataclass(frozen=True, slots=True)
class TargetChanged:
    """Report a target that joined or changed; `previous` is None for a new lifetime."""

    target: Target
    previous: Target | None


@dataclass(frozen=True, slots=True)
class TargetGone:
    """Report a target that is to get nothing more."""

    target: Target


@dataclass(frozen=True, slots=True)
class EvacuationChanged:
    """Report that a failure domain is to be left, or is taken back."""

    failure_domain: str
    is_evacuated: bool


ViewChange = ConfigurationApplied | TargetChanged | TargetGone | EvacuationChanged


class SiteView:
    """Hold configuration, targets and evacuated failure domains."""

    __slots__ = ("configuration", "evacuated", "targets", "_missing_until")

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.targets: dict[str, Target] = {}
        self.evacuated: frozenset[str] = frozenset()
        self._missing_until: dict[str, float] = {}

    def apply_configuration(self, new: Configuration) -> list[ViewChange]:
        """Bring a configuration into force unless it is not newer than the one held."""
        held = self.configuration
        if held is not None and new.version <= held.version:
            return []
        self.configuration = new
        return [ConfigurationApplied(new, held.version if held else None)]

    def put_target(self, target: Target) -> list[ViewChange]:
        """Take in a target's entry."""
        self._missing_until.pop(target.name, None)
        held = self.targets.get(target.name)
        if held == target:
            return []
        self.targets[target.name] = target
        is_same = held is not None and held.incarnation == target.incarnation
        return [TargetChanged(target, held if is_same else None)]

    def remove_target(self, name: str) -> list[ViewChange]:
        """Drop a target whose entry was removed."""
        self._missing_until.pop(name, None)
        held = self.targets.pop(name, None)
        return [TargetGone(held)] if held else []

    def miss_target(self, name: str, now_s: float) -> None:
        """Keep a target for a moment whose entry lapsed while the store was away."""
        if name in self.targets and not self.targets[name].is_draining:
            self._missing_until.setdefault(name, now_s + REGISTER_AGAIN_S)

    def is_missing(self, name: str) -> bool:
        """Return whether a target is kept although its entry lapsed."""
        return name in self._missing_until

    def drop_missing(self, now_s: float) -> list[ViewChange]:
        """Drop the targets that did not register again in time."""
        due = [name for name, until_s in self._missing_until.items() if until_s <= now_s]
        return [change for name in due for change in self.remove_target(name)]

    def set_evacuated(self, domains: Iterable[str]) -> list[ViewChange]:
        """Take in the failure domains that are evacuated now."""
        new = frozenset(domains)
        changed = sorted(new ^ self.evacuated)
        self.evacuated = new
        return [EvacuationChanged(domain, domain in new) for domain in changed]

    def usable(self, service: str) -> list[Target]:
        """Return the targets of a service that may be sent requests."""
        return [
            target
            for target in self.targets.values()
            if target.service == service
            and not target.is_draining
            and target.failure_domain not in self.evacuated
        ]
