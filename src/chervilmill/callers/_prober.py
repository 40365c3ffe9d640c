"""Probe targets that could not be reached, said that they leave, or were silent for long."""

import threading
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

from chervilmill.callers._places import Places
from chervilmill.coordination import Vm
from chervilmill.requests import TargetCondition

INTERVAL_S = 0.1
PROBE_THREADS = 4


class Probes(Protocol):
    """Ask a target for its state."""

    def probe(self, target: Vm) -> TargetCondition | None:
        """Return what the target states of itself, or None where it cannot be reached."""
        ...


class Prober:
    """Run the probes that are due in a few threads, one at a time for each target."""

    def __init__(self, places: Iterable[Places], probes: Probes) -> None:
        self._places = tuple(places)
        self._probes = probes
        self._probing: set[str] = set()
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._pool = ThreadPoolExecutor(PROBE_THREADS, thread_name_prefix="probe")
        self._thread = threading.Thread(target=self._run, name="prober", daemon=True)

    def start(self) -> None:
        """Begin to probe."""
        self._thread.start()

    def stop(self) -> None:
        """Stop probing."""
        self._stopped.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _run(self) -> None:
        while not self._stopped.wait(INTERVAL_S):
            for places in self._places:
                for target in places.probes_due():
                    self._begin(places, target)

    def _begin(self, places: Places, target: Vm) -> None:
        with self._lock:
            if target.name in self._probing or self._stopped.is_set():
                return
            self._probing.add(target.name)
            self._pool.submit(self._probe, places, target)

    def _probe(self, places: Places, target: Vm) -> None:
        try:
            condition = self._probes.probe(target)
            if condition is not None:
                places.set_probed_condition(target.name, condition)
            places.probed(target.name, condition is not None)
        finally:
            with self._lock:
                self._probing.discard(target.name)
