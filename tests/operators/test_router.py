"""Check the answers and refusals of the operators' interface."""

import io
import json
from types import SimpleNamespace

import pytest

from chervilmill.coordination import VersionConflictError
from chervilmill.http import Exchange
from chervilmill.http._exchange import EXCHANGE_KEY
from chervilmill.metrics import Metrics
from chervilmill.operators import (
    LeavingMarks,
    NodeStatus,
    OperatorResponse,
    OperatorsApp,
    Route,
    status_routes,
)
from chervilmill.standins.store import MemoryStore
from chervilmill.steering import Headroom
from tests.support import free_address, target_vm

TOKEN = "an-operators-token"
HEADROOM = {"souhrny": Headroom({"praha-a": 0.5, "praha-b": 0.25}, 0.2, 0.0)}
STATUS = NodeStatus(
    "entry-1", "praha", "praha-a", False, 2, 7, ("entry-1",), {"souhrny": 3}, HEADROOM
)


def raise_conflict(_req) -> OperatorResponse:
    raise VersionConflictError("changed", step="update object", peer="store")


class Client:
    """A client that calls the application as the HTTP server would."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.store.put_vm(target_vm("target-1", free_address()))
        routes = (
            *status_routes(lambda: STATUS),
            *LeavingMarks(self.store).routes(),
            Route("POST", "/fail", raise_conflict),
        )
        self.app = OperatorsApp(TOKEN, Metrics(), routes)
        self.token = TOKEN

    def call(self, method: str, path: str, body: bytes = b"") -> tuple[int, dict]:
        seen: list[str] = []
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "REQUEST_URI": path,
            "QUERY_STRING": "",
            "HTTP_AUTHORIZATION": f"Bearer {self.token}",
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
            EXCHANGE_KEY: Exchange(SimpleNamespace()),
        }
        parts = self.app(environ, lambda status, headers: seen.append(status))
        return int(seen[0][:3]), json.loads(b"".join(parts))


def test_status_is_shown() -> None:
    status, shown = Client().call("GET", "/status")
    assert (status, shown["revision"], shown["targets"]) == (200, 7, {"souhrny": 3})


@pytest.mark.parametrize("token", ["", "an-operators-tokem", "ž", "an-operators-token "])
def test_wrong_token_is_refused(token: str) -> None:
    client = Client()
    client.token = token
    assert client.call("GET", "/status")[0] == 401
    assert client.call("PUT", "/leaving/target-1", b'{"leaving": true}')[0] == 401
    assert client.store.calls == 0


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("GET", "/nothing", b"", 404),
        ("DELETE", "/status", b"", 405),
        ("POST", "/fail", b"", 409),
        ("PUT", "/leaving/target-1", b"{", 400),
        ("PUT", "/leaving/target-1", b"[]", 400),
        ("PUT", "/leaving/target-1", b'{"leaving": "yes"}', 400),
        ("PUT", "/leaving/target-1", b'{"leaving": true, "version": "1"}', 400),
        ("PUT", "/leaving/nobody", b'{"leaving": true}', 404),
    ],
)
def test_bad_requests_are_refused(method: str, path: str, body: bytes, status: int) -> None:
    client = Client()
    assert client.call(method, path, body)[0] == status
    assert client.store.list("configuration") == ()


def test_mark_is_conditional_on_the_version_read() -> None:
    client = Client()
    assert client.call("GET", "/leaving/target-1")[1]["version"] is None
    _, mark = client.call("PUT", "/leaving/target-1", b'{"leaving": true, "version": null}')
    undo = json.dumps({"leaving": False, "version": mark["version"]}).encode()
    assert client.call("PUT", "/leaving/target-1", undo)[0] == 200
    assert client.call("PUT", "/leaving/target-1", undo)[0] == 409
    assert client.call("GET", "/leaving/target-1")[1]["leaving"] is False


def test_mark_whose_reply_was_lost_is_read_back() -> None:
    client = Client()
    client.store.lose_replies = 1
    status, mark = client.call("PUT", "/leaving/target-1", b'{"leaving": true, "version": null}')
    assert (status, mark["leaving"]) == (200, True)


def test_mark_is_refused_while_the_store_is_down() -> None:
    client = Client()
    client.store.is_down = True
    status, refusal = client.call("PUT", "/leaving/target-1", b'{"leaving": false}')
    assert (status, refusal["step"]) == (503, "create object")
