"""WSGI application of a target: service requests, health, load and cancellation.

`/_stats` returns the counters and `/_behaviour` sets the behaviour, including faults. Real targets
have neither path.
"""

import json
from collections.abc import Callable, Iterable
from typing import Any

from chervilmill.http import Environ, StartResponse, exchange_of
from chervilmill.standins.target_run import (
    Headers,
    RequestRun,
    RunListener,
    json_headers,
    read_body,
)
from chervilmill.standins.target_state import TargetState

CANCEL_PREFIX = "/-/cancel/"


class TargetApp:
    """WSGI application that behaves as a target; `crash` is called to crash the whole target."""

    def __init__(
        self, state: TargetState, crash: Callable[[], None], listener: RunListener | None = None
    ) -> None:
        self.state = state
        self._crash = crash
        self._listener = listener

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one WSGI request."""
        if self.state.is_crashed:
            exchange_of(environ).drop()
        path = environ["PATH_INFO"]
        if path.startswith(("/_", "/-/")):
            return self._answer_control(environ, start_response, path)
        run = RequestRun(self.state, self._crash, self._listener, environ, start_response)
        return run.answer()

    def _answer_control(
        self, environ: Environ, start_response: StartResponse, path: str
    ) -> Iterable[bytes]:
        status, value = self._control_answer(environ, path)
        body = json.dumps(value).encode()
        start_response(status, [*json_headers(body), *_request_id_header(environ)])
        return [body]

    def _control_answer(self, environ: Environ, path: str) -> tuple[str, Any]:
        if path == "/_stats":
            return "200 OK", self.state.stats()
        if path == "/_behaviour":
            self.state.behave(json.loads(read_body(environ)))
            return "200 OK", {}
        if path == "/-/health":
            return self._health()
        if path == "/-/load" and self.state.reports_load:
            return "200 OK", self._load()
        if path.startswith(CANCEL_PREFIX):
            is_not_running = self.state.cancel(path.removeprefix(CANCEL_PREFIX))
            return "200 OK", {"ran": "not_run" if is_not_running else "unknown"}
        return "404 Not Found", {"error": f"no path {path}"}

    def _health(self) -> tuple[str, Any]:
        reported = self.state.health or (
            "failed" if self.state.is_failing else self.state.mode.value
        )
        status = "503 Service Unavailable" if reported == "failed" else "200 OK"
        return status, {"state": reported}

    def _load(self) -> Any:
        if self.state.load is not None:
            return self.state.load
        return {
            "slots": self.state.slots,
            "in_flight": self.state.in_flight,
            "queued": self.state.queued,
            "warmth_percent": int(100 * self.state.warmth),
            "age_ms": 0,
        }


def _request_id_header(environ: Environ) -> Headers:
    return [("X-Request-Id", environ.get("HTTP_X_REQUEST_ID", ""))]
