"""Send requests that the operators' interface must refuse, over a real connection."""

import socket
from collections.abc import Iterator

import pytest

from chervilmill.http import HttpServer
from chervilmill.metrics import Metrics
from chervilmill.operators import LeavingMarks, OperatorsApp
from chervilmill.standins.store import MemoryStore
from tests.support import TOKEN, free_address

TIMEOUT_S = 20
AUTHORIZED = f"Authorization: Bearer {TOKEN}\r\n".encode()
PUT_MARK = b"PUT /leaving/target-1 HTTP/1.1\r\n"


class Interface:
    """A running operators' interface and its store."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        app = OperatorsApp(TOKEN, Metrics(), LeavingMarks(self.store).routes())
        self.server = HttpServer(
            free_address(), app, threads=2, io_timeout_s=1, least_bytes_per_s=1024**2
        )
        self.server.start()

    def send(self, request: bytes) -> int:
        """Return the status of the answer; the server must then close the connection."""
        address = self.server.address
        with socket.create_connection((address.host, address.port), TIMEOUT_S) as sock:
            sock.sendall(request)
            received = b""
            while part := sock.recv(65536):
                received += part
        return int(received.split()[1])


@pytest.fixture(scope="module")
def interface() -> Iterator[Interface]:
    running = Interface()
    yield running
    running.server.stop()


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (PUT_MARK + b"Content-Length: 17\r\n\r\n" + b'{"leaving": true}', 401),
        (PUT_MARK + b"Content-Length: 9000000\r\n\r\n" + b"x" * 1_000_000, 401),
        (PUT_MARK + AUTHORIZED + b"Content-Length: 9000000\r\n\r\n", 413),
        (PUT_MARK + AUTHORIZED + b"Content-Length: -1\r\n\r\n", 411),
        (PUT_MARK + AUTHORIZED + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 411),
        (PUT_MARK + AUTHORIZED + b"Content-Length: 17\r\n\r\n" + b'{"leaving"', 408),
        (PUT_MARK + AUTHORIZED + AUTHORIZED + b"\r\n", 400),
        (PUT_MARK + AUTHORIZED + b"X: " + b"x" * 16 * 1024 + b"\r\n\r\n", 413),
        (b"GET /leaving/%2e%2e%2fclaim HTTP/1.1\r\n" + AUTHORIZED + b"\r\n", 200),
    ],
    ids=[
        "no token",
        "no token and a large body",
        "large body",
        "negative length",
        "chunked",
        "slow body",
        "two tokens",
        "long header",
        "slash in a name",
    ],
)
def test_bad_request_is_refused_and_writes_nothing(
    interface: Interface, request_bytes: bytes, status: int
) -> None:
    if status == 200:
        request_bytes = request_bytes.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    assert interface.send(request_bytes) == status
    assert interface.store.list("configuration") == ()
