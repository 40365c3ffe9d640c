"""Define the interfaces towards targets and the values that cross them."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Protocol

from chervilmill.coordination import Vm
from chervilmill.targets._cancellation import Cancellation


class Body(Protocol):
    """Read the body of a request."""

    def read(self, size: int = -1) -> bytes:
        """Return up to `size` bytes, and nothing at the end."""
        ...


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """Hold a request as it goes to a target; `body` is read once, `length` bytes of it.

    A request that `needs_new_connection` cannot fail on a connection that the target was about to
    close. `cancellation` breaks the exchange off from another thread.
    """

    request_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: Body | None
    length: int
    needs_new_connection: bool = False
    cancellation: Cancellation = field(default_factory=Cancellation)


class Answer(Protocol):
    """Read an answer of a target."""

    @property
    def status(self) -> int:
        """Return the HTTP status code."""
        ...

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers in their order."""
        ...

    def chunks(self) -> Iterator[bytes]:
        """Yield parts as they arrive, or raise TargetError where the answer breaks off."""
        ...

    def close(self) -> None:
        """End the exchange; an unfinished answer costs its connection."""
        ...


class Targets(Protocol):
    """Send requests to targets."""

    def send(self, target: Vm, req: TargetRequest, timeout_s: float) -> Answer:
        """Send a request and return its answer once the headers are there, or raise TargetError."""
        ...
