"""Stand in for a target that answers digests in parts, runs orders and takes uploads."""

import hashlib
import json
import threading
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from chervilmill.addresses import Address
from chervilmill.http import Environ, HttpServer, StartResponse

THREADS = 24
READ_BYTES = 64 * 1024


@dataclass(slots=True)
class TargetState:
    """Hold what a target has seen and how it shall behave."""

    name: str
    slots: int = 6
    parts: int = 3
    part_delay_s: float = 0.0
    orders_run: Counter[str] = field(default_factory=Counter)
    upload_hashes: dict[str, str] = field(default_factory=dict)
    requests: int = 0
    in_flight: int = 0
    last_request_s: float = 0.0
    lock: threading.Lock = field(default_factory=threading.Lock)


class TargetApp:
    """Answer as a target of a service."""

    def __init__(self, state: TargetState) -> None:
        self.state = state

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        if path == "/_stats":
            return self._whole(environ, start_response, self._stats())
        with self.state.lock:
            self.state.requests += 1
            self.state.in_flight += 1
            self.state.last_request_s = time.time()
        try:
            if method == "POST":
                return self._whole(environ, start_response, self._run_order(environ))
            if method == "PUT":
                return self._whole(environ, start_response, self._take_upload(environ, path))
            return self._digest(environ, start_response, path)
        finally:
            with self.state.lock:
                self.state.in_flight -= 1

    def _stats(self) -> dict[str, Any]:
        with self.state.lock:
            return {
                "name": self.state.name,
                "requests": self.state.requests,
                "last_request_s": self.state.last_request_s,
                "orders_run": dict(self.state.orders_run),
                "upload_hashes": dict(self.state.upload_hashes),
            }

    def _run_order(self, environ: Environ) -> dict[str, Any]:
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        length = int(environ.get("CONTENT_LENGTH") or 0)
        environ["wsgi.input"].read(length)
        with self.state.lock:
            self.state.orders_run[key] += 1
        return {"order": key, "target": self.state.name}

    def _take_upload(self, environ: Environ, path: str) -> dict[str, Any]:
        digest = hashlib.sha256()
        remaining = int(environ.get("CONTENT_LENGTH") or 0)
        while remaining:
            part = environ["wsgi.input"].read(min(READ_BYTES, remaining))
            if not part:
                raise ConnectionError("upload broke off")
            digest.update(part)
            remaining -= len(part)
        with self.state.lock:
            self.state.upload_hashes[path] = digest.hexdigest()
        return {"sha256": digest.hexdigest()}

    def _digest(
        self, environ: Environ, start_response: StartResponse, path: str
    ) -> Iterator[bytes]:
        start_response("200 OK", [("Content-Type", "text/plain"), _echo(environ)])
        for index in range(self.state.parts):
            if index:
                time.sleep(self.state.part_delay_s)
            yield f"{path} part {index + 1} of {self.state.parts} from {self.state.name}\n".encode()

    def _whole(
        self, environ: Environ, start_response: StartResponse, body: dict[str, Any]
    ) -> list[bytes]:
        encoded = json.dumps(body).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(encoded))),
            _echo(environ),
        ]
        start_response("200 OK", headers)
        return [encoded]


def target_server(address: Address, state: TargetState) -> HttpServer:
    """Return a server that behaves as a target."""
    return HttpServer(address, TargetApp(state), threads=THREADS)


def _echo(environ: Environ) -> tuple[str, str]:
    return ("X-Request-Id", environ.get("HTTP_X_REQUEST_ID", ""))
