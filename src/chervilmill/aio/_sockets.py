"""Set the socket options by which a connection that has gone silent is noticed."""

import asyncio
import socket

UNACKNOWLEDGED_MS = 1500  # under the grace of a retry; a region's round trip is about 0.1 s
PROBE_IDLE_S = 2
PROBE_INTERVAL_S = 1
PROBES = 2


def notice_silence(transport: asyncio.BaseTransport) -> None:
    """Have the kernel end a connection whose peer stops acknowledging."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
