"""Check the token of operators' requests and dispatch the requests to their handlers."""

import hmac
import json
import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl, unquote

from chervilmill.coordination import StoreUnavailableError, VersionConflictError, WriteUnsureError
from chervilmill.errors import ChervilmillError
from chervilmill.http import Environ, StartResponse, close_connection
from chervilmill.logs import log_event

JSON_TYPE = "application/json"
MAX_BODY_BYTES = 1024**2
_PARAMETER = re.compile(r"\{(\w+)\}")
_STATUS_BY_ERROR: Mapping[type[ChervilmillError], HTTPStatus] = {
    VersionConflictError: HTTPStatus.CONFLICT,
    StoreUnavailableError: HTTPStatus.SERVICE_UNAVAILABLE,
    WriteUnsureError: HTTPStatus.GATEWAY_TIMEOUT,
}


class OperatorRefusal(Exception):  # noqa: N818 - a refusal is an answer, not an error
    """The request is refused with a status and a text that names the fault."""

    def __init__(self, status: HTTPStatus, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


@dataclass(frozen=True, slots=True)
class OperatorRequest:
    """One request of an operator.

    `parameters` are the named segments of its path.
    """

    method: str
    path: str
    parameters: Mapping[str, str]
    query: Mapping[str, str]
    body: bytes

    def json_object(self) -> dict[str, Any]:
        """Return the JSON object in the body, or raise OperatorRefusal."""
        try:
            value = json.loads(self.body)
        except (ValueError, RecursionError) as exc:
            raise OperatorRefusal(
                HTTPStatus.BAD_REQUEST, f"expected a JSON body, found invalid JSON: {exc}"
            ) from exc
        if not isinstance(value, dict):
            raise OperatorRefusal(
                HTTPStatus.BAD_REQUEST,
                f"expected a JSON object as body, found {type(value).__name__}",
            )
        return value


@dataclass(frozen=True, slots=True)
class OperatorResponse:
    """The answer to an operator; `value` is encoded as the JSON body."""

    value: object
    status: HTTPStatus = HTTPStatus.OK


Handler = Callable[[OperatorRequest], OperatorResponse]


@dataclass(frozen=True, slots=True)
class Route:
    """A handler for one method on one path.

    `{word}` in the path matches one segment, which the handler finds in `parameters`.
    """

    method: str
    path: str
    handler: Handler
    pattern: re.Pattern[str] = field(init=False)

    def __post_init__(self) -> None:
        pattern = re.compile(_PARAMETER.sub(r"(?P<\1>[^/]+)", self.path))
        object.__setattr__(self, "pattern", pattern)


class Router:
    """Answers requests that present the token of the settings and refuses all others."""

    def __init__(self, token: str, routes: Iterable[Route]) -> None:
        self._expected_authorization = f"Bearer {token}".encode()
        self._routes = tuple(routes)

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request of an operator."""
        resp = self._respond(environ)
        body = json.dumps(resp.value).encode()
        headers = [("Content-Type", JSON_TYPE), ("Content-Length", str(len(body)))]
        start_response(f"{resp.status.value} {resp.status.phrase}", headers)
        return [body]

    def _respond(self, environ: Environ) -> OperatorResponse:
        try:
            self._check_token(environ)
            return self._dispatch(environ)
        except OperatorRefusal as refusal:
            return _refusal_response(environ, refusal)
        except ChervilmillError as exc:
            return _error_response(environ, exc)

    def _check_token(self, environ: Environ) -> None:
        presented = str(environ.get("HTTP_AUTHORIZATION", "")).encode()
        if not hmac.compare_digest(presented, self._expected_authorization):
            raise OperatorRefusal(
                HTTPStatus.UNAUTHORIZED,
                "expected the operators' token as bearer token, found another or none",
            )

    def _dispatch(self, environ: Environ) -> OperatorResponse:
        method, path = environ["REQUEST_METHOD"], environ["REQUEST_URI"].partition("?")[0]
        matches = [(route, route.pattern.fullmatch(path)) for route in self._routes]
        path_matches = [(route, match) for route, match in matches if match is not None]
        if not path_matches:
            raise OperatorRefusal(HTTPStatus.NOT_FOUND, f"unknown path {path}")
        for route, match in path_matches:
            if route.method == method:
                return route.handler(_read_request(environ, path, match))
        allowed = ", ".join(sorted(route.method for route, _ in path_matches))
        raise OperatorRefusal(
            HTTPStatus.METHOD_NOT_ALLOWED, f"{path}: expected method {allowed}, found {method}"
        )


def _read_request(environ: Environ, path: str, match: re.Match[str]) -> OperatorRequest:
    length_text = environ.get("CONTENT_LENGTH") or "0"
    if "HTTP_TRANSFER_ENCODING" in environ or not length_text.isdecimal():
        raise OperatorRefusal(
            HTTPStatus.LENGTH_REQUIRED, "expected a decimal Content-Length and no Transfer-Encoding"
        )
    length = int(length_text)
    if length > MAX_BODY_BYTES:
        detail = f"expected a body of at most {MAX_BODY_BYTES} bytes, found {length}"
        raise OperatorRefusal(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, detail)
    body = environ["wsgi.input"].read(length) if length else b""
    if len(body) != length:
        raise OperatorRefusal(
            HTTPStatus.BAD_REQUEST, f"expected a body of {length} bytes, found {len(body)}"
        )
    return OperatorRequest(
        method=environ["REQUEST_METHOD"],
        path=path,
        parameters={name: unquote(value) for name, value in match.groupdict().items()},
        query=dict(parse_qsl(environ["QUERY_STRING"])),
        body=body,
    )


def _refusal_response(environ: Environ, refusal: OperatorRefusal) -> OperatorResponse:
    close_connection(environ)
    _log_refusal(environ, refusal.status, refusal.detail)
    return OperatorResponse({"error": refusal.detail}, refusal.status)


def _error_response(environ: Environ, exc: ChervilmillError) -> OperatorResponse:
    status = _STATUS_BY_ERROR.get(type(exc), HTTPStatus.BAD_GATEWAY)
    _log_refusal(environ, status, str(exc))
    return OperatorResponse({"error": exc.message, "step": exc.step, "peer": exc.peer}, status)


def _log_refusal(environ: Environ, status: HTTPStatus, detail: str) -> None:
    log_event(
        "operator refused",
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        status=status.value,
        detail=detail,
    )
