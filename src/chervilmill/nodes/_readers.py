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
from chervilmill.nodes._paced_calls import PacedCalls
from chervilmill.nodes._transport import Transport
from chervilmill.supervision import supervised_thread

NO_WAIT_S = 0.0  # time-out of a watch that is answered at once
WATCH_TIMEOUT_S = 5.0
RETRY_INTERVAL_S = 0.5
RELAY_CHECK_INTERVAL_S = 0.5
MAX_OPEN_READINGS = 4
LATE_ANSWER_S = 0.5  # an answer that takes longer shows that the platform is slow
POLL_INTERVAL_S = 0.5
MAX_OPEN_POLLS = 5


class VmListReader:
    """Reads the list of VMs; the interval between calls grows with the number of nodes.

    An answer that a later call has overtaken is dropped.
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
        self._lock = threading.Lock()
        self._answered_s = float("-inf")
        self._calls = PacedCalls(
            "VM list",
            MAX_OPEN_READINGS,
            lambda: interval_s() * (0.75 + 0.5 * rng.random()),
            self._read,
        )

    def start(self) -> None:
        """Start to read."""
        self._calls.start()

    def stop(self) -> None:
        """Stop after the present calls."""
        self._calls.stop()

    def _read(self) -> None:
        started_s = time.monotonic()
        try:
            vms = self._vm_list.vms()
        except PlatformError:
            return
        with self._lock:
            if started_s < self._answered_s:
                return
            self._answered_s = started_s
            self._transport.call(lambda machine, _: machine.receive_vm_list(vms, started_s))


class ConfigurationReader:
    """Watches the configuration while this node is a relay of its failure domain.

    The first call does not wait for a change, so that a node also learns at once that the
    configuration is empty. Nor does the call after a change, which tells how long answers take.

    A change that follows another one is only seen by the watch that begins after the answer on
    the first. While answers are late, calls that do not wait are therefore made beside the watch.
    """

    def __init__(
        self, store: ObjectStore, transport: Transport, is_relay: Callable[[], bool]
    ) -> None:
        self._store = store
        self._transport = transport
        self._is_relay = is_relay
        self._after_version = 0
        self._timeout_s = NO_WAIT_S
        self._answer_due_s = float("inf")
        self._lateness_s = 0.0
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = supervised_thread("configuration", self._run)
        self._polls = PacedCalls(
            "configuration", MAX_OPEN_POLLS, lambda: POLL_INTERVAL_S, self._poll
        )

    def start(self) -> None:
        """Start the threads."""
        self._thread.start()
        self._polls.start()

    def stop(self) -> None:
        """Stop after the present calls."""
        self._stopped.set()
        self._polls.stop()

    def _run(self) -> None:
        while not self._stopped.is_set():
            if self._is_relay():
                self._watch()
                continue
            self._after_version = 0
            self._timeout_s = NO_WAIT_S
            self._answer_due_s = float("inf")
            self._stopped.wait(RELAY_CHECK_INTERVAL_S)

    def _watch(self) -> None:
        sent_s = time.monotonic()
        self._answer_due_s = sent_s + self._timeout_s
        try:
            result = self._store.watch(CONFIGURATION_KIND, self._after_version, self._timeout_s)
        except PlatformError:
            self._answer_due_s = float("inf")
            self._stopped.wait(RETRY_INTERVAL_S)
            return
        lateness_s = time.monotonic() - self._answer_due_s
        if lateness_s >= 0:  # else a change ended the wait, at a time that is not known
            self._lateness_s = lateness_s
        self._timeout_s = NO_WAIT_S if result.changed else WATCH_TIMEOUT_S
        self._forward(result, sent_s)
        if not result.changed and result.version < self._after_version:
            self._stopped.wait(RETRY_INTERVAL_S)

    def _poll(self) -> None:
        """Read the changes without waiting for any, if answers are late and a copy is known."""
        sent_s = time.monotonic()
        lateness_s = max(self._lateness_s, sent_s - self._answer_due_s)
        if lateness_s < LATE_ANSWER_S or not self._after_version:
            return
        try:
            result = self._store.watch(CONFIGURATION_KIND, self._after_version, NO_WAIT_S)
        except PlatformError:
            return
        self._lateness_s = time.monotonic() - sent_s
        self._forward(result, sent_s)

    def _forward(self, result: WatchResult, sent_s: float) -> None:
        with self._lock:
            self._after_version = max(self._after_version, result.version)
        self._transport.call(lambda machine, _: machine.receive_configuration(result, sent_s))
