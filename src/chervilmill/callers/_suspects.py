"""Find out which requests crash their targets and keep them limited."""

import threading
import time
from collections.abc import Callable

from chervilmill.callers._places import Places
from chervilmill.callers._refusal import Refusal
from chervilmill.coordination import Vm
from chervilmill.reasons import Ran, RefusalReason
from chervilmill.requests import CrashNews, Limited, Quarantine, Quarantined

CHECK_PAUSES_S = (0.0, 0.01, 0.04)

NewsListener = Callable[[CrashNews], None]
Reachable = Callable[[Vm], bool]


class Suspects:
    """Hold the quarantine of one service; safe for use from many threads.

    A broken exchange is laid to a crash only where the target can't be reached right after it.
    """

    def __init__(
        self,
        is_reachable: Reachable,
        on_news: NewsListener,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._is_reachable = is_reachable
        self._on_news = on_news
        self._clock = clock
        self._quarantine = Quarantine()
        self._lock = threading.Lock()

    def only_target(self, fingerprint: bytes, places: Places) -> str | None:
        """Return the one target where a suspect may run, None for others, or raise Refusal."""
        with self._lock:
            verdict = self._quarantine.verdict(fingerprint, self._clock(), places.is_open)
        if isinstance(verdict, Quarantined):
            detail = "earlier runs of this request crashed their targets"
            lapses_in_ms = int(1000 * verdict.lapses_in_s) + 1
            raise Refusal(RefusalReason.QUARANTINED, Ran.NOT_RUN, detail, lapses_in_ms)
        return verdict.target if isinstance(verdict, Limited) else None

    def started(self, fingerprint: bytes, target: str) -> None:
        """Count a run that begins."""
        with self._lock:
            self._quarantine.started(fingerprint, target)

    def ended(self, fingerprint: bytes, target: str, *, is_answered: bool) -> None:
        """Count a run that has ended."""
        with self._lock:
            self._quarantine.ended(fingerprint, target, is_answered=is_answered)

    def broken(self, fingerprint: bytes, target: Vm, places: Places) -> bool:
        """Take in an exchange that broke off and return whether the target crashed."""
        if not self._is_down(target):
            return False
        domains = places.domains() | {target.name: target.failure_domain}
        with self._lock:
            self._quarantine.set_targets(domains)
            news = self._quarantine.crashed(target.name, fingerprint, self._clock())
        for one in news:
            self._on_news(one)
        return True

    def _is_down(self, target: Vm) -> bool:
        """Return whether a target went away; its listener may outlast its connections a little."""
        for pause_s in CHECK_PAUSES_S:
            time.sleep(pause_s)
            if not self._is_reachable(target):
                return True
        return False

    def receive(self, news: CrashNews, places: Places) -> None:
        """Take in the news of another entry VM."""
        with self._lock:
            self._quarantine.set_targets(places.domains())
            self._quarantine.receive(news, self._clock())
