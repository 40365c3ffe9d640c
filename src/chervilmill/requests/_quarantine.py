"""Keep a request that crashes its targets from crashing more than two of them.

Every request that was running at a target when that target crashed becomes a suspect. A suspect may
run at one target only, if possible in another failure domain and shared with no other suspect. A
second crash there therefore distinguishes the request that causes the crashes from requests that
merely ran at the same time. An answer clears a suspect.
"""

from collections.abc import Callable, Collection, Iterator, Mapping
from dataclasses import dataclass, replace

import xxhash

SUSPECT_TTL_S = 60.0
QUARANTINE_TTL_S = 600.0
DOMAIN_LOSS_WINDOW_S = 2.0
DOMAIN_LOSS_CRASHES = 3
MAX_SUSPECTS = 10_000


@dataclass(frozen=True, slots=True)
class CrashReport:
    """A message to the other entry VMs about a suspect or a quarantined request.

    `limited_to` is the only target where a suspect may run. `expires_in_s` is the time until the
    suspicion or the quarantine expires, counted from when the message was sent.
    """

    fingerprint: bytes
    crashes: int
    limited_to: str
    expires_in_s: float


@dataclass(frozen=True, slots=True)
class Unrestricted:
    """The verdict that a request may run at any target."""


@dataclass(frozen=True, slots=True)
class LimitedToTarget:
    """The verdict that a request may run at one target only."""

    target: str


@dataclass(frozen=True, slots=True)
class Quarantined:
    """The verdict that a request is refused until its quarantine expires."""

    expires_in_s: float


Verdict = Unrestricted | LimitedToTarget | Quarantined


@dataclass(frozen=True, slots=True)
class _Suspect:
    crashes: int
    limited_to: str
    expires_s: float


def request_fingerprint(service: str, method: str, path: str, content: bytes = b"") -> bytes:
    """Return the fingerprint by which resends of the same request are recognised."""
    return xxhash.xxh3_128_digest(f"{service}\n{method}\n{path}\n".encode() + content)


class Quarantine:
    """The suspects and recent crashes known to one entry VM, with the running requests.

    All times are in seconds of the same clock.
    """

    __slots__ = ("_crashes", "_domains", "_running", "_suspects")

    def __init__(self) -> None:
        self._suspects: dict[bytes, _Suspect] = {}
        self._running: dict[str, list[bytes]] = {}
        self._crashes: list[tuple[float, str]] = []
        self._domains: Mapping[str, str] = {}

    def set_targets(self, domains: Mapping[str, str]) -> None:
        """Set the targets and their failure domains."""
        self._domains = domains

    def verdict(
        self, fingerprint: bytes, now_s: float, is_usable: Callable[[str], bool]
    ) -> Verdict:
        """Return where a request may run.

        A suspect whose target is not usable is moved to another target.
        """
        suspect = self._unexpired_suspect(fingerprint, now_s)
        if suspect is None:
            return Unrestricted()
        if suspect.crashes > 1:
            return Quarantined(suspect.expires_s - now_s)
        if suspect.limited_to in self._domains and is_usable(suspect.limited_to):
            return LimitedToTarget(suspect.limited_to)
        moved = replace(suspect, limited_to=self._pick_target(suspect.limited_to, now_s, is_usable))
        self._suspects[fingerprint] = moved
        return LimitedToTarget(moved.limited_to) if moved.limited_to else Unrestricted()

    def record_start(self, fingerprint: bytes, target: str) -> None:
        """Record that a request starts to run at a target."""
        self._running.setdefault(target, []).append(fingerprint)

    def record_end(self, fingerprint: bytes, target: str, *, is_answered: bool) -> None:
        """Record that a request no longer runs at a target.

        An answer clears a suspect, but not a quarantined request.
        """
        running = self._running.get(target, [])
        if fingerprint in running:
            running.remove(fingerprint)
        suspect = self._suspects.get(fingerprint)
        if is_answered and suspect is not None and suspect.crashes == 1:
            del self._suspects[fingerprint]

    def record_crash(self, target: str, interrupted: bytes, now_s: float) -> list[CrashReport]:
        """Record a crash that interrupted a request; return the reports for the other entry VMs.

        Once DOMAIN_LOSS_CRASHES targets of a failure domain have crashed within a short time, the
        crashes are attributed to the loss of the failure domain. The crash then makes no request a
        suspect, and recent suspects that are limited to the failure domain are cleared.
        """
        domain = self._domains.get(target, "")
        is_recorded = any(name == target for _, name in self._recent_crashes(now_s))
        if not is_recorded:
            self._crashes = [*self._recent_crashes(now_s), (now_s, target)]
        if self._is_domain_loss(domain, now_s):
            self._clear_recent_suspects(domain, now_s)
            return []
        involved = {interrupted} if is_recorded else {interrupted, *self._running.get(target, [])}
        return [self._record_suspect(candidate, target, now_s) for candidate in sorted(involved)]

    def receive_report(self, report: CrashReport, now_s: float) -> bool:
        """Apply the report of another entry VM and return whether it changed anything.

        The report is ignored if at least as many crashes of the request are already known.
        """
        known = self._unexpired_suspect(report.fingerprint, now_s)
        if known is not None and known.crashes >= report.crashes:
            return False
        expires_s = now_s + min(report.expires_in_s, QUARANTINE_TTL_S)
        self._suspects[report.fingerprint] = _Suspect(report.crashes, report.limited_to, expires_s)
        return True

    def _record_suspect(self, fingerprint: bytes, target: str, now_s: float) -> CrashReport:
        known = self._unexpired_suspect(fingerprint, now_s)
        if known is not None and known.crashes > 1:
            return CrashReport(fingerprint, known.crashes, "", known.expires_s - now_s)
        if known is not None and known.limited_to == target:
            suspect = _Suspect(2, target, now_s + QUARANTINE_TTL_S)
        elif known is not None:
            suspect = known
        else:
            suspect = _Suspect(1, self._pick_target(target, now_s), now_s + SUSPECT_TTL_S)
        self._evict_if_full(now_s)
        self._suspects[fingerprint] = suspect
        return CrashReport(
            fingerprint, suspect.crashes, suspect.limited_to, suspect.expires_s - now_s
        )

    def _pick_target(
        self, crashed: str, now_s: float, is_usable: Callable[[str], bool] = lambda _: True
    ) -> str:
        """Return a target for a suspect, or an empty string if no target is usable.

        Targets of other failure domains that are assigned to no other suspect are preferred.
        """
        assigned = {suspect.limited_to for suspect in self._suspects.values()}
        crashed_targets = {name for _, name in self._recent_crashes(now_s)} | {crashed}
        usable = [
            name
            for name in sorted(self._domains)
            if name not in crashed_targets and is_usable(name)
        ]
        domain = self._domains.get(crashed)
        for candidates in _candidates_by_preference(usable, assigned, domain, self._domains):
            if candidates:
                return candidates[len(assigned) % len(candidates)]
        return ""

    def _unexpired_suspect(self, fingerprint: bytes, now_s: float) -> _Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.expires_s > now_s:
            return suspect
        del self._suspects[fingerprint]
        return None

    def _recent_crashes(self, now_s: float) -> list[tuple[float, str]]:
        return [crash for crash in self._crashes if now_s - crash[0] < DOMAIN_LOSS_WINDOW_S]

    def _is_domain_loss(self, domain: str, now_s: float) -> bool:
        in_domain = [
            name for _, name in self._recent_crashes(now_s) if self._domains.get(name) == domain
        ]
        return len(set(in_domain)) >= DOMAIN_LOSS_CRASHES

    def _clear_recent_suspects(self, domain: str, now_s: float) -> None:
        since_s = now_s - DOMAIN_LOSS_WINDOW_S
        for fingerprint, suspect in list(self._suspects.items()):
            is_recent = suspect.expires_s - _ttl_s(suspect) >= since_s
            if is_recent and self._domains.get(suspect.limited_to) == domain:
                del self._suspects[fingerprint]

    def _evict_if_full(self, now_s: float) -> None:
        if len(self._suspects) < MAX_SUSPECTS:
            return
        for fingerprint in list(self._suspects):
            self._unexpired_suspect(fingerprint, now_s)
        while len(self._suspects) >= MAX_SUSPECTS:
            del self._suspects[
                min(self._suspects, key=lambda candidate: self._suspects[candidate].expires_s)
            ]


def _ttl_s(suspect: _Suspect) -> float:
    return QUARANTINE_TTL_S if suspect.crashes > 1 else SUSPECT_TTL_S


def _candidates_by_preference(
    usable: list[str], assigned: Collection[str], domain: str | None, domains: Mapping[str, str]
) -> Iterator[list[str]]:
    unassigned = [name for name in usable if name not in assigned]
    yield [name for name in unassigned if domains[name] != domain]
    yield unassigned
    yield usable
