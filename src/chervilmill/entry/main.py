"""Run an entry VM with the settings file that the platform renders."""

import asyncio
import os
import signal
import sys
from enum import IntEnum
from pathlib import Path

from chervilmill.entry._entry_vm import EntryVm
from chervilmill.logs import log_problem, set_up_logs
from chervilmill.platform import SETTINGS_VARIABLE, EntrySettings, SettingsError, read_settings
from chervilmill.signals import call_in_loop


class ExitCode(IntEnum):
    """Exit codes of an entry VM."""

    STOPPED = 0
    WRONG_SETTINGS = 2
    CANNOT_START = 3


def main() -> int:
    """Run one entry VM until a stop is requested and return the exit code."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        settings = read_settings(path)
    except SettingsError as exc:
        print(exc, file=sys.stderr)
        return ExitCode.WRONG_SETTINGS
    set_up_logs(settings.name, stream=sys.stdout)
    try:
        asyncio.run(_run(settings, path))
    except OSError as exc:
        log_problem("cannot start", step="bind", peer=settings.host, error=str(exc))
        return ExitCode.CANNOT_START
    return ExitCode.STOPPED


async def _run(settings: EntrySettings, path: Path) -> None:
    vm = EntryVm(settings, path)
    call_in_loop(
        {
            signal.SIGTERM: vm.request_stop,
            signal.SIGINT: vm.request_stop,
            signal.SIGHUP: vm.reload,
        }
    )
    await vm.run()
