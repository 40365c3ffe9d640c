"""Forward the answers of targets to callers."""

from collections.abc import Callable, Iterator
from typing import Protocol

from chervilmill.requests import AttemptEnd
from chervilmill.targets import Answer, ExchangeCancelledError, TargetError

EndListener = Callable[[AttemptEnd], None]


class CallerAnswer(Protocol):
    """An answer that can be streamed to a caller."""

    @property
    def status(self) -> int:
        """Return the HTTP status code."""
        ...

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers in their order."""
        ...

    def __iter__(self) -> Iterator[bytes]:
        """Yield the parts of the answer as they arrive."""
        ...

    def close(self) -> None:
        """End the exchange that the answer belongs to."""
        ...


class ForwardedAnswer:
    """The answer of a target, streamed to the caller.

    The constructor waits for the first part, and raises if the answer fails before that part.
    `on_end` is called once, when the answer is closed.
    """

    def __init__(self, answer: Answer, target: str, on_end: EndListener) -> None:
        self._answer = answer
        self._on_end: EndListener | None = on_end
        self._parts = answer.chunks()
        self._first = next(self._parts, None)
        self._end = AttemptEnd.CANCELLED
        self.target = target
        self.status = answer.status
        self.headers = answer.headers
        if self._first is None:
            self._end = AttemptEnd.ANSWERED

    def __iter__(self) -> Iterator[bytes]:
        """Yield the parts of the answer as they arrive."""
        try:
            if self._first is not None:
                yield self._first
                yield from self._parts
        except ExchangeCancelledError:
            raise
        except TargetError:
            self._end = AttemptEnd.FAILED
            raise
        self._end = AttemptEnd.ANSWERED

    def close(self) -> None:
        """End the exchange with the target and report how the attempt ended."""
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            self._answer.close()
            on_end(self._end)
