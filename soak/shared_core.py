"""One core that all entry VMs share, with busy processes beside them."""

import os
import subprocess
import sys

# A busy process ends by itself, even if the soak is killed.
BUSY_PROGRAM = """
import sys, time
end = time.time() + float(sys.argv[1])
while time.time() < end:
    pass
"""
STARTUP_SLACK_S = 60.0


class SharedCore:
    """Pins processes to the last of the cores that the soak may use."""

    def __init__(self) -> None:
        self._core = max(os.sched_getaffinity(0))
        self._busy: list[subprocess.Popen[bytes]] = []

    def pin(self, pid: int) -> None:
        """Have a process of the soak run on the core."""
        os.sched_setaffinity(pid, {self._core})

    def start_busy(self, count: int, for_s: float) -> None:
        """Start processes that use the core for a time."""
        for _ in range(count):
            seconds = str(for_s + STARTUP_SLACK_S)
            process = subprocess.Popen([sys.executable, "-c", BUSY_PROGRAM, seconds])
            self._busy.append(process)
            self.pin(process.pid)

    def end_busy(self) -> None:
        """End the busy processes."""
        while self._busy:
            process = self._busy.pop()
            process.kill()
            process.wait()
