"""Configured behaviour and counters of a target stand-in."""

import threading
import time
from collections import Counter, deque
from dataclasses import dataclass, field, fields
from enum import Enum
from typing import Any

CANCELLATION_TTL_S = 60.0  # how long the target refuses a cancelled request id


class TargetMode(Enum):
    """Whether a target accepts new requests."""

    LIVE = "live"
    COLD = "cold"
    LEAVING = "leaving"


class CrashMode(Enum):
    """How the crash of a target shows: at once, midway in the answer, or as silence."""

    RESET = "reset"
    MIDWAY = "midway"
    SILENT = "silent"


class AnswerFault(Enum):
    """A fault injected into one answer.

    - LATE: the answer begins `late_s` later;
    - CROSSED: the answer carries the id of another request;
    - DOUBLED: the answer is sent twice;
    - SHORT: the connection is dropped after the first part;
    - STALLED: the answer pauses for `late_s` after each part;
    - LOST: the request runs, and the connection is dropped without an answer.
    """

    LATE = "late"
    CROSSED = "crossed"
    DOUBLED = "doubled"
    SHORT = "short"
    STALLED = "stalled"
    LOST = "lost"


@dataclass(slots=True)
class TargetState:
    """The configured behaviour of a target and its counters; `lock` guards the counters.

    The behaviour fields can be set by name at any time:
    - `slots` requests run at once, `queue_limit` more wait, and any further request is shed;
    - `shed_next` is the number of next requests to shed, whatever the load;
    - `work_s` is the time before an answer begins. On a cold target that time is multiplied by
      `cold_factor`, and the factor falls linearly to 1 within `cold_start_s`;
    - `crash_path` is a path prefix: a request that matches it when it gets its slot crashes the
      target, which then stays down for `crash_away_s`. `crash_mode` is how the crash shows;
    - `faults` apply to the next answers, one fault to each answer. `late_s` is how long a late
      answer is delayed or a stalled answer pauses;
    - `limit` is the text of the limit that the target names in its answers, if any;
    - `is_failing` makes the target answer 500. `health` and `load` replace the true health and
      load reports by misleading ones.
    """

    name: str
    slots: int = 6
    queue_limit: int = 16
    shed_next: int = 0
    parts: int = 3
    part_bytes: int = 0
    part_delay_s: float = 0.0
    work_s: float = 0.0
    cold_start_s: float = 0.0
    cold_factor: float = 4.0
    crash_path: str = "/crash"
    crash_away_s: float = 1.0
    crash_mode: CrashMode = CrashMode.RESET
    faults: deque[AnswerFault] = field(default_factory=deque)
    late_s: float = 1.0
    limit: str | None = None
    is_failing: bool = False
    is_leaving: bool = False
    reports_load: bool = True
    health: str | None = None
    load: dict[str, Any] | None = None

    orders_run: Counter[str] = field(default_factory=Counter)
    upload_hashes: dict[str, str] = field(default_factory=dict)
    uploads_broken: int = 0
    requests: int = 0
    in_flight: int = 0
    queued: int = 0
    most_in_flight: int = 0
    shed: int = 0
    crashes: int = 0
    cancelled: int = 0
    last_request_s: float = 0.0
    last_request_id: str = ""

    is_crashed: bool = False
    started_s: float = field(default_factory=time.monotonic)
    cancelled_ids: dict[str, float] = field(default_factory=dict)
    waiting_ids: set[str] = field(default_factory=set)
    running_ids: set[str] = field(default_factory=set)
    lock: threading.RLock = field(default_factory=threading.RLock)

    @property
    def warmth(self) -> float:
        """Return the elapsed share of the cold start, from 0 (cold) to 1 (warm)."""
        if not self.cold_start_s:
            return 1.0
        return min(1.0, (time.monotonic() - self.started_s) / self.cold_start_s)

    @property
    def mode(self) -> TargetMode:
        """Return whether the target accepts new requests."""
        if self.is_leaving:
            return TargetMode.LEAVING
        return TargetMode.LIVE if self.warmth >= 1.0 else TargetMode.COLD

    @property
    def current_work_s(self) -> float:
        """Return the time before an answer begins, adjusted for the current warmth."""
        factor = self.cold_factor - (self.cold_factor - 1.0) * self.warmth
        return self.work_s * factor

    def behave(self, changes: dict[str, Any]) -> None:
        """Set behaviour fields by name; raise ValueError if a name is unknown."""
        with self.lock:
            for name, value in changes.items():
                if name not in BEHAVIOUR:
                    raise ValueError(
                        f"unknown field {name}, expected one of {', '.join(sorted(BEHAVIOUR))}"
                    )
                if name == "faults":
                    value = deque(AnswerFault(item) for item in value)
                if name == "crash_mode":
                    value = CrashMode(value)
                setattr(self, name, value)

    def restart(self) -> None:
        """Mark the target as up and cold after a crash; keep the counters for later checks."""
        with self.lock:
            self.started_s = time.monotonic()
            self.is_crashed = False

    def cancel(self, request_id: str) -> bool:
        """Cancel a request; return True if the target can prove that it isn't running."""
        with self.lock:
            self.cancelled_ids[request_id] = time.monotonic() + CANCELLATION_TTL_S
            return request_id not in self.running_ids

    def is_cancelled(self, request_id: str) -> bool:
        """Return whether a request was cancelled within the last `CANCELLATION_TTL_S` seconds."""
        with self.lock:
            return self.cancelled_ids.get(request_id, 0.0) > time.monotonic()

    def stats(self) -> dict[str, Any]:
        """Return the counters by name."""
        with self.lock:
            values = {name: getattr(self, name) for name in COUNTERS}
            values.update(orders_run=dict(self.orders_run), upload_hashes=dict(self.upload_hashes))
            return values


_FIELD_NAMES = [item.name for item in fields(TargetState)]
BEHAVIOUR = frozenset(_FIELD_NAMES[1 : _FIELD_NAMES.index("orders_run")])
COUNTERS = (
    "name",
    *_FIELD_NAMES[_FIELD_NAMES.index("orders_run") : _FIELD_NAMES.index("last_request_id")],
)
