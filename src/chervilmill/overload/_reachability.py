"""Find out whether an entry VM reaches any target at all.

Load pattern: an entry VM that is cut off from all targets while callers still reach it. Each of
its requests would cost a caller a time-out, and each failure would count against a target that is
not at fault.

One target, or all targets of one failure domain, may be in trouble themselves. A VM therefore
doubts its own links only if several targets in different failure domains failed and none answered
in between, and probes then decide. Connections may live on while new ones fail, so only a new
connection shows that a VM that was cut off reaches targets again.
"""

from collections.abc import Collection

from chervilmill.routing import Target

UNREACHED_TARGETS = 3
UNREACHED_DOMAINS = 2


class TargetReachability:
    """The targets that this VM has failed to reach since one of them last answered."""

    __slots__ = ("_unreached", "is_cut_off")

    def __init__(self) -> None:
        self._unreached: dict[str, str] = {}
        self.is_cut_off = False

    def record_answer(self) -> None:
        """Record an answer of a target on a connection that was open before."""
        self._unreached.clear()

    def record_unreached(self, target: Target, known: Collection[Target]) -> bool:
        """Record a target that gave no sign of life; return whether probes have to decide.

        `known` holds all targets. With fewer of them than evidence requires, all must have failed.
        """
        self._unreached[target.name] = target.failure_domain
        known_domains = {other.failure_domain for other in known}
        targets, domains = len(self._unreached), len(set(self._unreached.values()))
        return targets >= min(UNREACHED_TARGETS, len(known)) and domains >= min(
            UNREACHED_DOMAINS, len(known_domains)
        )

    def record_probes(self, *, has_connected: bool) -> bool:
        """Record whether a new connection succeeded; return whether `is_cut_off` changes."""
        if has_connected:
            self._unreached.clear()
        is_changed = self.is_cut_off is has_connected
        self.is_cut_off = not has_connected
        return is_changed
