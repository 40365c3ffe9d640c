"""A part of a backend's answer reaches the caller as a whole one."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common2"))

from standins import (  # noqa: E402
    Backend,
    Head,
    Record,
    Store,
    Vm,
    ask,
    configuration,
    message,
    run_case,
)

REQUESTS = 400
BACKENDS = 6
FAULTY_BACKENDS = 2  # a share of 0.33
FAULTY_EVERY = 50  # of the answers of these: a share of 0.02
PARTS = (b"first half of an article ", b"and the second half of it")
PAUSE_S = 0.1  # between the two parts, as in any answer that is made while it is sent


class Answers:
    """Writes the answers of one backend in two parts, some of them with a false length."""

    def __init__(self, is_faulty: bool, record: Record) -> None:
        self.false_lengths: set[str] = set()
        self._is_faulty = is_faulty
        self._record = record
        self._count = 0

    async def write(self, head: Head, writer: asyncio.StreamWriter, common: list) -> None:
        self._count += 1
        framing = [("Transfer-Encoding", "chunked")]
        if self._is_faulty and self._count % FAULTY_EVERY == 0:
            framing.append(("Content-Length", str(len(PARTS[0]))))
            request_id = head.headers["x-chervilmill-request-id"]
            self.false_lengths.add(request_id)
            self._record.note("answer with a false length", id=request_id)
        writer.write(message("HTTP/1.1 200 OK", [*common, *framing]))
        for part in PARTS:
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
        writer.write(b"0\r\n\r\n")


async def scenario(record: Record, temporary: Path, vms: list[Vm], has_trouble: bool) -> bool:
    store = Store()
    await store.start()
    routes = [
        ("reads", "/read/", "safe", "app", 2.0),
        ("orders", "/order/", "unsafe", "app", 2.5),
    ]
    store.put("config", "main", configuration(routes))
    answers = []
    for number in range(BACKENDS):
        backend = Backend(f"i-{number}", "app", store, record, "north-a")
        written = Answers(has_trouble and number < FAULTY_BACKENDS, record)
        answers.append(written)
        backend.answer_with = written.write
        await backend.start()
    vm = Vm("vm-1", "127.0.1.1", "north-a", store, temporary)
    vms.append(vm)
    vm.start()
    await vm.wait_until_ready()
    whole = b"".join(PARTS)
    counts = {"whole": 0, "seen as broken": 0, "part that looks whole": 0, "other status": 0}

    async def call(number: int) -> None:
        kind = ("/read/a", "GET") if number % 3 else ("/order/a", "POST")
        request_id = f"{kind[1].lower()}-{number}"
        answer = await ask(
            vm.host, vm.front, kind[0], request_id, 2500, method=kind[1], affinity=str(number % 40)
        )
        if answer.status != 200:
            result = "other status"
        elif not answer.is_whole:
            result = "seen as broken"
        else:
            result = "whole" if answer.body == whole else "part that looks whole"
        counts[result] += 1
        if result == "part that looks whole":
            record.say(
                "a caller got a part as a whole answer",
                id=request_id,
                status=answer.status,
                headers=answer.headers,
                body=answer.body.decode(),
                of=whole.decode(),
            )
        record.note("answered", id=request_id, status=answer.status, result=result)

    tasks = []
    for number in range(REQUESTS):
        tasks.append(asyncio.create_task(call(number)))
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)
    false_lengths = sum(len(written.false_lengths) for written in answers)
    record.say("counted", false_lengths=false_lengths, **counts)
    return counts["part that looks whole"] > 0


run_case(FOLDER, scenario)
