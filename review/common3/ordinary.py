"""Ordinary callers and the platform's readiness checks, beside a disruption."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field

from lab import HOST, Site, Vm

DEADLINE_S = 3.0
WAIT_S = 4.0  # beyond the deadline, so that a late answer is seen as one


@dataclass(slots=True)
class Seen:
    """What ordinary callers and the platform saw: answers by status, and their times."""

    answers: Counter[str] = field(default_factory=Counter)
    took_s: list[float] = field(default_factory=list)
    unanswered_at_timeout: int = 0
    unanswered_later: int = 0
    checks: Counter[str] = field(default_factory=Counter)


async def ask(vm: Vm, site: Site, serial: int, seen: Seen, route_timeout_s: float) -> None:
    """Send one small safe request on a new connection and note its final answer."""
    request_id = f"ordinary-{serial}"
    head = (
        f"GET /read/{serial % 50} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Chervilmill-Request-Id: {request_id}\r\n"
        f"X-Chervilmill-Deadline-Milliseconds: {int(DEADLINE_S * 1000)}\r\n\r\n"
    )
    began_s, result = time.monotonic(), "no answer"
    try:
        async with asyncio.timeout(WAIT_S):
            reader, writer = await asyncio.open_connection(vm.host, vm.callers.port)
            writer.write(head.encode())
            answer = await reader.readuntil(b"\r\n\r\n")
            result = answer[9:12].decode()
            writer.transport.abort()
    except TimeoutError:
        pass
    except (OSError, EOFError) as exc:
        result = type(exc).__name__
    took_s = time.monotonic() - began_s
    seen.answers[result] += 1
    seen.took_s.append(took_s)
    seen.unanswered_at_timeout += took_s >= route_timeout_s
    seen.unanswered_later += took_s >= route_timeout_s + 0.5
    site.record(f"sent {request_id}, after {took_s:.2f} s: {result}")


async def check_readiness(vm: Vm, site: Site, seen: Seen) -> None:
    """Ask once whether the VM is ready, as the platform does each second."""
    result = "200" if await vm.is_ready() else "no 200"
    seen.checks[result] += 1
    site.record(f"readiness check: {result}")


async def play(vm: Vm, site: Site, play_s: float, per_s: int, route_timeout_s: float) -> Seen:
    """Send ordinary requests at a steady rate, and readiness checks each second."""
    seen, tasks = Seen(), []
    for serial in range(int(play_s * per_s)):
        tasks.append(asyncio.create_task(ask(vm, site, serial, seen, route_timeout_s)))
        if serial % per_s == 0:
            tasks.append(asyncio.create_task(check_readiness(vm, site, seen)))
        await asyncio.sleep(1 / per_s)
    await asyncio.gather(*tasks)
    took_s = sorted(seen.took_s)
    quantiles = [round(took_s[int(len(took_s) * share)], 2) for share in (0.1, 0.5, 0.9)]
    site.record(f"ordinary requests: {dict(seen.answers)}, seconds at 10/50/90 %: {quantiles}")
    site.record(f"readiness checks: {dict(seen.checks)}")
    print(f"ordinary {dict(seen.answers)}, readiness {dict(seen.checks)}, seconds {quantiles}")
    return seen
