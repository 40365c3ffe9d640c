"""Run the target stand-in as a process that records each execution as a line of JSON.

A record is written before the request runs and another after it, so that the records of a killed
target show what it had begun. A path below `/crash/` ends the process as a crash would.
"""

import argparse
import io
import json
import os
import signal
import threading
import time
from collections.abc import Iterable, Iterator
from pathlib import Path

from chervilmill.addresses import parse_address
from chervilmill.http import Environ, HttpServer, StartResponse, WsgiApp
from chervilmill.standins.target_app import TargetApp
from chervilmill.standins.target_state import TargetState

THREADS = 48
CRASH_EXIT_CODE = 70


class Recorder:
    """Wrap a target's application and record what runs."""

    def __init__(self, app: WsgiApp, file: Path, service_time_s: float) -> None:
        self._app = app
        self._service_time_s = service_time_s
        self._output = os.open(file, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request and record it."""
        path = str(environ["PATH_INFO"])
        if path.startswith("/_"):
            return self._app(environ, start_response)
        if environ["REQUEST_METHOD"] == "POST":
            body = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
            environ["wsgi.input"] = io.BytesIO(body)
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        key = environ.get("HTTP_IDEMPOTENCY_KEY")
        self._write("start", request_id, environ["REQUEST_METHOD"], key)
        if path.startswith("/crash/"):
            os._exit(CRASH_EXIT_CODE)
        return self._run(environ, start_response, request_id)

    def _run(
        self, environ: Environ, start_response: StartResponse, request_id: str
    ) -> Iterator[bytes]:
        try:
            time.sleep(self._service_time_s)
            yield from self._app(environ, start_response)
        finally:
            self._write("end", request_id, "", None)

    def _write(self, event: str, request_id: str, method: str, key: str | None) -> None:
        line = {
            "event": event,
            "at_s": time.monotonic(),
            "id": request_id,
            "method": method,
            "key": key,
        }
        os.write(self._output, json.dumps(line).encode() + b"\n")


def main() -> None:
    """Serve until the process is told to end."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", type=parse_address, required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--slots", type=int, required=True)
    parser.add_argument("--part-delay-s", type=float, default=0.0)
    parser.add_argument("--service-time-s", type=float, default=0.0)
    parser.add_argument("--records", type=Path, required=True)
    args = parser.parse_args()
    state = TargetState(args.name, slots=args.slots, part_delay_s=args.part_delay_s)
    app = Recorder(
        TargetApp(state, lambda: os._exit(CRASH_EXIT_CODE)), args.records, args.service_time_s
    )
    server = HttpServer(args.address, app, threads=THREADS)
    server.start()
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda _number, _frame: stopped.set())
    stopped.wait()
    server.stop()


if __name__ == "__main__":
    main()
