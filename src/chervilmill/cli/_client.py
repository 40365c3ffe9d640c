"""Send requests to the operators' interface of a node."""

import json
from http import HTTPStatus
from typing import Any

import urllib3

from chervilmill.addresses import Address
from chervilmill.cli._exit import CommandError, ExitCode

TIMEOUT_S = 10.0
_CODE_BY_STATUS = {
    HTTPStatus.CONFLICT: ExitCode.CONFLICT,
    HTTPStatus.PRECONDITION_FAILED: ExitCode.CONFLICT,
}


class OperatorsClient:
    """A JSON client of the operators' interface of one node, or of one without a token."""

    def __init__(
        self, address: Address, token: str | None = None, timeout_s: float = TIMEOUT_S
    ) -> None:
        self.peer = str(address)
        self._headers = {"Content-Type": "application/json"}
        if token is not None:
            self._headers["Authorization"] = f"Bearer {token}"
        self._pool = urllib3.HTTPConnectionPool(
            address.host, address.port, retries=False, timeout=timeout_s
        )

    def get(self, step: str, path: str) -> dict[str, Any]:
        """Return the JSON object at a path, or raise CommandError."""
        return self._call(step, "GET", path, None)

    def put(self, step: str, path: str, value: object) -> dict[str, Any]:
        """Replace the value at a path and return the JSON answer, or raise CommandError."""
        return self._call(step, "PUT", path, value)

    def post(self, step: str, path: str, value: object) -> dict[str, Any]:
        """Send a JSON value to a path and return the JSON answer, or raise CommandError."""
        return self._call(step, "POST", path, value)

    def _call(self, step: str, method: str, path: str, value: object) -> dict[str, Any]:
        body = None if value is None else json.dumps(value).encode()
        try:
            resp = self._pool.request(method, path, body=body, headers=self._headers)
        except urllib3.exceptions.HTTPError as exc:
            raise self._error(step, str(exc), ExitCode.PEER_FAILED) from exc
        answer = self._decoded(step, resp)
        if resp.status < HTTPStatus.BAD_REQUEST:
            return answer
        raise self._refusal(step, resp.status, answer)

    def _decoded(self, step: str, resp: urllib3.BaseHTTPResponse) -> dict[str, Any]:
        try:
            answer = json.loads(resp.data)
        except ValueError as exc:
            message = f"expected a JSON object, found another body with status {resp.status}"
            raise self._error(step, message, ExitCode.PEER_FAILED) from exc
        if not isinstance(answer, dict):
            message = f"expected a JSON object, found a {type(answer).__name__}"
            raise self._error(step, message, ExitCode.PEER_FAILED)
        return answer

    def _refusal(self, step: str, status: int, answer: dict[str, Any]) -> CommandError:
        is_server_error = status >= HTTPStatus.INTERNAL_SERVER_ERROR
        default = ExitCode.PEER_FAILED if is_server_error else ExitCode.REFUSED
        code = _CODE_BY_STATUS.get(HTTPStatus(status), default)
        message = str(answer.get("error", f"status {status}"))
        if "peer" not in answer:
            return self._error(step, message, code)
        inner = f"{answer.get('step')}: {answer['peer']}: {message}"
        return self._error(step, inner, code)

    def _error(self, step: str, message: str, code: ExitCode) -> CommandError:
        return CommandError(message, step=step, peer=self.peer, code=code)
