"""Run one request in a slot of a target, with the faults that the target's state asks for."""

import hashlib
import json
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Protocol

from chervilmill.http import Environ, StartResponse, close_connection, exchange_of
from chervilmill.standins.target_state import AnswerFault, TargetState

READ_BYTES = 64 * 1024
POLL_INTERVAL_S = 0.01

Headers = list[tuple[str, str]]


class RunListener(Protocol):
    """Hear of each run of a request."""

    def started(self, request_id: str, method: str, key: str | None) -> None:
        """Hear that a request is about to run; an order's body is whole by then."""
        ...

    def ended(self, request_id: str) -> None:
        """Hear that a request has run and its answer has ended."""
        ...


class Run:
    """Run one request in a slot of the target and answer it.

    The slot is free before the last part is sent, so that whoever has read the whole answer finds
    it free.
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
        self._crossed_id = ""
        self._has_slot = False
        self._is_told = False

    def answer(self) -> Iterable[bytes]:
        """Run the request, or shed it where no slot becomes free."""
        if not self._enter():
            return self._shed()
        try:
            body = self._answer_in_slot()
        except BaseException:
            self._leave()
            raise
        return _Parts(body, self._leave)

    def _enter(self) -> bool:
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
        is_given_up = False
        while True:
            with state.lock:
                has_slot = state.in_flight < state.slots
                if has_slot or is_given_up:
                    state.queued -= 1
                    if has_slot and not is_given_up:
                        self._take_slot()
                        return True
                    state.cancelled += 1
                    return False
            is_given_up = self._wait(POLL_INTERVAL_S)

    def _take_slot(self) -> None:
        state = self._state
        state.in_flight += 1
        state.most_in_flight = max(state.most_in_flight, state.in_flight)
        state.running_ids.add(self._id)
        self._crossed_id, state.last_request_id = state.last_request_id, self._id
        self._fault = state.faults.popleft() if state.faults else None
        self._has_slot = True

    def _leave(self) -> None:
        state = self._state
        with state.lock:
            if self._has_slot:
                state.in_flight -= 1
                state.running_ids.discard(self._id)
            self._has_slot = False
        if self._listener is not None and self._is_told:
            self._listener.ended(self._id)
        self._is_told = False

    def _begin(self, method: str) -> None:
        """Read an order's body, so that a short one never runs, and tell the listener."""
        if method == "POST":
            read_body(self._environ)
        if self._listener is not None:
            key = self._environ.get("HTTP_IDEMPOTENCY_KEY")
            self._listener.started(self._id, method, key)
            self._is_told = True

    def _wait(self, duration_s: float) -> bool:
        """Wait, and return early and True once the request is cancelled."""
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
        self._begin(method)
        if state.crash_path and self._path.startswith(state.crash_path):
            self._crash()
            self._exchange.drop()
        late_s = state.late_s if self._fault is AnswerFault.LATE else 0.0
        value = None
        if method == "PUT":
            value = self._take_upload()
        if method == "POST":
            value = self._run_order()
        if self._wait(state.present_work_s + late_s):
            self._note_cancelled()
        if self._fault is AnswerFault.LOST:
            self._exchange.drop()
        if state.is_failing:
            return self._whole("500 Internal Server Error", {"error": "failing"})
        if value is None:
            return self._digest()
        return self._whole("200 OK", value)

    def _note_cancelled(self) -> None:
        with self._state.lock:
            self._state.cancelled += 1
        self._exchange.drop()

    def _shed(self) -> Iterable[bytes]:
        with self._state.lock:
            self._state.shed += 1
        if int(self._environ.get("CONTENT_LENGTH") or 0):
            close_connection(self._environ)
        body = b'{"error": "shed"}'
        headers = [*self._headers(), *whole_headers(body), ("X-Ran", "not_run")]
        self._start_response("503 Service Unavailable", [*headers, ("Retry-After", "1")])
        return [body]

    def _run_order(self) -> dict[str, Any]:
        key = self._environ.get("HTTP_IDEMPOTENCY_KEY", "")
        with self._state.lock:
            self._state.orders_run[key] += 1
        return {"order": key, "target": self._state.name}

    def _take_upload(self) -> dict[str, Any]:
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

    def _digest(self) -> Iterator[bytes]:
        parts = [self._part(index) for index in range(self._state.parts)]
        if self._fault is AnswerFault.DOUBLED:
            return self._doubled("text/plain", b"".join(parts))
        self._start_response("200 OK", [("Content-Type", "text/plain"), *self._headers()])
        return self._spaced(parts)

    def _part(self, index: int) -> bytes:
        state = self._state
        line = f"{self._path} part {index + 1} of {state.parts} from {state.name}\n".encode()
        return line.ljust(state.part_bytes, b".")

    def _spaced(self, parts: list[bytes]) -> Iterator[bytes]:
        for index, part in enumerate(parts):
            if index and self._wait(self._state.part_delay_s):
                self._note_cancelled()
            if index == len(parts) - 1:
                self._leave()
            yield part
            if self._fault is AnswerFault.SHORT:
                self._exchange.drop()
            if self._fault is AnswerFault.STALLED and self._wait(self._state.late_s):
                self._note_cancelled()

    def _whole(self, status: str, value: dict[str, Any]) -> Iterator[bytes]:
        body = json.dumps(value).encode()
        if self._fault is AnswerFault.DOUBLED:
            return self._doubled("application/json", body)
        self._start_response(status, [*self._headers(), *whole_headers(body)])
        half = len(body) // 2
        return self._spaced([body[:half], body[half:]])

    def _doubled(self, content_type: str, body: bytes) -> Iterator[bytes]:
        headers = [
            *self._headers(),
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
        ]
        self._start_response("200 OK", headers)
        self._leave()
        yield body
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
        self._exchange.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode() + body)

    def _headers(self) -> Headers:
        state = self._state
        echoed = self._id
        if self._fault is AnswerFault.CROSSED:
            echoed = self._crossed_id or f"{self._id}-crossed"
        headers = [("X-Request-Id", echoed), ("X-Target-State", state.mode.value)]
        if state.reports_load:
            headers.append(("X-Target-Load", f"{state.in_flight}/{state.slots}"))
        return headers


class _Parts:
    """Yield the parts of an answer and free the slot at their end."""

    def __init__(self, parts: Iterator[bytes], leave: Callable[[], None]) -> None:
        self._parts = parts
        self._leave = leave

    def __iter__(self) -> Iterator[bytes]:
        return self._parts

    def close(self) -> None:
        self._leave()


def read_body(environ: Environ) -> bytes:
    """Return the whole body of a request; a short one ends its connection."""
    return b"".join(_body_parts(environ))


def _body_parts(environ: Environ) -> Iterator[bytes]:
    remaining = int(environ.get("CONTENT_LENGTH") or 0)
    while remaining:
        part = environ["wsgi.input"].read(min(READ_BYTES, remaining))
        if not part:
            exchange_of(environ).drop()
        yield part
        remaining -= len(part)


def whole_headers(body: bytes) -> Headers:
    """Return the headers of a JSON body."""
    return [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
