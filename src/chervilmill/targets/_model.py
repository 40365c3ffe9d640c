"""Define the interfaces to targets and the values that pass through them."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Protocol

from chervilmill.coordination import Vm
from chervilmill.targets._cancellation import Cancellation


class Body(Protocol):
    """A readable request body."""

    def read(self, size: int = -1) -> bytes:
        """Return up to `size` bytes, or `b""` at the end of the body."""
        ...


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """A request to a target; `length` bytes of `body` are read, once.

    With `needs_new_connection`, no idle connection is reused, so the request cannot fail because
    the target was about to close that connection. `cancellation` cancels the exchange from another
    thread.
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
    """The answer of a target, read as it arrives."""

    @property
    def status(self) -> int:
        """Return the HTTP status code."""
        ...

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers in their order."""
        ...

    def chunks(self) -> Iterator[bytes]:
        """Yield parts as they arrive, or raise TargetError if the answer breaks off."""
        ...

    def close(self) -> None:
        """End the exchange; the connection of an incomplete answer is closed."""
        ...


class Targets(Protocol):
    """A client that sends requests to targets."""

    def send(self, target: Vm, req: TargetRequest, timeout_s: float) -> Answer:
        """Send a request and return its answer once the headers arrive, or raise TargetError."""
        ...
