"""Send one attempt of a request to one target."""

import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Collection, Iterator
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

    def __init__(self, answer: Answer, target: str, finish: Callable[[], None]) -> None:
        self._answer = answer
        self._finish = finish
        self.target = target
        self.status = answer.status
        self.headers = answer.headers

    def __iter__(self) -> Iterator[bytes]:
        """Yield the parts of the answer as they arrive."""
        yield from self._answer.chunks()

    def close(self) -> None:
        """End the exchange with the target."""
        self._answer.close()
        self._finish()


class AttemptFailure(Exception):  # noqa: N818 - carries the refusal that the caller would get
    """Report an attempt that got no answer; `target` is None where none was taken."""

    def __init__(self, refusal: Refusal, target: str | None) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal
        self.target = target


class Attempts:
    """Choose a target and send it one attempt."""

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

    def send(
        self, req: CallerRequest, body: Body | None, excluded: Collection[str]
    ) -> ForwardedAnswer:
        """Return the answer of a target that is not excluded, or raise AttemptFailure."""
        target = self._take_target(req.service, excluded)
        try:
            answer = self._targets.send(target, _target_request(req, body), _timeout_s(req))
        except TargetUnreachableError as exc:
            self._release(target)
            refusal = Refusal(RefusalReason.TARGET_FAILED, Ran.NOT_RUN, str(exc))
            raise AttemptFailure(refusal, target.name) from exc
        except TargetError as exc:
            self._release(target)
            refusal = Refusal(RefusalReason.TARGET_FAILED, Ran.UNKNOWN, str(exc))
            raise AttemptFailure(refusal, target.name) from exc
        except BaseException:
            self._release(target)
            raise
        return ForwardedAnswer(answer, target.name, lambda: self._release(target))

    def _take_target(self, service: str, excluded: Collection[str]) -> Vm:
        by_name = {
            vm.name: vm for vm in self._directory.targets(service) if vm.name not in excluded
        }
        with self._lock:
            name = self._choice.choose(sorted(by_name), self._in_flight, self._rng)
            if name is None:
                detail = f"service {service} has no target"
                refusal = Refusal(RefusalReason.NO_TARGET, Ran.NOT_RUN, detail, retry_after_ms=1000)
                raise AttemptFailure(refusal, None)
            self._in_flight[name] += 1
        return by_name[name]

    def _release(self, target: Vm) -> None:
        with self._lock:
            self._in_flight[target.name] -= 1


def body_of(req: CallerRequest) -> Body | None:
    """Return the body of a request as it comes from the caller, or None where it has none."""
    if req.kind is RequestKind.IDEMPOTENT:
        return None
    return WholeBody(req.body, req.length)


def _timeout_s(req: CallerRequest) -> float:
    remaining_s = req.deadline_s - time.monotonic()
    if remaining_s <= 0:
        refusal = Refusal(RefusalReason.DEADLINE_EXCEEDED, Ran.NOT_RUN, "deadline passed")
        raise AttemptFailure(refusal, None)
    return remaining_s


def _target_request(req: CallerRequest, body: Body | None) -> TargetRequest:
    return TargetRequest(
        request_id=req.request_id,
        method=req.method,
        path=req.path,
        headers=req.headers,
        body=body,
        length=req.length,
    )
