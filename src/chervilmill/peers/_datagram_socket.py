"""Receive all datagrams that wait in a UDP socket, and bound for how long they have waited."""

import asyncio
import socket
from typing import Any

from chervilmill.logs import log_problem

MAX_DATAGRAMS_AT_ONCE = 256  # the rest waits for the next turn of the event loop
MAX_DATAGRAM_BYTES = 65_536


class DatagramSocket(asyncio.DatagramTransport):
    """A bound UDP socket that hands each datagram to a protocol.

    The transports of asyncio read one datagram in each turn of the event loop, so that datagrams
    queue up while its turns are long, and nothing tells how old they are.
    """

    def __init__(self, host: str, port: int, protocol: asyncio.DatagramProtocol) -> None:
        """Bind the socket, or raise OSError; the event loop must be running."""
        super().__init__()
        self._loop = asyncio.get_running_loop()
        self._protocol = protocol
        self._emptied_s = self._loop.time()
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self._socket.setblocking(False)
            self._socket.bind((host, port))
        except OSError:
            self._socket.close()
            raise
        self._is_closing = False
        self._loop.add_reader(self._socket, self.poll)

    def held_s(self) -> float:
        """Return for how long a datagram that was just received may have waited at most."""
        return self._loop.time() - self._emptied_s

    def poll(self) -> None:
        """Receive the datagrams there are."""
        for _ in range(MAX_DATAGRAMS_AT_ONCE):
            if self._is_closing:
                return
            polled_s = self._loop.time()
            try:
                data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                self._emptied_s = polled_s
                return
            except OSError as exc:
                self._protocol.error_received(exc)
                return
            self._protocol.datagram_received(data, address)

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send a datagram, which is lost if there is no room for it."""
        if self._is_closing:
            return
        try:
            self._socket.sendto(data, addr)
        except BlockingIOError:
            log_problem("datagram not delivered", step="gossip", peer=str(addr), error="no room")
        except (OSError, ValueError) as exc:  # the latter for a host that is no address
            self._protocol.error_received(exc)

    def is_closing(self) -> bool:
        """Return whether the socket is closed."""
        return self._is_closing

    def close(self) -> None:
        """Close the socket at once."""
        if not self._is_closing:
            self._is_closing = True
            self._loop.remove_reader(self._socket)
            self._socket.close()

    abort = close
