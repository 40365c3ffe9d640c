"""Receive the signals of a process, however many arrive."""

import asyncio
import os
import signal
import threading
from collections.abc import Callable, Mapping

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
READ_BYTES = 65_536


def call_on_stop_signal(action: Callable[[], None]) -> None:
    """Call an action at the first SIGTERM or SIGINT, in a thread of its own.

    A signal handler runs between any two steps of the main thread, also of the handler before it.
    If handlers took a lock, the next signal could wait for that lock for ever. Call this from the
    main thread; it takes the wake-up descriptor of the process.
    """
    reader = _take_wakeup_descriptor()
    for number in STOP_SIGNALS:
        signal.signal(number, _do_nothing)
    threading.Thread(target=_wait, args=(reader, action), name="signals", daemon=True).start()


def call_in_loop(actions: Mapping[signal.Signals, Callable[[], None]]) -> None:
    """Call the action of a signal in the running event loop, at least once after its last signal.

    Signals that arrive before the loop turns to them share one call. The handlers that asyncio
    offers may stop the process for ever: where signals fill its wake-up socket, the interpreter
    reports this from within the signal, under a lock that the main thread may hold. Call this from
    the main thread, once; it takes the wake-up descriptor of the process until its end.
    """
    received: set[int] = set()

    def note(number: int, _frame: object) -> None:
        received.add(number)

    def call_actions() -> None:
        os.read(reader, READ_BYTES)
        for number, action in actions.items():
            if number in received:
                received.discard(number)
                action()

    reader = _take_wakeup_descriptor()
    asyncio.get_running_loop().add_reader(reader, call_actions)
    for number in actions:
        signal.signal(number, note)


def _take_wakeup_descriptor() -> int:
    """Return the end of a pipe that can be read once a signal has arrived.

    The other end must neither block nor report that it is full, both of which may wait for ever.
    """
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
    return reader


def _do_nothing(_number: int, _frame: object) -> None:
    """Keep the default action of a signal from ending the process."""


def _wait(reader: int, action: Callable[[], None]) -> None:
    os.read(reader, 1)
    action()
