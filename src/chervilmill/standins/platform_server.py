"""HTTP server of the platform's object API, backed by a MemoryStore.

`/faults` sets the store's faults and resets every fault that the request doesn't name. `/calls`
returns the call counters. The real platform has neither path, and no writes to `/vms/NAME`.
"""

import json
import re
from collections.abc import Iterable
from typing import Any
from urllib.parse import parse_qs, unquote

from chervilmill.addresses import Address
from chervilmill.coordination import StoreUnavailableError, VersionConflictError, WriteUnsureError
from chervilmill.coordination._codec import object_to_json, vm_from_json, vm_to_json, watch_to_json
from chervilmill.coordination._model import MAX_VALUE_BYTES
from chervilmill.http import Environ, HttpServer, StartResponse, close_connection
from chervilmill.standins.store import MemoryStore

THREADS = 40
_OBJECT = re.compile(r"/objects/([^/]+)(?:/(.+))?")
_WATCH = re.compile(r"/watch/([^/]+)")


class PlatformApp:
    """WSGI application of the object API, backed by a MemoryStore."""

    def __init__(self, store: MemoryStore) -> None:
        self.store = store

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one WSGI request."""
        try:
            status, body = self._answer(environ)
        except VersionConflictError as exc:
            status, body = "412 Precondition Failed", {"error": exc.message}
        except StoreUnavailableError as exc:
            status, body = "503 Service Unavailable", {"error": exc.message}
        except WriteUnsureError as exc:
            close_connection(environ)
            status, body = "504 Gateway Timeout", {"error": exc.message}
        encoded = json.dumps(body).encode()
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(encoded)))]
        start_response(status, headers)
        return [encoded]

    def _answer(self, environ: Environ) -> tuple[str, Any]:
        method, path = environ["REQUEST_METHOD"], unquote(environ["PATH_INFO"])
        body = _body(environ)
        if match := _OBJECT.fullmatch(path):
            return self._object(environ, method, match[1], match[2], body)
        if match := _WATCH.fullmatch(path):
            return "200 OK", self._watch(match[1], environ["QUERY_STRING"])
        if path == "/vms":
            return "200 OK", [vm_to_json(vm) for vm in self.store.vms()]
        if path.startswith("/vms/"):
            return "200 OK", self._change_vm(method, path.removeprefix("/vms/"), body)
        if path == "/calls":
            return "200 OK", {"calls": self.store.calls, "by_step": self.store.calls_by_step}
        if path == "/faults":
            return "200 OK", self._set_faults(json.loads(body))
        return "404 Not Found", {"error": f"no path {path}"}

    def _object(
        self, environ: Environ, method: str, kind: str, name: str | None, body: bytes
    ) -> tuple[str, Any]:
        if name is None:
            return "200 OK", [object_to_json(stored) for stored in self.store.list(kind)]
        if method == "GET":
            stored = self.store.get(kind, name)
            if stored is None:
                return "404 Not Found", {"error": f"no object {kind}/{name}"}
            return "200 OK", object_to_json(stored)
        if len(body) > MAX_VALUE_BYTES:
            return "413 Content Too Large", {"error": f"a value of {len(body)} bytes is too large"}
        version = environ.get("HTTP_IF_MATCH")
        if method == "DELETE" and version is not None:
            self.store.delete(kind, name, int(version))
            return "200 OK", {"version": 0}
        if method == "PUT" and version is not None:
            return "200 OK", {"version": self.store.update(kind, name, body, int(version))}
        if method == "PUT" and environ.get("HTTP_IF_NONE_MATCH") == "*":
            return "200 OK", {"version": self.store.create(kind, name, body)}
        return "400 Bad Request", {"error": "a write needs If-Match or If-None-Match"}

    def _watch(self, kind: str, query: str) -> Any:
        args = parse_qs(query)
        after, timeout_s = int(args["after"][0]), float(args["timeout_s"][0])
        return watch_to_json(self.store.watch(kind, after, timeout_s))

    def _change_vm(self, method: str, name: str, body: bytes) -> Any:
        if method == "DELETE":
            self.store.remove_vm(name)
        else:
            self.store.put_vm(vm_from_json(json.loads(body)))
        return {}

    def _set_faults(self, faults: dict[str, Any]) -> Any:
        self.store.is_down = bool(faults.get("is_down", False))
        self.store.delay_s = float(faults.get("delay_s", 0.0))
        self.store.lose_replies = int(faults.get("lose_replies", 0))
        self.store.fail_calls = int(faults.get("fail_calls", 0))
        self.store.vm_lag_s = float(faults.get("vm_lag_s", 0.0))
        return {}


def platform_server(address: Address, store: MemoryStore) -> HttpServer:
    """Return a server of the platform's object API that closes the store before it stops."""
    return HttpServer(address, PlatformApp(store), threads=THREADS, before_stop=store.close)


def _body(environ: Environ) -> bytes:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body: bytes = environ["wsgi.input"].read(length) if length else b""
    return body
