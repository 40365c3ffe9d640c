"""Test a platform that sends bytes without end, in a head or a body, until the node closes."""

import socket
import threading
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

import pytest

from chervilmill.addresses import Address
from chervilmill.coordination import HttpPlatform, PlatformError
from tests.support import free_address

TIMEOUT_S = 1.0
SLACK_S = 2.0
WAIT_S = 8.0  # until a call counts as one that never ends
MAX_MEMORY_BYTES = 64 * 1024 * 1024
BLOCK = b"x" * 16_384
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
CHUNK = b"4000\r\n" + BLOCK + b"\r\n"

# What the platform sends first, and what it repeats until the connection is closed.
ENDLESS = {
    "no_answer_at_all": (b"", BLOCK),
    "header": (b"HTTP/1.1 200 OK\r\nx-long: ", BLOCK),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"x-more: 1\r\n" * 1024),
    "interim_answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 512),
    "body_in_chunks": (CHUNKED, CHUNK),
    "body_until_the_end": (b"HTTP/1.1 200 OK\r\n\r\n", BLOCK),
    "chunk_size": (CHUNKED, b"0" * 16_384),
}
CALLS: dict[str, Callable[[HttpPlatform], object]] = {
    "read": lambda platform: platform.get("kind", "name"),
    "list_of_vms": lambda platform: platform.vms(),
    "watch": lambda platform: platform.watch("kind", 1, 0.0),
    "write": lambda platform: platform.create("kind", "name", b"value"),
}


@contextmanager
def _endless_platform(first: bytes, repeated: bytes) -> Iterator[Address]:
    address = free_address()
    listener = socket.create_server((address.host, address.port))
    ended = threading.Event()

    def serve() -> None:
        with suppress(OSError):
            sock, _ = listener.accept()
            with sock:
                sock.recv(4096)
                sock.sendall(first)
                while not ended.is_set():
                    sock.sendall(repeated)

    threading.Thread(target=serve, daemon=True).start()
    try:
        yield address
    finally:
        ended.set()
        listener.close()


# The library read each answer to its end, and counted no interim answers.
@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
@pytest.mark.parametrize(("first", "repeated"), ENDLESS.values(), ids=ENDLESS)
def test_bytes_without_end_hold_a_call_and_fill_the_memory(
    call: Callable[[HttpPlatform], object], first: bytes, repeated: bytes
) -> None:
    errors: list[BaseException] = []

    def run(address: Address) -> None:
        try:
            call(HttpPlatform(address, TIMEOUT_S))
        except PlatformError as exc:
            errors.append(exc)

    with _endless_platform(first, repeated) as address:
        tracemalloc.start()
        began_s = time.monotonic()
        calling = threading.Thread(target=run, args=(address,), daemon=True)
        calling.start()
        calling.join(WAIT_S)
        took_s = time.monotonic() - began_s
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
    assert len(errors) == 1
    assert took_s < TIMEOUT_S + 2.0 + SLACK_S  # a watch has two seconds more
    assert peak < MAX_MEMORY_BYTES
