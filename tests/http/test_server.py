"""Test the connection limit and the draining of the server."""

import socket
from collections.abc import Iterator

import pytest

from chervilmill.http import EarlyRefusal, HttpServer
from tests.support import free_address

TIMEOUT_S = 10
MAX_CONNECTIONS = 2


def answer(_environ, start_response) -> list[bytes]:
    start_response("200 OK", [("Content-Length", "2")])
    return [b"ok"]


def early(status: int, detail: str) -> EarlyRefusal:
    return EarlyRefusal(f"{status} Refused", "text/plain", detail.encode())


@pytest.fixture
def server() -> Iterator[HttpServer]:
    running = HttpServer(
        free_address(), answer, threads=2, max_connections=MAX_CONNECTIONS, early_refusals=early
    )
    running.start()
    yield running
    running.stop()


def connect(server: HttpServer) -> socket.socket:
    return socket.create_connection((server.address.host, server.address.port), TIMEOUT_S)


def read_all(sock: socket.socket) -> bytes:
    received = b""
    while part := sock.recv(4096):
        received += part
    return received


def test_connection_over_the_limit_is_refused(server: HttpServer) -> None:
    kept = [connect(server) for _ in range(MAX_CONNECTIONS)]
    for sock in kept:
        sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
        assert sock.recv(4096)
    with connect(server) as sock:
        assert read_all(sock).startswith(b"HTTP/1.1 503 Refused")
    for sock in kept:
        sock.close()


def test_drain_answers_once_more_and_closes_idle_connections(server: HttpServer) -> None:
    with connect(server) as busy, connect(server) as idle:
        server.refuse_keep_alive()
        busy.sendall(b"GET / HTTP/1.1\r\n\r\n")
        assert read_all(busy).endswith(b"ok")
        assert server.drain(idle_s=0, timeout_s=TIMEOUT_S)
        assert read_all(idle) == b""
