"""Inject faults into a fleet and record the disrupted VMs and the announced leavings."""

import json
import threading
import time
from collections.abc import Callable, Mapping, Sequence

from bench.checker import Disruption, PlannedStop, TargetLeaving, Trace
from bench.faults._schedule import FaultKind, LeavingSign, PlannedFault
from bench.fleet import Fleet
from chervilmill.coordination import CONFIGURATION_KIND, PlatformError, VmState
from chervilmill.standins.store import retry_until

VM_LIST_LAG_S = 1.5
RESTART_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 15.0
SLOW_STORE_S = 0.6
LOST_REPLIES = 3
LOST_REPLIES_INTERVAL_S = 0.5


class Injector:
    """Injects planned faults; each call of `inject` runs in a thread of its own."""

    def __init__(self, fleet: Fleet, trace: Trace) -> None:
        self._fleet = fleet
        self._trace = trace
        self._actions: Mapping[FaultKind, Callable[[PlannedFault, float], None]] = {
            FaultKind.ENTRY_KILLED: self._kill,
            FaultKind.TARGET_KILLED: self._kill,
            FaultKind.DOMAIN_LOST: self._lose_domain,
            FaultKind.ENTRY_PAUSED: self._pause,
            FaultKind.REGIONS_PARTED: self._partition,
            FaultKind.STORE_DOWN: self._take_store_down,
            FaultKind.STORE_SLOW: self._slow_store,
            FaultKind.REPLIES_LOST: self._lose_replies,
            FaultKind.VM_LIST_STALE: self._freeze_vm_list,
            FaultKind.TARGET_DRAINS: self._drain_target,
            FaultKind.ROLLING_REPLACEMENT: self._replace_entries,
        }

    def inject(self, fault: PlannedFault, started_s: float) -> None:
        """Wait until a fault is due, inject the fault and undo it at its end."""
        action = self._actions.get(fault.kind)
        if action is not None:
            _sleep_until(started_s + fault.from_s)
            action(fault, started_s + fault.until_s)

    def _kill(self, fault: PlannedFault, until_s: float) -> None:
        self._kill_all(fault.names, until_s)

    def _lose_domain(self, fault: PlannedFault, until_s: float) -> None:
        self._kill_all(self._fleet.vms_in(fault.names[0]), until_s)

    def _kill_all(self, names: Sequence[str], until_s: float) -> None:
        from_s = time.monotonic()
        for name in names:
            self._fleet.processes[name].kill()
        _sleep_until(min(until_s, from_s + VM_LIST_LAG_S))
        for name in names:
            self._fleet.store.remove_vm(name)
        _sleep_until(until_s)
        for name in names:
            self._start(name)
        for name in names:
            self._wait_until_up(name)
            self._fleet.set_vm_state(name, VmState.LIVE)
            self._trace.disruptions.append(Disruption(name, from_s, time.monotonic()))

    def _pause(self, fault: PlannedFault, until_s: float) -> None:
        (name,) = fault.names
        process = self._fleet.processes[name]
        from_s = time.monotonic()
        process.pause()
        _sleep_until(until_s)
        process.resume()
        self._trace.disruptions.append(Disruption(name, from_s, time.monotonic()))

    def _partition(self, fault: PlannedFault, until_s: float) -> None:
        first, second = fault.names
        self._fleet.partition_regions(first, second)
        _sleep_until(until_s)
        self._fleet.reconnect_regions(first, second)

    def _take_store_down(self, fault: PlannedFault, until_s: float) -> None:
        self._fleet.store.is_down = True
        _sleep_until(until_s)
        self._fleet.store.is_down = False

    def _slow_store(self, fault: PlannedFault, until_s: float) -> None:
        self._fleet.store.delay_s = SLOW_STORE_S
        _sleep_until(until_s)
        self._fleet.store.delay_s = 0.0

    def _lose_replies(self, fault: PlannedFault, until_s: float) -> None:
        while time.monotonic() < until_s:
            self._fleet.store.lose_replies = LOST_REPLIES
            time.sleep(LOST_REPLIES_INTERVAL_S)
        self._fleet.store.lose_replies = 0

    def _freeze_vm_list(self, fault: PlannedFault, until_s: float) -> None:
        for view in self._fleet.views.values():
            view.freeze_vm_list()
        _sleep_until(until_s)
        for view in self._fleet.views.values():
            view.unfreeze_vm_list()

    def _drain_target(self, fault: PlannedFault, until_s: float) -> None:
        name, sign = fault.names
        self._set_leaving(name, LeavingSign(sign), is_leaving=True)
        announced_s = time.monotonic()
        _sleep_until(until_s)
        self._trace.leavings.append(TargetLeaving(name, announced_s, time.monotonic()))
        self._set_leaving(name, LeavingSign(sign), is_leaving=False)

    def _set_leaving(self, name: str, sign: LeavingSign, *, is_leaving: bool) -> None:
        match sign:
            case LeavingSign.VM_LIST:
                self._fleet.set_vm_state(name, VmState.LEAVING if is_leaving else VmState.LIVE)
            case LeavingSign.CONFIGURATION:
                value = json.dumps({"leaving": is_leaving}).encode()
                write_configuration(self._fleet, f"leaving/{name}", value)
            case LeavingSign.ANSWERS:
                self._fleet.change_behaviour(name, {"is_leaving": is_leaving})

    def _replace_entries(self, fault: PlannedFault, until_s: float) -> None:
        for name in fault.names:
            self._replace_entry(name)

    def _replace_entry(self, name: str) -> None:
        process = self._fleet.processes[name]
        if not process.is_running:
            return
        requested_s = time.monotonic()
        self._fleet.set_vm_state(name, VmState.LEAVING)
        process.terminate()
        exit_code = process.wait(STOP_TIMEOUT_S)
        ended_s = time.monotonic()
        self._trace.stops.append(PlannedStop(name, requested_s, ended_s, exit_code))
        process.kill()
        self._start(name)
        self._wait_until_up(name)
        self._fleet.set_vm_state(name, VmState.LIVE)
        self._trace.disruptions.append(Disruption(name, ended_s, time.monotonic()))

    def _start(self, name: str) -> None:
        if name in self._fleet.entries:
            self._fleet.start_entry(name)
        else:
            self._fleet.start_target(name)

    def _wait_until_up(self, name: str) -> None:
        if name in self._fleet.entries:
            retry_until(lambda: self._fleet.is_up(name), RESTART_TIMEOUT_S, interval_s=0.1)


class Supervisor:
    """Restarts targets whose process a crash request ended."""

    def __init__(self, fleet: Fleet, trace: Trace, crash_exit_code: int) -> None:
        self._fleet = fleet
        self._trace = trace
        self._crash_exit_code = crash_exit_code
        self.crashes = 0

    def run(self, stopped: threading.Event, restart_after_s: float) -> None:
        """Restart crashed targets until `stopped` is set."""
        while not stopped.wait(0.05):
            for name in self._fleet.targets:
                process = self._fleet.processes[name]
                if process.wait(0) == self._crash_exit_code:
                    crashed_s = time.monotonic()
                    self.crashes += 1
                    stopped.wait(restart_after_s)
                    self._fleet.start_target(name)
                    up_s = time.monotonic() + restart_after_s
                    self._trace.disruptions.append(Disruption(name, crashed_s - 1.0, up_s))


def write_configuration(fleet: Fleet, name: str, value: bytes) -> int | None:
    """Write a configuration object and return its version, or None if the write failed.

    The caller must be the only writer of the object.
    """
    try:
        stored = fleet.store.get(CONFIGURATION_KIND, name)
        if stored is None:
            return fleet.store.create(CONFIGURATION_KIND, name, value)
        return fleet.store.update(CONFIGURATION_KIND, name, value, stored.version)
    except PlatformError:
        return None


def _sleep_until(at_s: float) -> None:
    time.sleep(max(0.0, at_s - time.monotonic()))
