"""Keep requests that crash their targets from reaching ever more of them.

A connection that breaks off is no crash yet: links and answers are lost too. It counts as one when
the target refuses connections, or registers a new lifetime, soon after. What one entry VM finds out
the others are told with their next digests.
"""

from collections.abc import Callable

from chervilmill.aio import RequestHead, header_value
from chervilmill.logs import log_problem
from chervilmill.requests import CrashNews, Limited, Quarantine, Verdict, request_fingerprint

CONFIRMED_WITHIN_S = 4.0  # a crashed target is back, and registered, after some seconds
TOLD_ROUNDS = 6  # digests in which a piece of news is told
MAX_TOLD = 16  # pieces of news a digest, so that it fits one packet


class CrashWatch:
    """Hold the requests that were lost of late and those suspected."""

    def __init__(self) -> None:
        self._quarantine = Quarantine()
        self._lost: dict[str, list[tuple[float, bytes]]] = {}
        self._told: dict[bytes, tuple[CrashNews, int]] = {}

    def set_targets(self, domains: dict[str, str]) -> None:
        """Take in the failure domain of every target."""
        self._quarantine.set_targets(domains)

    def verdict(
        self, fingerprint: bytes, now_s: float, is_usable: Callable[[str], bool]
    ) -> Verdict:
        """Return where a request may run."""
        return self._quarantine.verdict(fingerprint, now_s, is_usable)

    def answered(self, fingerprint: bytes, target: str) -> None:
        """Take in that a request came to a good end."""
        self._quarantine.ended(fingerprint, target, is_answered=True)

    def lost(self, fingerprint: bytes, target: str, now_s: float) -> None:
        """Take in that a request was lost at a target."""
        recent = [one for one in self._lost.get(target, []) if now_s - one[0] < CONFIRMED_WITHIN_S]
        self._lost[target] = [*recent, (now_s, fingerprint)]

    def confirm(self, target: str, now_s: float) -> None:
        """Take in that a target is down or in a new lifetime."""
        for lost_s, fingerprint in self._lost.pop(target, []):
            if now_s - lost_s >= CONFIRMED_WITHIN_S:
                continue
            for news in self._quarantine.crashed(target, fingerprint, now_s):
                self._tell(news)
                log_problem(
                    "request suspected",
                    step="crash",
                    peer=target,
                    fingerprint=news.fingerprint.hex(),
                    crashes=news.crashes,
                    limited_to=news.limited_to,
                )

    def news(self) -> tuple[CrashNews, ...]:
        """Return what to tell in the next digest."""
        told = list(self._told.items())[:MAX_TOLD]
        for fingerprint, (news, rounds) in told:
            if rounds <= 1:
                del self._told[fingerprint]
            else:
                self._told[fingerprint] = (news, rounds - 1)
        return tuple(news for _, (news, _) in told)

    def receive(self, crashes: tuple[CrashNews, ...], now_s: float) -> None:
        """Take in the news of another entry VM."""
        for news in crashes:
            self._quarantine.receive(news, now_s)

    def _tell(self, news: CrashNews) -> None:
        self._told[news.fingerprint] = (news, TOLD_ROUNDS)


def fingerprint_of(head: RequestHead, caller: str, affinity: str, service: str) -> bytes:
    """Return the identity under which a caller's resends are recognised before the body is read."""
    length = header_value(head.headers, b"content-length") or b""
    target = head.target.decode("latin-1")
    content = b"\n".join([caller.encode(), affinity.encode(), length])
    return request_fingerprint(service, head.method.decode("latin-1"), target, content)


def limit_of(verdict: Verdict) -> str | None:
    """Return the one target where a request may run, or None where it may run anywhere."""
    return verdict.target if isinstance(verdict, Limited) else None
