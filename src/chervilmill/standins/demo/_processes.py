"""Start and stop the processes of the demonstration."""

import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

STOP_TIMEOUT_S = 10
SOURCE_DIR = Path(__file__).resolve().parents[3]


class Processes:
    """A group of child processes whose logs go to files in one folder."""

    def __init__(self, log_dir: Path) -> None:
        self._log_dir = log_dir
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    def start(self, name: str, module: str, arguments: Sequence[str]) -> None:
        """Start a module as a process under a name."""
        with open(self._log_dir / f"{name}.log", "ab") as log:
            self._running[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments], env=_environment(), stderr=log
            )

    def signal_stop(self, name: str) -> None:
        """Send SIGTERM to a process."""
        self._running[name].send_signal(signal.SIGTERM)

    def wait(self, name: str, timeout_s: float) -> int | None:
        """Return the exit code of a process, or None if it still runs after the timeout."""
        try:
            return self._running[name].wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def close(self) -> None:
        """Kill every process that still runs."""
        for process in self._running.values():
            process.kill()
        for process in self._running.values():
            process.wait(STOP_TIMEOUT_S)


def run_module(module: str, arguments: Sequence[str]) -> subprocess.CompletedProcess[str]:
    """Run a module until it exits and return its exit code and output."""
    return subprocess.run(
        [sys.executable, "-m", module, *arguments],
        env=_environment(),
        capture_output=True,
        text=True,
        timeout=STOP_TIMEOUT_S,
        check=False,
    )


def _environment() -> dict[str, str]:
    inherited = os.environ.get("PYTHONPATH")
    paths = [str(SOURCE_DIR), *([inherited] if inherited else [])]
    return {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}
