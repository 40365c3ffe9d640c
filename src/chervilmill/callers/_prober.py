"""Probe targets that are unreachable, leaving, or have been silent for a long time."""

import threading
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

from chervilmill.callers._slots import TargetSlots
from chervilmill.coordination import Vm
from chervilmill.requests import TargetCondition
from chervilmill.supervision import supervised_thread

PROBE_INTERVAL_S = 0.1
PROBE_THREADS = 4


class ProbeClient(Protocol):
    """A client that asks targets for their condition."""

    def probe(self, target: Vm) -> TargetCondition | None:
        """Return the condition that a target reports, or None if it is unreachable."""
        ...


class Prober:
    """Runs due probes in a small thread pool, at most one at a time for each target."""

    def __init__(self, slots: Iterable[TargetSlots], client: ProbeClient) -> None:
        self._slots = tuple(slots)
        self._client = client
        self._in_progress: set[str] = set()
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._pool = ThreadPoolExecutor(PROBE_THREADS, thread_name_prefix="probe")
        self._thread = supervised_thread("prober", self._run)

    def start(self) -> None:
        """Start probing."""
        self._thread.start()

    def stop(self) -> None:
        """Stop probing."""
        self._stopped.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _run(self) -> None:
        while not self._stopped.wait(PROBE_INTERVAL_S):
            for service_slots in self._slots:
                for target in service_slots.probes_due():
                    self._submit(service_slots, target)

    def _submit(self, slots: TargetSlots, target: Vm) -> None:
        with self._lock:
            if target.name in self._in_progress or self._stopped.is_set():
                return
            self._in_progress.add(target.name)
            self._pool.submit(self._probe, slots, target)

    def _probe(self, slots: TargetSlots, target: Vm) -> None:
        try:
            condition = self._client.probe(target)
            if condition is not None:
                slots.set_probed_condition(target.name, condition)
            slots.record_probe(target.name, condition is not None)
        finally:
            with self._lock:
                self._in_progress.discard(target.name)
