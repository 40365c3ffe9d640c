"""Answer as a target: requests in slots, health, load and cancellation.

`/_stats` reads the counters and `/_behaviour` sets the faults; both exist in the stand-in only.
"""

import json
from collections.abc import Callable, Iterable
from typing import Any

from chervilmill.http import Environ, StartResponse, exchange_of
from chervilmill.standins.target_run import (
    Headers,
    Run,
    RunListener,
    read_body,
    whole_headers,
)
from chervilmill.standins.target_state import TargetState

CANCEL_PREFIX = "/-/cancel/"


class TargetApp:
    """Answer as a target of a service; `crash` takes the whole target away."""

    def __init__(
        self, state: TargetState, crash: Callable[[], None], listener: RunListener | None = None
    ) -> None:
        self.state = state
        self._crash = crash
        self._listener = listener

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        if self.state.is_away:
            exchange_of(environ).drop()
        path = environ["PATH_INFO"]
        if path.startswith(("/_", "/-/")):
            return self._control(environ, start_response, path)
        run = Run(self.state, self._crash, self._listener, environ, start_response)
        return run.answer()

    def _control(
        self, environ: Environ, start_response: StartResponse, path: str
    ) -> Iterable[bytes]:
        status, value = self._control_answer(environ, path)
        body = json.dumps(value).encode()
        start_response(status, [*whole_headers(body), *_echo(environ)])
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
            is_proved = self.state.cancel(path.removeprefix(CANCEL_PREFIX))
            return "200 OK", {"ran": "not_run" if is_proved else "unknown"}
        return "404 Not Found", {"error": f"no path {path}"}

    def _health(self) -> tuple[str, Any]:
        shown = self.state.health or ("failed" if self.state.is_failing else self.state.mode.value)
        status = "503 Service Unavailable" if shown == "failed" else "200 OK"
        return status, {"state": shown}

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


def _echo(environ: Environ) -> Headers:
    return [("X-Request-Id", environ.get("HTTP_X_REQUEST_ID", ""))]
