"""Stream an answer to a caller and record how it ended."""

import time
from collections.abc import Callable, Iterator

from prometheus_client import Histogram

from chervilmill.callers._answers import CallerAnswer
from chervilmill.callers._request import CallerRequest
from chervilmill.logs import log_event
from chervilmill.metrics import Metrics
from chervilmill.targets import TargetError


class Delivery:
    """Yields the parts of an answer as they arrive and observes its latencies.

    If the answer breaks off, iteration raises. The server then closes the caller's connection
    before the stated end of the answer, so that the caller sees that the answer is short.
    """

    def __init__(
        self, req: CallerRequest, answer: CallerAnswer, started_s: float, metrics: Metrics
    ) -> None:
        self._req = req
        self._answer = answer
        self._started_s = started_s
        self._metrics = metrics
        self._on_close: list[Callable[[], None]] = []

    def on_close(self, action: Callable[[], None]) -> None:
        """Register an action to run when the exchange has ended."""
        self._on_close.append(action)

    def __iter__(self) -> Iterator[bytes]:
        is_first = True
        try:
            for part in self._answer:
                if is_first:
                    self._observe(self._metrics.first_part)
                    is_first = False
                yield part
        except TargetError as exc:
            self._log_broken_answer(exc)
            raise
        self._observe(self._metrics.latency)

    def close(self) -> None:
        """End the exchange; the server calls this after the last part or a failure."""
        try:
            self._answer.close()
        finally:
            actions, self._on_close = self._on_close, []
            for action in actions:
                action()

    def _log_broken_answer(self, exc: TargetError) -> None:
        log_event(
            "answer broke off",
            request_id=self._req.request_id,
            service=self._req.service,
            step=exc.step,
            peer=exc.peer,
            error=exc.message,
        )

    def _observe(self, histogram: Histogram) -> None:
        elapsed_s = time.monotonic() - self._started_s
        histogram.labels(self._req.service).observe(elapsed_s)
