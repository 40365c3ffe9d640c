"""Run the target stand-in as a process that records each execution as lines of JSON.

One record is written before a request runs and another after the request ends, so that the records
of a killed target show which requests had started. A shed request gets a third record. A crash ends
the process.
"""

import argparse
import io
import itertools
import json
import os
import threading
import time
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from chervilmill.addresses import parse_address
from chervilmill.http import Environ, HttpServer, StartResponse, WsgiApp
from chervilmill.signals import call_on_stop_signal
from chervilmill.standins.target_app import TargetApp
from chervilmill.standins.target_state import TargetState

THREADS = 48
CRASH_EXIT_CODE = 70
CONTROL_PREFIXES = ("/_", "/-/")


class RunRecorder:
    """Wraps a target's application and records each request that runs."""

    def __init__(self, app: WsgiApp, file: Path) -> None:
        self._app = app
        self._run_numbers = itertools.count()
        self._output = os.open(file, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer a request, and record it unless it controls the stand-in."""
        path = str(environ["PATH_INFO"])
        if path.startswith(CONTROL_PREFIXES):
            return self._app(environ, start_response)
        return self._run(environ, start_response)

    def _run(self, environ: Environ, start_response: StartResponse) -> Iterator[bytes]:
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        if environ["REQUEST_METHOD"] == "POST":
            body = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
            environ["wsgi.input"] = io.BytesIO(body)
        key = environ.get("HTTP_IDEMPOTENCY_KEY")
        run = f"{os.getpid()}-{next(self._run_numbers)}"
        self._write("start", run, request_id, environ["REQUEST_METHOD"], key)

        def start(status: str, *args: Any) -> Any:
            if status.startswith("503"):
                self._write("shed", run)
            return start_response(status, *args)

        parts: Iterable[bytes] = ()
        try:
            parts = self._app(environ, start)
            yield from parts
        finally:
            if hasattr(parts, "close"):
                parts.close()
            self._write("end", run)

    def _write(
        self,
        event: str,
        run: str,
        request_id: str = "",
        method: str = "",
        key: str | None = None,
    ) -> None:
        line = {
            "event": event,
            "run": run,
            "at_s": time.monotonic(),
            "id": request_id,
            "method": method,
            "key": key,
        }
        os.write(self._output, json.dumps(line).encode() + b"\n")


def main() -> None:
    """Serve requests until the process receives SIGTERM."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", type=parse_address, required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--behaviour", type=json.loads, default={})
    parser.add_argument("--records", type=Path, required=True)
    args = parser.parse_args()
    state = TargetState(args.name)
    state.behave(args.behaviour)
    app = RunRecorder(TargetApp(state, lambda: os._exit(CRASH_EXIT_CODE)), args.records)
    server = HttpServer(args.address, app, threads=THREADS)
    stopped = threading.Event()
    call_on_stop_signal(stopped.set)
    server.start()
    stopped.wait()
    server.stop()


if __name__ == "__main__":
    main()
