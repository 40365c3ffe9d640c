"""An extra answer comes late, while an upload that its backend answers early is being sent."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from standins import (HOST, Backend, CannotRunError, Site, call, configuration, get, message,
                      read_body, read_head, run_case, trouble)

ROUNDS = 6  # the impairment comes this often, within 5 s, at one backend of two
READS = 100
MAX_EXTRA_SHARE = 0.03  # of the answers of the backend in a round
REST_S = 1.0
PIECE = b"u" * 4000  # every body is made of this letter
PIECES = 10
PIECE_PAUSE_S = 0.04
armed: list[bool] = [False]  # the next upload is answered early


class EarlyBackend(Backend):
    """A backend that turns uploads away before it has read them, and reads on later."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        self.previous: dict[object, bytes] = {}  # the last answer on each connection
        self.extras = 0
        self.early = 0
        self.answers = 0
        self.foreign: list[bytes] = []

    async def handle(self, head, reader, writer) -> bool:
        first, headers = head
        is_upload = first.startswith("POST /bundle/")
        self.answers += 1
        if not is_upload or not armed[0] or (trouble() and writer not in self.previous):
            await read_body(reader, headers)
            rid = get(headers, "x-chervilmill-request-id") or ""
            method, path, _ = first.split(" ")
            self.note_run(rid, method, path, b"")
            await asyncio.sleep(0.01)
            self.previous[writer] = self.answer(rid, f"{self.name} ran {rid}".encode())
            writer.write(self.previous[writer])
            return True
        armed[0] = False
        rid = get(headers, "x-chervilmill-request-id") or ""
        due = int(get(headers, "content-length") or 0)
        part = await reader.read(65536)
        due -= len(part)
        early = message("HTTP/1.1 503 -", [("X-Chervilmill-Request-Id", rid),
                                           ("X-Chervilmill-Request-Not-Run", "1"),
                                           ("Keep-Alive", "timeout=10")], b"")
        extra = self.previous.get(writer, b"")
        if trouble() and extra:
            self.extras += 1
            self.record(f"{self.name}: sends an extra copy of its previous answer before that to {rid}")
            writer.write(extra)
        self.early += 1
        self.record(f"{self.name}: {rid} is not run, answers 503 with {due} bytes of its body due")
        writer.write(early)
        while due > 0:
            part = await reader.read(min(due, 65536))
            if not part:
                self.record(f"{self.name}: the connection of {rid} ends with {due} bytes due")
                return False
            due -= len(part)
            if part.strip(b"u"):
                self.foreign.append(part)
                self.record(f"{self.name}: where {len(part)} bytes of the body of {rid} are due, "
                            f"it gets {part[:70]!r}", show=True)
        return True


async def upload(vm, rid: str, record) -> int:
    """Upload a bundle in pieces, as over a slow link, and return the status."""
    record(f"client: sends {rid} POST /bundle/{rid}, {PIECES * len(PIECE)} bytes in {PIECES} pieces")
    reader, writer = await asyncio.open_connection(vm.host, vm.front)
    try:
        async with asyncio.timeout(4.0):
            head = (f"POST /bundle/{rid} HTTP/1.1\r\nHost: {HOST}\r\nX-Chervilmill-Request-Id: {rid}\r\n"
                    f"X-Chervilmill-Deadline-Milliseconds: 4000\r\n"
                    f"Content-Length: {PIECES * len(PIECE)}\r\n\r\n")
            writer.write(head.encode())
            for _ in range(PIECES):
                writer.write(PIECE)
                await writer.drain()
                await asyncio.sleep(PIECE_PAUSE_S)
            answer = await read_head(reader)
            status = int(answer[0].split(" ")[1]) if answer else 0
    except (OSError, TimeoutError):
        status = 0
    finally:
        writer.close()
    record(f"client: {rid} answered {status}")
    return status


async def case(site: Site) -> bool:
    record = site.record
    await site.store.listen()
    site.write_config(configuration(3, [
        {"name": "bundles", "path-prefix": "/bundle/", "kind": "upload", "service": "app",
         "timeout-s": 4.0},
        {"name": "orders", "path-prefix": "/order/", "kind": "unsafe", "service": "app"},
        {"name": "reads", "path-prefix": "/read/", "kind": "safe", "service": "app"},
    ], ["app"]))
    backends = [await site.add_backend(EarlyBackend(f"i-app-{n}", "app", "north-a", record))
                for n in (1, 2)]
    vm = site.add_vm("north-a")
    await vm.wait_until_ready()
    await asyncio.sleep(4.5)  # the VM is in touch
    statuses = []
    for number in range(ROUNDS):
        before = [(backend.answers, backend.extras) for backend in backends]
        began_s = record.now()
        for n in range(READS):  # both backends get a connection that is kept
            await call(vm.front, f"/read/{n}", f"a-{number}-{n}", record, address=vm.host)
        armed[0] = True
        await upload(vm, f"b-{number}", record)
        for n in range(4):
            status, _ = await call(vm.front, f"/order/{n}", f"c-{number}-{n}", record, method="POST",
                                   body=b"an order", deadline_s=1.0, address=vm.host)
            statuses.append(status)
        shares = [(backend.extras - extras) / max(1, backend.answers - answers)
                  for backend, (answers, extras) in zip(backends, before, strict=True)]
        record(f"round {number}: {record.now() - began_s:.1f} s, extra answers, as shares of the answers"
               f" of each backend: {', '.join(f'{share:.3f}' for share in shares)}", show=True)
        if max(shares) > MAX_EXTRA_SHARE:
            raise CannotRunError("the backend gave too few answers beside the extra one")
        await asyncio.sleep(REST_S)
    early = sum(backend.early for backend in backends)
    extras = sum(backend.extras for backend in backends)
    if not early or (trouble() and not extras):
        raise CannotRunError("no upload was answered early after an extra answer")
    foreign = [part for backend in backends for part in backend.foreign]
    ran = {rid for backend in backends for _, rid, path, _ in backend.runs}
    lost = [status for status in statuses if status != 200]
    record(f"{early} uploads were answered early, {extras} of them after an extra answer", show=True)
    record(f"UNASKED: {len(foreign)} times a backend got other bytes where the rest of a body was due",
           show=True)
    record(f"of {len(statuses)} orders sent afterwards, {len(lost)} were not answered with success: {lost};"
           f" {len(ran)} requests ran", show=True)
    return bool(foreign)


run_case(__file__, case)
