"""Tell crashes that an outage explains from crashes that a request may have caused."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

OUTAGE_WINDOW_S = 2.0
OUTAGE_TARGETS = 3  # targets that crash together for a cause that they share
DOMAIN_LOSS_SHARE = 0.5  # of the targets of a failure domain that counts as lost
SIGN_TTL_S = 60.0


@dataclass(frozen=True, slots=True)
class _Sign:
    at_s: float
    domain: str


class CrashSigns:
    """When each target was first seen to be down; all times are readings of one clock.

    What follows for a target is kept until a further one is down, as it is asked for with each
    report of a request that was lost there.
    """

    __slots__ = ("_crashed_with", "_domains", "_lost_domains", "_signs")

    def __init__(self) -> None:
        self._signs: dict[str, _Sign] = {}
        self._domains: Mapping[str, str] = {}
        self._crashed_with: dict[str, frozenset[str]] = {}
        self._lost_domains: dict[str, str | None] = {}

    def set_targets(self, domains: Mapping[str, str]) -> None:
        """Set the present targets and their failure domains."""
        self._domains = domains
        self._lost_domains.clear()

    def record(self, target: str, domain: str, now_s: float) -> bool:
        """Record that a target is down and return whether this crash was not known yet."""
        known = self._signs.get(target)
        if known is not None and now_s - known.at_s < OUTAGE_WINDOW_S:
            return False
        self._signs = {
            name: sign for name, sign in self._signs.items() if now_s - sign.at_s < SIGN_TTL_S
        }
        self._signs[target] = _Sign(now_s, domain)
        self._crashed_with.clear()
        self._lost_domains.clear()
        return True

    def recent(self, now_s: float) -> frozenset[str]:
        """Return the targets that were first seen to be down within the last seconds."""
        return frozenset(
            name for name, sign in self._signs.items() if now_s - sign.at_s < OUTAGE_WINDOW_S
        )

    def lost_domain(self, target: str) -> str | None:
        """Return the failure domain together with which a target was lost, or None."""
        if target not in self._lost_domains:
            self._lost_domains[target] = self._find_lost_domain(target)
        return self._lost_domains[target]

    def is_outage(self, target: str, used: Collection[str]) -> bool:
        """Return whether a target crashed together with several that a request did not use."""
        together = self._find_crashed_with(target)
        if len(together) < OUTAGE_TARGETS:
            return False
        return len(together.difference(used)) >= OUTAGE_TARGETS

    def _find_lost_domain(self, target: str) -> str | None:
        together = self._find_crashed_with(target)
        if len(together) < OUTAGE_TARGETS:
            return None
        domain = self._signs[target].domain
        lost = {name for name in together if self._signs[name].domain == domain}
        size = len(lost.union(name for name, other in self._domains.items() if other == domain))
        is_lost = len(lost) >= OUTAGE_TARGETS and len(lost) >= DOMAIN_LOSS_SHARE * size
        return domain if is_lost else None

    def _find_crashed_with(self, target: str) -> frozenset[str]:
        """Return the targets that crashed at about the same time as a target, which is included."""
        own = self._signs.get(target)
        if own is None:
            return frozenset()
        known = self._crashed_with.get(target)
        if known is None:
            known = self._crashed_with[target] = frozenset(
                name
                for name, sign in self._signs.items()
                if abs(sign.at_s - own.at_s) < OUTAGE_WINDOW_S
            )
        return known
