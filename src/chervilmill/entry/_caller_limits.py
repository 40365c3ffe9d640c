"""Derive the limits for callers from the memory and the descriptors of the VM."""

from collections.abc import Callable

from chervilmill.aio import CallerLimit, HeldBytes, LimitCounter, ServerGuard

MEBIBYTE = 1024 * 1024
# What a process takes that holds nothing for callers, with copies of the store for 4,000 targets.
BASE_MEMORY_MB = 48.0
# Of the other memory, so much is held for callers. Python's allocator, copies of what is being
# passed on and the connections themselves take about as much again.
HELD_SHARE = 0.25
MIN_HELD_BYTES = 4 * MEBIBYTE  # several requests with 1 MiB kept and full read-ahead
CONNECTIONS_SHARE = 0.35
CONNECTION_BYTES = 40 * 1024  # a connection with its task and a request without a body
FILE_DESCRIPTORS = 200  # for files, the log, the store and the node's own sockets
MIN_CONNECTIONS = 16
# Servers for the platform and for peers. A VM full of callers' bytes must still answer them.
CONTROL_SERVERS = frozenset({"peers", "readiness", "metrics"})
# Shares of the descriptors that are left; the rest is for connections to targets and peers.
DESCRIPTOR_SHARES = {
    "callers": 0.45,
    "relay": 0.1,
    "lookups": 0.1,
    "peers": 0.05,
    "readiness": 0.02,
    "metrics": 0.01,
}


def derive_guards(
    memory_mb: float,
    max_descriptors: int,
    clock: Callable[[], float],
    on_limit: Callable[[CallerLimit], None],
) -> dict[str, ServerGuard]:
    """Return the guard of each server by name.

    The servers for callers share a limit of held bytes. Those for the platform and for peers are
    limited by their connections only.
    """
    memory_bytes = max(0.0, memory_mb - BASE_MEMORY_MB) * MEBIBYTE
    held = HeldBytes(max(MIN_HELD_BYTES, int(memory_bytes * HELD_SHARE)))
    counter = LimitCounter(clock, on_limit)
    held.on_cut = lambda: counter.count(CallerLimit.HELD_BYTES_LARGEST, "all", "")
    by_memory = memory_bytes * CONNECTIONS_SHARE / CONNECTION_BYTES
    by_descriptors = max_descriptors - FILE_DESCRIPTORS
    return {
        name: ServerGuard(
            name,
            HeldBytes() if name in CONTROL_SERVERS else held,
            max(MIN_CONNECTIONS, int(min(by_memory, by_descriptors * share))),
            counter=counter,
        )
        for name, share in DESCRIPTOR_SHARES.items()
    }
