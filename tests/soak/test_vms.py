"""Test that starting and stopping entry VMs leaves no process behind."""

import asyncio
import signal
from pathlib import Path

from chervilmill.addresses import Address
from soak.site import VmPorts
from soak.vms import VmProcess

SIGNALS = 400
STOP_TIMEOUT_S = 20.0


def test_overlapping_restarts_leave_one_process(tmp_path: Path) -> None:
    """A stop that overlaps a kill and restart of the same VM must not start a second process."""

    async def overlap_restarts() -> None:
        ports = VmPorts("127.88.1.1", 8161, 8164, 8167, 8166, 7720, 7735)
        vm = VmProcess("vm-1", "north-a", ports, Address("127.88.9.1", 8169), tmp_path)
        vm.start()
        first = vm.pid
        stopping = asyncio.create_task(vm.wait_for_exit(6.0))
        await asyncio.sleep(0)
        vm.kill()
        vm.start()
        second = vm.pid
        assert await stopping
        vm.start()
        assert vm.pid == second != first
        vm.kill()
        assert await vm.wait_for_exit(1.0)
        vm.signal(signal.SIGTERM)

    asyncio.run(overlap_restarts())


def test_signals_in_a_burst_block_an_entry_vm(tmp_path: Path) -> None:
    async def send_signals() -> None:
        ports = VmPorts("127.88.1.2", 8161, 8164, 8167, 8166, 7720, 7735)
        vm = VmProcess("vm-1", "north-a", ports, Address("127.88.9.2", 8169), tmp_path)
        vm.start()
        while not (tmp_path / "vm-1.log").read_bytes():
            await asyncio.sleep(0.05)
        for _ in range(SIGNALS):
            vm.signal(signal.SIGHUP)
            vm.signal(signal.SIGTERM)
        assert await vm.wait_for_exit(STOP_TIMEOUT_S)

    asyncio.run(send_signals())
