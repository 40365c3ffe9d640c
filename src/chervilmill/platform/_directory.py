"""Keep the last known list of VMs."""

import math
import threading
import time

from chervilmill.platform._errors import PlatformError
from chervilmill.platform._model import Vm, VmList, VmRole, VmState

REFRESH_INTERVAL_S = 0.5


class Directory:
    """Refresh the list of VMs in a thread and keep the last one while the platform is down.

    `refreshed_at_s` is the monotonic time at which the last answered call was sent.
    """

    def __init__(self, vm_list: VmList) -> None:
        self._vm_list = vm_list
        self._vms: tuple[Vm, ...] = ()
        self.refreshed_at_s = -math.inf
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="directory", daemon=True)

    def start(self) -> None:
        """Read the list once and go on refreshing it."""
        self.refresh()
        self._thread.start()

    def stop(self) -> None:
        """Stop refreshing."""
        self._stopped.set()

    def refresh(self) -> bool:
        """Read the list now and return whether the platform answered."""
        asked_at_s = time.monotonic()
        try:
            self._vms = self._vm_list.vms()
        except PlatformError:
            return False
        self.refreshed_at_s = asked_at_s
        return True

    def entry_vms(self) -> tuple[Vm, ...]:
        """Return the live entry VMs."""
        return tuple(vm for vm in self._vms if _is_live(vm, VmRole.ENTRY))

    def targets(self, service: str) -> tuple[Vm, ...]:
        """Return the live targets of a service."""
        return tuple(
            vm for vm in self._vms if vm.service == service and _is_live(vm, VmRole.TARGET)
        )

    def _run(self) -> None:
        while not self._stopped.wait(REFRESH_INTERVAL_S):
            self.refresh()


def _is_live(vm: Vm, role: VmRole) -> bool:
    return vm.role is role and vm.state is VmState.LIVE
