"""Records of callers, targets and entry VMs, as evaluated by the checks."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from soak.routes import Routing

CRASHING_PATH_END = "/crash"  # of requests that crash every target that runs them
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})  # the request has not run and never will


@dataclass(frozen=True, slots=True)
class Breach:
    """One breach of a promise."""

    promise: str
    detail: str


@dataclass(slots=True)
class Attempt:
    """One request sent by a caller; `status` is None if no whole answer was received.

    `must_be_answered` is True if the whole request was sent on a new connection.
    """

    request_id: str
    kind: str
    method: str
    path: str
    body_digest: str
    sent_s: float
    vm: str
    status: int | None = None
    body: bytes = b""
    ended_s: float | None = None
    must_be_answered: bool = False

    @property
    def crashes_targets(self) -> bool:
        """Return whether the request crashes every target that runs it."""
        return self.path.endswith(CRASHING_PATH_END)


@dataclass(frozen=True, slots=True)
class TargetRun:
    """One run of a request at a target."""

    request_id: str
    method: str
    path: str
    body_digest: str
    target: str
    failure_domain: str
    at_s: float
    service: str = "app"


@dataclass(frozen=True, slots=True)
class ConfigurationWrite:
    """A version of the routes, and when the store acknowledged it."""

    at_s: float
    routing: Routing


@dataclass(frozen=True, slots=True)
class ExclusionSpan:
    """A time span in which a target or a failure domain must receive no requests."""

    name: str
    from_s: float
    until_s: float
    is_domain: bool


@dataclass(frozen=True, slots=True)
class LimitSpan:
    """A time span in which a target names a limit in its answers, in requests a second."""

    target: str
    per_s: float
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class VmStart:
    """How long an entry VM took from a start of its process until it was ready."""

    vm: str
    took_s: float


@dataclass(slots=True)
class History:
    """All records of one soak.

    `disruptions` holds the time spans of unplanned disruptions. `vm_disruptions` holds the spans in
    which single entry VMs were disturbed, by address, `store_disruptions` those of the store, and
    `link_disruptions` those of the links to single targets, by name. In `store_refusals`, the store
    refuses reads and is otherwise sound. `vm_lifetimes` are the starts
    of processes, by the VM's address. In `overloads`, callers ask for more than the processor of
    the VMs carries. `own_delays` are the spans in which the soak's own event loop stood still, so
    that its records are late by as much. From `recovered_from_s` on, requests must be served again.
    """

    attempts: dict[str, Attempt] = field(default_factory=dict)
    runs: list[TargetRun] = field(default_factory=list)
    exclusions: list[ExclusionSpan] = field(default_factory=list)
    limits: list[LimitSpan] = field(default_factory=list)
    disruptions: list[tuple[float, float]] = field(default_factory=list)
    vm_disruptions: list[tuple[str, float, float]] = field(default_factory=list)
    store_disruptions: list[tuple[float, float]] = field(default_factory=list)
    store_refusals: list[tuple[float, float]] = field(default_factory=list)
    link_disruptions: list[tuple[str, float, float]] = field(default_factory=list)
    configurations: list[ConfigurationWrite] = field(default_factory=list)
    vm_starts: list[VmStart] = field(default_factory=list)
    vm_lifetimes: list[tuple[str, float]] = field(default_factory=list)
    overloads: list[tuple[float, float]] = field(default_factory=list)
    own_delays: list[tuple[float, float]] = field(default_factory=list)
    recovered_from_s: float = 0.0

    @contextmanager
    def vm_disturbed(self, vm: str) -> Iterator[None]:
        """Record the time span of the block as a disruption of an entry VM."""
        loop = asyncio.get_running_loop()
        from_s = loop.time()
        try:
            yield
        finally:
            self.vm_disruptions.append((vm, from_s, loop.time()))

    @contextmanager
    def store_disturbed(self) -> Iterator[None]:
        """Record the time span of the block as a disruption of the store."""
        loop = asyncio.get_running_loop()
        from_s = loop.time()
        try:
            yield
        finally:
            self.store_disruptions.append((from_s, loop.time()))
