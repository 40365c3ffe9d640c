"""A caller that leaves an answer unread for two seconds has its connection reset."""

import asyncio
import socket
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common2"))

from standins import (  # noqa: E402
    Backend,
    Head,
    Record,
    Store,
    Vm,
    configuration,
    message,
    request_bytes,
    run_case,
)

CALLERS = 8
REQUESTS = 4  # of each caller, on one connection
ANSWER_BYTES = 30_000  # the largest on the sheet of the site
DEADLINE_MS = 4000  # of orders, on that sheet
TIMEOUT_S = 2.5  # of their route, on that sheet
WORK_S = 0.05
PAUSE_S = 2.2  # in which the caller reads nothing, once for each answer
ALLOWED = 3  # by the rule


async def answer_orders(head: Head, writer: asyncio.StreamWriter, common: list) -> None:
    """Write a whole answer at once."""
    length = ("Content-Length", str(ANSWER_BYTES))
    writer.write(message("HTTP/1.1 200 OK", [*common, length], b"x" * ANSWER_BYTES))


class Result:
    """What a caller got of one answer."""

    def __init__(self, request_id: str, is_kept: bool) -> None:
        self.request_id = request_id
        self.is_kept = is_kept  # the request is not the first on its connection
        self.status = 0
        self.body_bytes = 0
        self.took_s = 0.0
        self.end = ""


def connect(vm: Vm) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.settimeout(DEADLINE_MS / 1000)
    sock.connect((vm.host, vm.front))
    return sock


def send_order(sock: socket.socket, result: Result, pause_s: float) -> None:
    """Send an order, pause, and read its answer until it is whole, ends or is too late."""
    began_s = time.monotonic()
    try:
        sock.sendall(
            request_bytes("/order/1", result.request_id, DEADLINE_MS, method="POST", body=b"a")
        )
        time.sleep(pause_s)
        data = b""
        while time.monotonic() - began_s < DEADLINE_MS / 1000:
            part = sock.recv(65536)
            if not part:
                result.end = "end of the connection"
                break
            data += part
            head, separator, body = data.partition(b"\r\n\r\n")
            if separator:
                result.status, result.body_bytes = int(head.split()[1]), len(body)
            if result.body_bytes >= ANSWER_BYTES or (separator and result.status != 200):
                result.end = "whole answer"
                break
        else:
            result.end = "deadline"
    except OSError as exc:
        result.end = repr(exc)
    result.took_s = round(time.monotonic() - began_s, 2)


def run_caller(vm: Vm, number: int, pause_s: float) -> list[Result]:
    """Send orders one after the other, on one connection as long as that lasts."""
    results = []
    sock = None
    for serial in range(REQUESTS):
        if sock is None:
            sock = connect(vm)
            first = Result(f"order-{number}-{serial}-first", False)
            send_order(sock, first, 0.0)
            results.append(first)
        result = Result(f"order-{number}-{serial}", True)
        send_order(sock, result, pause_s)
        results.append(result)
        if result.end != "whole answer":
            sock.close()
            sock = None
    if sock is not None:
        sock.close()
    return results


async def scenario(record: Record, temporary: Path, vms: list[Vm], has_trouble: bool) -> bool:
    store = Store()
    await store.start()
    store.put("config", "main", configuration([("orders", "/order/", "unsafe", "app", TIMEOUT_S)]))
    backends = [Backend(f"i-{n}", "app", store, record, "north-a") for n in range(6)]
    for backend in backends:
        backend.answer_with = answer_orders
        backend.work_s = WORK_S
        await backend.start()
    vm = Vm("vm-1", "127.0.1.1", "north-a", store, temporary)
    vms.append(vm)
    vm.start()
    await vm.wait_until_ready()
    await asyncio.sleep(4.5)  # the VM is in touch
    pause_s = PAUSE_S if has_trouble else 0.0
    with ThreadPoolExecutor(CALLERS) as pool:
        loop = asyncio.get_running_loop()
        calls = [
            loop.run_in_executor(pool, run_caller, vm, number, pause_s) for number in range(CALLERS)
        ]
        results = [result for found in await asyncio.gather(*calls) for result in found]
    runs = [run[1] for backend in backends for run in backend.runs]
    lost = 0
    for result in results:
        is_lost = (
            result.is_kept
            and runs.count(result.request_id) == 1
            and result.end not in ("whole answer", "deadline")
            and result.took_s < TIMEOUT_S
        )
        lost += is_lost
        record.note(
            "answered",
            id=result.request_id,
            runs=runs.count(result.request_id),
            status=result.status,
            body_bytes=result.body_bytes,
            of=ANSWER_BYTES,
            took_s=result.took_s,
            end=result.end,
            is_lost=is_lost,
        )
    record.say(
        "counted",
        orders=len(results),
        whole=sum(result.end == "whole answer" for result in results),
        lost=lost,
    )
    return lost > ALLOWED


run_case(FOLDER, scenario)
