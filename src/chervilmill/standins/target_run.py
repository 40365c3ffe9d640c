"""Run one request in a slot of a target and inject the faults configured in its state."""

import hashlib
import json
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NoReturn, Protocol

from chervilmill.http import Environ, StartResponse, close_connection, exchange_of
from chervilmill.standins.target_state import AnswerFault, CrashMode, TargetState

READ_BYTES = 64 * 1024
POLL_INTERVAL_S = 0.01

Headers = list[tuple[str, str]]


class RunListener(Protocol):
    """Receives a notification when a request starts to run and when its answer has ended."""

    def started(self, request_id: str, method: str, key: str | None) -> None:
        """Handle the start of a run; the whole body of an order has been read by then."""
        ...

    def ended(self, request_id: str) -> None:
        """Handle the end of a run and of its answer."""
        ...


class RequestRun:
    """Runs one request in a slot of the target and answers it.

    The slot is released before the last part is sent, so that a client that has read the whole
    answer finds the slot free.
    """

    def __init__(
        self,
        state: TargetState,
        crash: Callable[[], None],
        listener: RunListener | None,
        environ: Environ,
        start_response: StartResponse,
    ) -> None:
        self._state = state
        self._crash = crash
        self._listener = listener
        self._environ = environ
        self._start_response = start_response
        self._exchange = exchange_of(environ)
        self._id = environ.get("HTTP_X_REQUEST_ID", "")
        self._path = environ["PATH_INFO"]
        self._fault: AnswerFault | None = None
        self._is_crashing = False
        self._previous_request_id = ""
        self._has_slot = False
        self._is_start_reported = False

    def answer(self) -> Iterable[bytes]:
        """Run the request, or shed it if it gets no slot."""
        if not self._acquire_slot():
            return self._shed()
        try:
            body = self._answer_in_slot()
        except BaseException:
            self._release_slot()
            raise
        return _SlotReleasingBody(body, self._release_slot)

    def _acquire_slot(self) -> bool:
        state = self._state
        with state.lock:
            state.requests += 1
            state.last_request_s = time.time()
            is_full = state.in_flight >= state.slots and state.queued >= state.queue_limit
            must_shed = state.shed_next > 0
            state.shed_next -= int(must_shed)
            if is_full or must_shed or state.is_leaving or state.is_cancelled(self._id):
                return False
            state.queued += 1
        return self._wait_for_slot()

    def _wait_for_slot(self) -> bool:
        state = self._state
        is_cancelled = False
        while True:
            with state.lock:
                has_slot = state.in_flight < state.slots
                if has_slot or is_cancelled:
                    state.queued -= 1
                    if has_slot and not is_cancelled:
                        self._take_slot()
                        return True
                    state.cancelled += 1
                    return False
            is_cancelled = self._wait_unless_cancelled(POLL_INTERVAL_S)

    def _take_slot(self) -> None:
        state = self._state
        state.in_flight += 1
        state.most_in_flight = max(state.most_in_flight, state.in_flight)
        state.running_ids.add(self._id)
        self._previous_request_id, state.last_request_id = state.last_request_id, self._id
        self._fault = state.faults.popleft() if state.faults else None
        self._is_crashing = bool(state.crash_path) and self._path.startswith(state.crash_path)
        self._has_slot = True

    def _release_slot(self) -> None:
        state = self._state
        with state.lock:
            if self._has_slot:
                state.in_flight -= 1
                state.running_ids.discard(self._id)
            self._has_slot = False
        if self._listener is not None and self._is_start_reported:
            self._listener.ended(self._id)
        self._is_start_reported = False

    def _report_start(self, method: str) -> None:
        """Read an order's whole body, so that a truncated order never runs; notify the listener."""
        if method == "POST":
            read_body(self._environ)
        if self._listener is not None:
            key = self._environ.get("HTTP_IDEMPOTENCY_KEY")
            self._listener.started(self._id, method, key)
            self._is_start_reported = True

    def _wait_unless_cancelled(self, duration_s: float) -> bool:
        """Wait; return True early if the request is cancelled or its client disconnects."""
        end_s = time.monotonic() + duration_s
        while True:
            if self._state.is_cancelled(self._id) or self._exchange.is_peer_gone():
                return True
            remaining_s = end_s - time.monotonic()
            if remaining_s <= 0:
                return False
            time.sleep(min(remaining_s, POLL_INTERVAL_S))

    def _answer_in_slot(self) -> Iterator[bytes]:
        state = self._state
        method = self._environ["REQUEST_METHOD"]
        self._report_start(method)
        if self._is_crashing and state.crash_mode is not CrashMode.MIDWAY:
            self._crash_target()
        late_s = state.late_s if self._fault is AnswerFault.LATE else 0.0
        value = None
        if method == "PUT":
            value = self._receive_upload()
        if method == "POST":
            value = self._run_order()
        if self._wait_unless_cancelled(state.current_work_s + late_s):
            self._drop_cancelled()
        if self._fault is AnswerFault.LOST:
            self._exchange.drop()
        if state.is_failing:
            return self._json_answer("500 Internal Server Error", {"error": "failing"})
        if value is None:
            return self._digest_answer()
        return self._json_answer("200 OK", value)

    def _crash_target(self) -> NoReturn:
        self._crash()
        if self._state.crash_mode is not CrashMode.SILENT:
            self._exchange.drop()
        self._wait_unless_cancelled(self._state.crash_away_s)
        self._exchange.drop()

    def _drop_cancelled(self) -> None:
        with self._state.lock:
            self._state.cancelled += 1
        self._exchange.drop()

    def _shed(self) -> Iterable[bytes]:
        with self._state.lock:
            self._state.shed += 1
        if int(self._environ.get("CONTENT_LENGTH") or 0):
            close_connection(self._environ)
        body = b'{"error": "shed"}'
        headers = [*self._headers(), *json_headers(body), ("X-Ran", "not_run")]
        self._start_response("503 Service Unavailable", [*headers, ("Retry-After", "1")])
        return [body]

    def _run_order(self) -> dict[str, Any]:
        key = self._environ.get("HTTP_IDEMPOTENCY_KEY", "")
        with self._state.lock:
            self._state.orders_run[key] += 1
        return {"order": key, "target": self._state.name}

    def _receive_upload(self) -> dict[str, Any]:
        digest = hashlib.sha256()
        try:
            for part in _body_parts(self._environ):
                digest.update(part)
        except OSError:
            with self._state.lock:
                self._state.uploads_broken += 1
            raise
        with self._state.lock:
            self._state.upload_hashes[self._path] = digest.hexdigest()
        return {"sha256": digest.hexdigest()}

    def _digest_answer(self) -> Iterator[bytes]:
        parts = [self._part(index) for index in range(self._state.parts)]
        if self._fault is AnswerFault.DOUBLED:
            return self._doubled_answer("text/plain", b"".join(parts))
        self._start_response("200 OK", [("Content-Type", "text/plain"), *self._headers()])
        return self._paced_parts(parts)

    def _part(self, index: int) -> bytes:
        state = self._state
        line = f"{self._path} part {index + 1} of {state.parts} from {state.name}\n".encode()
        return line.ljust(state.part_bytes, b".")

    def _paced_parts(self, parts: list[bytes]) -> Iterator[bytes]:
        for index, part in enumerate(parts):
            if index and self._wait_unless_cancelled(self._state.part_delay_s):
                self._drop_cancelled()
            if index == len(parts) - 1:
                self._release_slot()
            yield part
            if self._is_crashing:
                self._crash_target()
            if self._fault is AnswerFault.SHORT:
                self._exchange.drop()
            if self._fault is AnswerFault.STALLED and self._wait_unless_cancelled(
                self._state.late_s
            ):
                self._drop_cancelled()

    def _json_answer(self, status: str, value: dict[str, Any]) -> Iterator[bytes]:
        body = json.dumps(value).encode()
        if self._fault is AnswerFault.DOUBLED:
            return self._doubled_answer("application/json", body)
        self._start_response(status, [*self._headers(), *json_headers(body)])
        half = len(body) // 2
        return self._paced_parts([body[:half], body[half:]])

    def _doubled_answer(self, content_type: str, body: bytes) -> Iterator[bytes]:
        headers = [
            *self._headers(),
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
        ]
        self._start_response("200 OK", headers)
        self._release_slot()
        yield body
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
        self._exchange.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode() + body)

    def _headers(self) -> Headers:
        state = self._state
        request_id = self._id
        if self._fault is AnswerFault.CROSSED:
            request_id = self._previous_request_id or f"{self._id}-crossed"
        headers = [("X-Request-Id", request_id), ("X-Target-State", state.mode.value)]
        if state.reports_load:
            headers.append(("X-Target-Load", f"{state.in_flight}/{state.slots}"))
        if state.limit is not None:
            headers.append(("X-Target-Limit", state.limit))
        return headers


class _SlotReleasingBody:
    """An iterable answer body that releases the slot when the server closes it."""

    def __init__(self, parts: Iterator[bytes], release_slot: Callable[[], None]) -> None:
        self._parts = parts
        self._release_slot = release_slot

    def __iter__(self) -> Iterator[bytes]:
        return self._parts

    def close(self) -> None:
        self._release_slot()


def read_body(environ: Environ) -> bytes:
    """Return the body of a request; drop the connection if the body is truncated."""
    return b"".join(_body_parts(environ))


def _body_parts(environ: Environ) -> Iterator[bytes]:
    remaining = int(environ.get("CONTENT_LENGTH") or 0)
    while remaining:
        part = environ["wsgi.input"].read(min(READ_BYTES, remaining))
        if not part:
            exchange_of(environ).drop()
        yield part
        remaining -= len(part)


def json_headers(body: bytes) -> Headers:
    """Return the content headers of a JSON body."""
    return [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
