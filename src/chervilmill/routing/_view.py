"""Maintain an entry VM's view of the site, one change at a time.

A configuration is replaced only by a newer version. A target that drains, is removed or is
evacuated gets no requests from that change on. Targets whose entries expired during an outage of
the store are kept for a short time, because live targets register again. Targets that were seen
draining are not kept. A target that said in an answer that it is leaving counts as draining for
the rest of its lifetime, whatever its entry says.

A store that comes back from an older copy shows some entries as they were. What was known to leave
goes on leaving. A lifetime that was removed is withheld until its entry is written again, or until
the entry would have expired if the target were gone.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from chervilmill.routing._model import Configuration, Target

MAX_KNOWN_LEAVING = 4096
MAX_KNOWN_REMOVED = 4096


@dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """A configuration has come into force; `previous` is the version before it."""

    configuration: Configuration
    previous: int | None


@dataclass(frozen=True, slots=True)
class TargetChanged:
    """A target has joined or changed; `previous` is None for a new lifetime."""

    target: Target
    previous: Target | None


@dataclass(frozen=True, slots=True)
class TargetRemoved:
    """A target was removed and must not receive further requests."""

    target: Target


@dataclass(frozen=True, slots=True)
class EvacuationChanged:
    """The evacuation of a failure domain has begun or ended."""

    failure_domain: str
    is_evacuated: bool


ViewChange = ConfigurationApplied | TargetChanged | TargetRemoved | EvacuationChanged


class SiteView:
    """The configuration, the targets and the evacuated failure domains."""

    __slots__ = (
        "configuration",
        "evacuated",
        "targets",
        "_kept_until_s",
        "_leaving",
        "_removed",
        "_withheld",
    )

    def __init__(self) -> None:
        self.configuration: Configuration | None = None
        self.targets: dict[str, Target] = {}
        self.evacuated: frozenset[str] = frozenset()
        self._kept_until_s: dict[str, float] = {}
        self._leaving: dict[tuple[str, int], None] = {}
        self._removed: dict[tuple[str, int], None] = {}
        self._withheld: dict[str, tuple[Target, float]] = {}

    def apply_configuration(self, new: Configuration) -> list[ViewChange]:
        """Apply a configuration if it is newer than the present one."""
        present = self.configuration
        if present is not None and new.version <= present.version:
            return []
        self.configuration = new
        return [ConfigurationApplied(new, present.version if present else None)]

    def put_target(self, target: Target) -> list[ViewChange]:
        """Add or update a target from its entry."""
        self._kept_until_s.pop(target.name, None)
        self._withheld.pop(target.name, None)
        self._removed.pop((target.name, target.incarnation), None)
        if (target.name, target.incarnation) in self._leaving:
            target = replace(target, is_draining=True)
        present = self.targets.get(target.name)
        if present == target:
            return []
        self.targets[target.name] = target
        is_same_lifetime = present is not None and present.incarnation == target.incarnation
        return [TargetChanged(target, present if is_same_lifetime else None)]

    def put_restored_target(self, target: Target, withheld_until_s: float) -> list[ViewChange]:
        """Add or update a target from an entry that may be older than what is known of it."""
        present = self.targets.get(target.name)
        if present is not None and present.incarnation > target.incarnation:
            self._kept_until_s.setdefault(target.name, withheld_until_s)
            return []
        if (target.name, target.incarnation) in self._removed:
            self._withheld[target.name] = (target, withheld_until_s)
            return []
        if (
            present is not None
            and present.incarnation == target.incarnation
            and present.is_draining
        ):
            self.mark_leaving(target.name, target.incarnation)
        return self.put_target(target)

    def mark_leaving(self, name: str, incarnation: int) -> list[ViewChange]:
        """Record that a lifetime of a target is leaving, also if its entry is not known yet."""
        if len(self._leaving) >= MAX_KNOWN_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        self._leaving[(name, incarnation)] = None
        present = self.targets.get(name)
        if present is None or present.incarnation != incarnation or present.is_draining:
            return []
        self.targets[name] = replace(present, is_draining=True)
        return [TargetChanged(self.targets[name], present)]

    def remove_target(self, name: str) -> list[ViewChange]:
        """Remove a target whose entry was removed."""
        self._kept_until_s.pop(name, None)
        self._withheld.pop(name, None)
        present = self.targets.pop(name, None)
        if present is None:
            return []
        if len(self._removed) >= MAX_KNOWN_REMOVED:
            del self._removed[next(iter(self._removed))]
        self._removed[(name, present.incarnation)] = None
        return [TargetRemoved(present)]

    def keep_expired_target(self, name: str, until_s: float) -> None:
        """Keep a target for a short time after its entry expired during an outage of the store."""
        if name in self.targets and not self.targets[name].is_draining:
            self._kept_until_s.setdefault(name, until_s)

    def is_expired(self, name: str) -> bool:
        """Return whether a target is kept although its entry expired."""
        return name in self._kept_until_s

    def drop_expired(self, now_s: float) -> list[ViewChange]:
        """Remove the targets whose entries expired and that did not register again in time.

        Add the withheld targets whose entries did not expire.
        """
        overdue = [name for name, until_s in self._kept_until_s.items() if until_s <= now_s]
        changes = [change for name in overdue for change in self.remove_target(name)]
        alive = [target for target, until_s in self._withheld.values() if until_s <= now_s]
        return changes + [change for target in alive for change in self.put_target(target)]

    def set_evacuated(self, domains: Iterable[str]) -> list[ViewChange]:
        """Replace the set of evacuated failure domains."""
        new = frozenset(domains)
        changed = sorted(new ^ self.evacuated)
        self.evacuated = new
        return [EvacuationChanged(domain, domain in new) for domain in changed]

    def usable_targets(self, service: str) -> list[Target]:
        """Return the targets of a service that may receive requests."""
        return [target for target in self.targets.values() if self.is_usable(target, service)]

    def is_usable(self, target: Target, service: str) -> bool:
        """Return whether a target may receive requests for a service."""
        return (
            target.service == service
            and not target.is_draining
            and target.failure_domain not in self.evacuated
        )
