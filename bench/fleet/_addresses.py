"""Assign every VM of a run a loopback address of its own, so that concurrent runs don't collide."""

import os

from chervilmill.addresses import Address

CALLERS_PORT = 18080
OPERATORS_PORT = 18081
NODES_PORT = 18082
TARGET_PORT = 18083
PLATFORM_PORT = 18084
RELAY_PORT = 18100

_NETWORK = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}"


def address(host: int, port: int) -> Address:
    """Return the address of a port on the host with the given number (1 to 254) in this run."""
    return Address(f"{_NETWORK}.{host}", port)
