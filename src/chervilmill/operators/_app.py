"""Serve the operators' HTTP interface."""

import hmac
import json
from collections.abc import Callable, Iterable
from typing import Any

from prometheus_client import generate_latest

from chervilmill.http import Environ, StartResponse
from chervilmill.metrics import Metrics

StatusSource = Callable[[], dict[str, Any]]


class OperatorsApp:
    """Answer operators that present the token of the settings.

    `/metrics` needs no token, so that a scraper can read it.
    """

    def __init__(self, token: str, metrics: Metrics, status: StatusSource) -> None:
        self._expected = f"Bearer {token}"
        self._metrics = metrics
        self._status = status

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request of an operator."""
        path = environ["PATH_INFO"]
        if path == "/metrics":
            text = generate_latest(self._metrics.registry)
            return _respond(start_response, "200 OK", "text/plain; version=0.0.4", text)
        if not hmac.compare_digest(environ.get("HTTP_AUTHORIZATION", ""), self._expected):
            return _json(start_response, "401 Unauthorized", {"error": "wrong or missing token"})
        if path == "/status":
            return _json(start_response, "200 OK", self._status())
        return _json(start_response, "404 Not Found", {"error": f"no path {path}"})


def _json(start_response: StartResponse, status: str, body: dict[str, Any]) -> Iterable[bytes]:
    return _respond(start_response, status, "application/json", json.dumps(body).encode())


def _respond(
    start_response: StartResponse, status: str, content_type: str, body: bytes
) -> Iterable[bytes]:
    start_response(status, [("Content-Type", content_type), ("Content-Length", str(len(body)))])
    return [body]
