"""Set the socket options that detect dead peers and discard what a closed connection holds.

TCP_USER_TIMEOUT is not among those of an open connection: it also ends one whose peer is alive and
reads slowly, as it runs while the peer acknowledges the probes of its closed window. Linux does not
even start it anew for each such pause.
"""

import array
import asyncio
import fcntl
import socket
import struct
import termios

KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
MAX_KEEPALIVE_PROBES = 1
# Where TCP_INFO has, behind eight bytes and two numbers, the size of segments sent and, behind one
# more number, how many of them are not acknowledged.
_SENT_SEGMENTS = struct.Struct("=16xI4xI")
# States of a connection whose peer has closed its side, as Linux reports them first in TCP_INFO.
_CLOSED_STATES = frozenset({7, 8})  # TCP_CLOSE and TCP_CLOSE_WAIT


def enable_dead_peer_detection(transport: asyncio.BaseTransport) -> None:
    """Make the kernel end an idle connection whose peer acknowledges no probes."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_KEEPALIVE_PROBES)


def has_closed_window(sock: socket.socket) -> bool:
    """Return whether the peer has acknowledged all that was sent.

    If bytes wait to be sent all the same, only its window holds them back.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _SENT_SEGMENTS.size)
    except OSError:
        return False
    if len(info) < _SENT_SEGMENTS.size:
        return False
    segment_bytes, unacknowledged = _SENT_SEGMENTS.unpack(info)
    return segment_bytes > 0 and not unacknowledged


def limit_delivery_after_close(transport: asyncio.BaseTransport, limit_s: float) -> None:
    """Bound for how long the system goes on sending to a peer whose window stays closed."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        limit_ms = int(1000 * limit_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)


def discard_unsent_on_close(transport: asyncio.BaseTransport) -> None:
    """Make a close reset the connection, so that bytes that were not delivered are dropped.

    Otherwise the kernel goes on sending them, and a request may reach its peer long after it was
    given up.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def has_peer_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed its side, also if bytes before the end are unread."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in _CLOSED_STATES
    except OSError:
        return True


def count_unacknowledged(sock: socket.socket) -> int:
    """Return how many bytes the system still holds for a peer that has not taken them."""
    count = array.array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, count)
    except (OSError, ValueError):
        return 0
    return count[0]
