"""Start processes, and signal and measure them by their process id only."""

import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
KILL_TIMEOUT_S = 5.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Process:
    """A process that runs a Python module and appends its output to a log file."""

    def __init__(self, name: str, arguments: Sequence[str], log: Path) -> None:
        self.name = name
        env = dict(os.environ, PYTHONPATH=os.pathsep.join((str(ROOT / "src"), str(ROOT))))
        with log.open("ab") as output:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                env=env,
                stdin=subprocess.PIPE,
                stdout=output,
                stderr=output,
                text=True,
            )

    @property
    def is_running(self) -> bool:
        """Return whether the process is still running."""
        return self._popen.poll() is None

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self._popen.kill()
        self._popen.wait(KILL_TIMEOUT_S)

    def pause(self) -> None:
        """Suspend the process until `resume` is called."""
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self._popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful stop."""
        self._popen.terminate()

    def wait(self, timeout_s: float) -> int | None:
        """Return the exit code, or None if the process did not end within the timeout."""
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def write_line(self, line: str) -> None:
        """Write one line to the standard input of the process."""
        assert self._popen.stdin is not None
        self._popen.stdin.write(line + "\n")
        self._popen.stdin.flush()

    def cpu_s(self) -> float:
        """Return the processor time that the process has used."""
        fields = Path(f"/proc/{self._popen.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S

    def memory_bytes(self) -> int:
        """Return the resident memory of the process."""
        return int(Path(f"/proc/{self._popen.pid}/statm").read_text().split()[1]) * _PAGE_BYTES

    def peak_memory_bytes(self) -> int:
        """Return the peak resident memory of the process."""
        lines = Path(f"/proc/{self._popen.pid}/status").read_text().splitlines()
        peak = next(line for line in lines if line.startswith("VmHWM:"))
        return int(peak.split()[1]) * 1024
