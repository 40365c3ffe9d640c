"""Receive the signals that stop a process of threads."""

import os
import signal
import threading
from collections.abc import Callable

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def call_on_stop_signal(action: Callable[[], None]) -> None:
    """Call an action at the first SIGTERM or SIGINT, in a thread of its own.

    A signal handler runs between any two steps of the main thread, also of the handler before it.
    If handlers took a lock, the next signal could wait for that lock for ever. Call this from the
    main thread; it takes the wake-up descriptor of the process.
    """
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
    for number in STOP_SIGNALS:
        signal.signal(number, _do_nothing)
    threading.Thread(target=_wait, args=(reader, action), name="signals", daemon=True).start()


def _do_nothing(_number: int, _frame: object) -> None:
    """Keep the default action of a signal from ending the process."""


def _wait(reader: int, action: Callable[[], None]) -> None:
    os.read(reader, 1)
    action()
