"""Steps of the demonstration: a look-up, a digest in parts and an order that runs once."""

import threading
import time
import uuid
from http import HTTPStatus

from chervilmill.coordination import Vm
from chervilmill.standins.demo._report import Report
from chervilmill.standins.demo._site import ENTRY_DOMAINS, SERVICE, TARGET_BEHAVIOUR, Site

MS_PER_S = 1000
MAX_SENDS = 4


def show_lookup(site: Site, report: Report) -> None:
    """Look up the entry VMs to use."""
    started_s = time.monotonic()
    answer = site.look_up(site.entries[0])
    elapsed_ms = (time.monotonic() - started_s) * MS_PER_S
    names = [entry["name"] for entry in answer["entries"]]
    report.line(f"{', '.join(names)}; valid for {answer['lifetime_s']} s; {elapsed_ms:.1f} ms")
    report.claim("the look-up names all entry VMs", len(names) == len(ENTRY_DOMAINS))
    is_near = answer["entries"][0]["failure_domain"].startswith("praha")
    report.claim("an entry VM of the caller's region comes first", is_near)


def show_digest(site: Site, report: Report) -> None:
    """Request a digest and time the arrival of its parts."""
    request_id = uuid.uuid4().hex
    started_s = time.monotonic()
    url = site.entry_url(site.entries[0], "/digest/morning")
    headers = {"X-Request-Id": request_id}
    resp = site.http.request("GET", url, headers=headers, preload_content=False)
    times_s = [time.monotonic() - started_s for _ in resp.read_chunked()]
    echoed = resp.headers.get("X-Request-Id")
    resp.release_conn()
    first_ms, last_ms = times_s[0] * MS_PER_S, times_s[-1] * MS_PER_S
    report.line(f"{len(times_s)} parts; first {first_ms:.0f} ms, last {last_ms:.0f} ms")
    parts = int(TARGET_BEHAVIOUR["parts"])
    report.claim(f"the digest has its {parts} parts and its own id", echoed == request_id)
    spread_s = float(TARGET_BEHAVIOUR["part_delay_s"]) * (parts - 1)
    is_early = len(times_s) == parts and times_s[-1] - times_s[0] >= spread_s / 2
    report.claim("the first part arrives long before the last", is_early)


def _send_order(site: Site, vm: Vm, key: str) -> str:
    """Send an order as callers do: repeat the request while the outcome is unknown."""
    headers = {"Idempotency-Key": key}
    for _ in range(MAX_SENDS):
        url = site.entry_url(vm, "/orders")
        resp = site.http.request("POST", url, body=b'{"article": 7}', headers=headers)
        if resp.status == HTTPStatus.OK:
            break
        time.sleep(resp.json()["retry_after_ms"] / MS_PER_S)
    return f"{resp.status} {resp.data.decode()}"


def show_order(site: Site, report: Report) -> None:
    """Send one order through two entry VMs at the same time."""
    key = f"order-{uuid.uuid4().hex}"
    answers: dict[str, str] = {}

    def send(index: int) -> None:
        vm = site.entries[index]
        answers[vm.name] = _send_order(site, vm, key)

    threads = [threading.Thread(target=send, args=(index,)) for index in (0, 2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    runs = sum(stats["orders_run"].get(key, 0) for stats in site.stats().values())
    for name, answer in sorted(answers.items()):
        report.line(f"through {name}: {answer}")
    report.line(f"runs counted by the targets of {SERVICE}: {runs}")
    report.claim("the order sent twice ran once", runs == 1)
    both_have_outcome = all(answer.startswith("200 ") for answer in answers.values())
    is_same = len(answers) == 2 and len(set(answers.values())) == 1
    report.claim("both callers got the same outcome", both_have_outcome and is_same)
