"""Learn the limits that targets name from their answers."""

from chervilmill.logs import log_event, log_problem
from chervilmill.overload import StatedLimit, TargetLimits
from chervilmill.requests import Lifetime

MAX_LOGGED_TEXT_CHARS = 40


class LimitTracker:
    """Records what targets say of their limits and logs each change."""

    def __init__(self, limits: TargetLimits) -> None:
        self._limits = limits

    def record_answer(self, lifetime: Lifetime, stated: StatedLimit | None, now_s: float) -> None:
        """Record the limit in an answer of a target, or that the answer names none.

        A malformed limit is logged and changes nothing.
        """
        if stated is not None and stated.per_s is None:
            text = stated.text[:MAX_LOGGED_TEXT_CHARS]
            log_problem("limit refused", step="limit", peer=lifetime.target, text=text)
            return
        per_s = stated.per_s if stated is not None else None
        if self._limits.record(lifetime, per_s, now_s):
            self._log_change(lifetime, now_s, "answer")

    def _log_change(self, lifetime: Lifetime, now_s: float, source: str) -> None:
        log_event(
            "target limit",
            step="limit",
            target=lifetime.target,
            incarnation=lifetime.incarnation,
            per_s=self._limits.per_s(lifetime, now_s),
            source=source,
        )
