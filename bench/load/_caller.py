"""Look up entry VMs, send requests to them and record how each attempt ended."""

import hashlib
import io
import json
import threading
import time
from dataclasses import dataclass, replace

import urllib3

from bench.checker import CallerRecord, Outcome, RequestKind, Trace
from bench.fleet import Fleet
from bench.load._plan import PlannedRequest

ATTEMPTS = 3
CRASH_ATTEMPTS = 4
RESEND_PAUSE_S = 0.3
DEADLINE_MS = 5000
TIMEOUT_S = 8.0
LOOKUP_TIMEOUT_S = 2.0
CONNECTIONS_PER_ENTRY = 64
UPLOAD_PIECE_BYTES = 32 * 1024
UPLOAD_PIECE_PAUSE_S = 0.05


@dataclass(frozen=True, slots=True)
class _Entry:
    name: str
    url: str


@dataclass(frozen=True, slots=True)
class _Attempt:
    req: PlannedRequest
    number: int
    request_id: str
    due_s: float
    key: str | None
    path: str
    body: bytes
    expected: str


class Callers:
    """All callers of a run; a client uses the result of a look-up for that result's lifetime."""

    def __init__(self, fleet: Fleet, trace: Trace) -> None:
        self._fleet = fleet
        self._trace = trace
        self._http = urllib3.PoolManager(
            num_pools=64, maxsize=CONNECTIONS_PER_ENTRY, block=False, retries=False
        )
        self._entries: dict[int, tuple[float, tuple[_Entry, ...]]] = {}
        self._lock = threading.Lock()

    def send(self, req: PlannedRequest, due_s: float) -> None:
        """Send a request, and resend it with the same key until an answer is whole.

        Uploads are sent only once.
        """
        attempts = CRASH_ATTEMPTS if req.is_crashing else ATTEMPTS
        if req.kind is RequestKind.UPLOAD:
            attempts = 1
        for number in range(attempts):
            record = self._send_attempt(_new_attempt(self._fleet.shape.name, req, number, due_s))
            self._trace.attempts.append(record)
            if record.outcome is Outcome.WHOLE:
                return
            time.sleep(RESEND_PAUSE_S)
            due_s = time.monotonic()

    def _send_attempt(self, attempt: _Attempt) -> CallerRecord:
        entry = self._entry(attempt)
        delay_s = self._fleet.shape.caller_delay_s
        record = CallerRecord(
            request_id=attempt.request_id,
            kind=attempt.req.kind,
            key=attempt.key,
            entry=entry.name,
            due_s=attempt.due_s,
            sent_s=time.monotonic(),
            first_part_s=None,
            ended_s=0.0,
            outcome=Outcome.LOST,
            expected=attempt.expected,
        )
        time.sleep(delay_s)
        record = self._exchange(attempt, entry, record, delay_s)
        return replace(record, ended_s=time.monotonic() + delay_s)

    def _exchange(
        self, attempt: _Attempt, entry: _Entry, record: CallerRecord, delay_s: float
    ) -> CallerRecord:
        headers = {"X-Request-Id": attempt.request_id, "X-Deadline-Ms": str(DEADLINE_MS)}
        if attempt.key is not None:
            headers["Idempotency-Key"] = attempt.key
        if attempt.req.kind is RequestKind.UPLOAD:
            headers["Content-Length"] = str(len(attempt.body))
        try:
            resp = self._http.request(
                _METHOD_BY_KIND[attempt.req.kind],
                f"{entry.url}/s/{self._fleet.shape.service}{attempt.path}",
                body=_request_body(attempt),
                headers=headers,
                preload_content=False,
                timeout=TIMEOUT_S,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            self._discard_entries(attempt.req.client)
            return replace(record, outcome=Outcome.REFUSED, reason="unreachable")
        except urllib3.exceptions.HTTPError as exc:
            self._discard_entries(attempt.req.client)
            return replace(record, outcome=Outcome.LOST, reason=str(exc)[:200])
        return _read_response(resp, record, delay_s)

    def _entry(self, attempt: _Attempt) -> _Entry:
        entries = self._entries_of(attempt.req.client)
        return entries[attempt.number % len(entries)]

    def _entries_of(self, client: int) -> tuple[_Entry, ...]:
        with self._lock:
            until_s, entries = self._entries.get(client, (0.0, ()))
        if time.monotonic() < until_s:
            return entries
        fresh = self._fetch_entries(client)
        if fresh is None:
            return entries or self._all_entries(self._region_of(client))
        with self._lock:
            self._entries[client] = fresh
        return fresh[1]

    def _fetch_entries(self, client: int) -> tuple[float, tuple[_Entry, ...]] | None:
        """Return the expiry time and entry VMs from a look-up, or None without an answer.

        The entry VMs are asked in turn, beginning with the entry VMs in the client's region.
        """
        region = self._region_of(client)
        service, address = self._fleet.shape.service, self._fleet.clients[client]
        for name in sorted(
            self._fleet.entries, key=lambda name: self._lookup_rank(name, region, client)
        ):
            url = self._fleet.caller_url(name, region)
            try:
                resp = self._http.request(
                    "GET",
                    f"{url}/lookup?service={service}&client={address}",
                    timeout=LOOKUP_TIMEOUT_S,
                )
                answer = resp.json()
            except (urllib3.exceptions.HTTPError, ValueError):
                continue
            entries = tuple(
                self._entry_named(raw["name"], region) for raw in answer.get("entries", ())
            )
            if entries:
                return time.monotonic() + float(answer["lifetime_s"]), entries
        return None

    def _region_of(self, client: int) -> str:
        regions = self._fleet.shape.regions
        return regions[client * len(regions) // len(self._fleet.clients)]

    def _lookup_rank(self, name: str, region: str, client: int) -> tuple[bool, int]:
        vm = self._fleet.entries[name]
        order = list(self._fleet.entries).index(name)
        return vm.region != region, (order + client) % len(self._fleet.entries)

    def _entry_named(self, name: str, region: str) -> _Entry:
        return _Entry(name, self._fleet.caller_url(name, region))

    def _all_entries(self, region: str) -> tuple[_Entry, ...]:
        return tuple(self._entry_named(name, region) for name in self._fleet.entries)

    def _discard_entries(self, client: int) -> None:
        with self._lock:
            self._entries.pop(client, None)


class _ThrottledUpload(io.BytesIO):
    """A request body that is read in small pieces with pauses, like an upload over a slow link."""

    def read(self, size: int | None = -1) -> bytes:
        time.sleep(UPLOAD_PIECE_PAUSE_S)
        return super().read(UPLOAD_PIECE_BYTES)


_METHOD_BY_KIND = {RequestKind.DIGEST: "GET", RequestKind.ORDER: "POST", RequestKind.UPLOAD: "PUT"}


def _new_attempt(user: str, req: PlannedRequest, number: int, due_s: float) -> _Attempt:
    name = f"{user}-{req.kind.value}-{req.number}"
    request_id = f"{name}.{number}"
    if req.kind is RequestKind.ORDER:
        return _Attempt(req, number, request_id, due_s, name, "/orders", name.encode(), name)
    if req.kind is RequestKind.UPLOAD:
        body = (name.encode() + b" ") * (req.upload_bytes // (len(name) + 1))
        expected = hashlib.sha256(body).hexdigest()
        return _Attempt(req, number, request_id, due_s, None, f"/scans/{name}", body, expected)
    path = f"/{'crash' if req.is_crashing else 'digest'}/{name}"
    return _Attempt(req, number, request_id, due_s, None, path, b"", path)


def _request_body(attempt: _Attempt) -> bytes | io.BytesIO | None:
    if attempt.req.kind is RequestKind.UPLOAD:
        return _ThrottledUpload(attempt.body)
    return attempt.body or None


def _read_response(
    resp: urllib3.BaseHTTPResponse, record: CallerRecord, delay_s: float
) -> CallerRecord:
    parts: list[bytes] = []
    first_part_s = None
    try:
        for part in resp.stream(64 * 1024):
            if first_part_s is None:
                first_part_s = time.monotonic() + delay_s
            parts.append(part)
    except urllib3.exceptions.HTTPError as exc:
        resp.close()
        return replace(record, outcome=Outcome.SHORT, reason=str(exc)[:200])
    resp.release_conn()
    record = replace(
        record,
        first_part_s=first_part_s,
        body=b"".join(parts),
        echoed_id=resp.headers.get("X-Request-Id"),
    )
    if resp.status == 200:
        return replace(record, outcome=Outcome.WHOLE)
    return _refused_record(resp, record)


def _refused_record(resp: urllib3.BaseHTTPResponse, record: CallerRecord) -> CallerRecord:
    try:
        fields = json.loads(record.body)
        reason, ran = str(fields["reason"]), str(fields["ran"])
    except (ValueError, KeyError, TypeError):
        reason, ran = f"status {resp.status}", None
    return replace(record, outcome=Outcome.REFUSED, reason=reason, ran=ran)
