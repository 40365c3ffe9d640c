"""Forward callers' requests to targets."""

import random
import threading
import time
from collections import Counter
from collections.abc import Iterator
from typing import Protocol

from chervilmill.callers._refusal import Refusal
from chervilmill.callers._request import CallerRequest
from chervilmill.platform import Vm
from chervilmill.reasons import Ran, RefusalReason
from chervilmill.requests import RequestKind, TargetChoice
from chervilmill.targets import (
    Answer,
    Body,
    TargetError,
    TargetRequest,
    Targets,
    TargetUnreachableError,
)


class ServiceTargets(Protocol):
    """Know the targets of a service that take new work."""

    def targets(self, service: str) -> tuple[Vm, ...]:
        """Return the live targets of a service."""
        ...


class BodyBrokenOffError(OSError):
    """Report a caller's body that ended before its stated length."""


class WholeBody:
    """Read a body of a stated length, or fail where it ends early."""

    def __init__(self, body: Body, length: int) -> None:
        self._body = body
        self._remaining = length

    def read(self, size: int = -1) -> bytes:
        """Return up to `size` bytes, and nothing after the stated length."""
        wanted = self._remaining if size < 0 else min(size, self._remaining)
        if not wanted:
            return b""
        part = self._body.read(wanted)
        if not part:
            raise BodyBrokenOffError(f"{self._remaining} bytes of the body are missing")
        self._remaining -= len(part)
        return part


class ForwardedAnswer:
    """Hold the answer of a target on its way to the caller."""

    def __init__(self, answer: Answer, finish: "Finish") -> None:
        self._answer = answer
        self._finish = finish
        self.status = answer.status
        self.headers = answer.headers

    def __iter__(self) -> Iterator[bytes]:
        """Yield the parts of the answer as they arrive."""
        yield from self._answer.chunks()

    def close(self) -> None:
        """End the exchange with the target."""
        self._answer.close()
        self._finish()


class Finish(Protocol):
    """Run once when an exchange has ended."""

    def __call__(self) -> None:
        """Give back what the exchange held."""
        ...


class Forwarder:
    """Send each request to one target of its service."""

    def __init__(
        self,
        directory: ServiceTargets,
        targets: Targets,
        choice: TargetChoice,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._targets = targets
        self._choice = choice
        self._rng = rng
        self._in_flight: Counter[str] = Counter()
        self._lock = threading.Lock()

    def forward(self, req: CallerRequest) -> ForwardedAnswer:
        """Return the answer of a target, or raise Refusal."""
        target = self._take_target(req.service)
        try:
            answer = self._targets.send(target, _target_request(req), self._timeout_s(req))
        except TargetUnreachableError as exc:
            self._release(target)
            raise Refusal(RefusalReason.TARGET_FAILED, Ran.NOT_RUN, str(exc)) from exc
        except TargetError as exc:
            self._release(target)
            raise Refusal(RefusalReason.TARGET_FAILED, Ran.UNKNOWN, str(exc)) from exc
        except BaseException:
            self._release(target)
            raise
        return ForwardedAnswer(answer, lambda: self._release(target))

    def _take_target(self, service: str) -> Vm:
        by_name = {vm.name: vm for vm in self._directory.targets(service)}
        with self._lock:
            name = self._choice.choose(sorted(by_name), self._in_flight, self._rng)
            if name is None:
                detail = f"service {service} has no target"
                raise Refusal(RefusalReason.NO_TARGET, Ran.NOT_RUN, detail, retry_after_ms=1000)
            self._in_flight[name] += 1
        return by_name[name]

    def _release(self, target: Vm) -> None:
        with self._lock:
            self._in_flight[target.name] -= 1

    def _timeout_s(self, req: CallerRequest) -> float:
        remaining_s = req.deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise Refusal(RefusalReason.DEADLINE_EXCEEDED, Ran.NOT_RUN, "deadline passed")
        return remaining_s


def _target_request(req: CallerRequest) -> TargetRequest:
    has_body = req.kind is not RequestKind.IDEMPOTENT
    body = WholeBody(req.body, req.length) if has_body else None
    return TargetRequest(
        request_id=req.request_id,
        method=req.method,
        path=req.path,
        headers=req.headers,
        body=body,
        length=req.length,
    )
