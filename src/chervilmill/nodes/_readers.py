"""Read the list of VMs and the configuration from the platform on behalf of all nodes."""

import random
import threading
import time
from collections.abc import Callable

from chervilmill.coordination import (
    CONFIGURATION_KIND,
    ObjectStore,
    PlatformError,
    VmList,
    WatchResult,
)
from chervilmill.nodes._transport import Transport

INITIAL_WATCH_TIMEOUT_S = 0.0
WATCH_TIMEOUT_S = 5.0
MAX_OPEN_READINGS = (
    4  # at a time, so that the answers of a slow platform do not delay the next call
)
RETRY_INTERVAL_S = 0.5
RELAY_CHECK_INTERVAL_S = 0.5


class VmListReader:
    """Reads the list of VMs; the interval between calls grows with the number of nodes.

    A call begins when it is due, whether or not earlier ones have been answered. An answer that a
    later call has overtaken is dropped.
    """

    def __init__(
        self,
        vm_list: VmList,
        transport: Transport,
        interval_s: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._vm_list = vm_list
        self._transport = transport
        self._interval_s = interval_s
        self._rng = rng
        self._stopped = threading.Event()
        self._turn = threading.Lock()
        self._due_s = time.monotonic()
        self._answer_lock = threading.Lock()
        self._answered_s = float("-inf")
        self._threads = [
            threading.Thread(target=self._run, name=f"VM list-{index}", daemon=True)
            for index in range(MAX_OPEN_READINGS)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop after the present calls."""
        self._stopped.set()

    def _run(self) -> None:
        while self._await_turn():
            self._read()

    def _await_turn(self) -> bool:
        """Wait until the next call is due, and return whether to make it."""
        with self._turn:
            self._stopped.wait(max(0.0, self._due_s - time.monotonic()))
            interval_s = self._interval_s() * (0.75 + 0.5 * self._rng.random())
            self._due_s = time.monotonic() + interval_s
            return not self._stopped.is_set()

    def _read(self) -> None:
        started_s = time.monotonic()
        try:
            vms = self._vm_list.vms()
        except PlatformError:
            return
        with self._answer_lock:
            if started_s < self._answered_s:
                return
            self._answered_s = started_s
            self._transport.call(lambda machine, _: machine.receive_vm_list(vms, started_s))


class ConfigurationReader:
    """A thread that watches the configuration while this node is a relay of its failure domain.

    The first call does not wait for a change, so that a node also learns at once that the
    configuration is empty.
    """

    def __init__(
        self, store: ObjectStore, transport: Transport, is_relay: Callable[[], bool]
    ) -> None:
        self._store = store
        self._transport = transport
        self._is_relay = is_relay
        self._after_version = 0
        self._timeout_s = INITIAL_WATCH_TIMEOUT_S
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="configuration", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the present call."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            if not self._is_relay():
                self._after_version = 0
                self._timeout_s = INITIAL_WATCH_TIMEOUT_S
                self._stopped.wait(RELAY_CHECK_INTERVAL_S)
                continue
            sent_s = time.monotonic()
            try:
                result = self._store.watch(CONFIGURATION_KIND, self._after_version, self._timeout_s)
            except PlatformError:
                self._stopped.wait(RETRY_INTERVAL_S)
                continue
            self._timeout_s = WATCH_TIMEOUT_S
            self._forward(result, sent_s)

    def _forward(self, result: WatchResult, sent_s: float) -> None:
        self._after_version = max(self._after_version, result.version)
        self._transport.call(lambda machine, _: machine.receive_configuration(result, sent_s))
        if not result.changed and result.version < self._after_version:
            self._stopped.wait(RETRY_INTERVAL_S)
