"""Background load of digest requests, with a count of each outcome."""

import threading
from collections import Counter

import urllib3

from chervilmill.coordination import Vm
from chervilmill.standins.demo._site import Site

SENDERS = 6


class Load:
    """Context manager that sends digest requests from several threads until its exit.

    The threads are spread over the given entry VMs. `outcomes` counts statuses and error names.
    """

    def __init__(self, site: Site, entries: tuple[Vm, ...]) -> None:
        self.outcomes: Counter[str] = Counter()
        self._site = site
        self._urls = [site.entry_url(vm, "/digest/load") for vm in entries]
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._send, args=(index,), daemon=True)
            for index in range(SENDERS)
        ]

    def __enter__(self) -> "Load":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_exc: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _send(self, index: int) -> None:
        url = self._urls[index % len(self._urls)]
        while not self._stopped.is_set():
            outcome = self._send_one(url)
            with self._lock:
                self.outcomes[outcome] += 1

    def _send_one(self, url: str) -> str:
        try:
            return str(self._site.http.request("GET", url).status)
        except urllib3.exceptions.HTTPError as exc:
            return type(exc).__name__
