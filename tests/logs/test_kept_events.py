"""Test that a flood of lines about requests leaves the changes of what a VM believes in the log."""

import json
import logging
import os
import random
from collections.abc import Iterator

import pytest

from chervilmill import logs
from chervilmill._log_budget import LINES_PER_S, BoundedHandler, Budget
from chervilmill.entry._site_state import SiteState
from chervilmill.entry._store_state import StoreState
from chervilmill.logs import log_event, log_failure, log_request
from chervilmill.overload import TargetFleet
from chervilmill.peers import Membership, Peer, ReplicaChange
from chervilmill.platform import (
    CONFIGURATION_KIND,
    EVACUATION_KIND,
    TARGET_KIND,
    StoredObject,
    StoreError,
)
from soak.site import configuration
from soak.target import StandInTarget
from tests.support import free_address, stored_object

FLOOD = 10 * LINES_PER_S[Budget.REQUESTS]


@pytest.fixture
def read_end(monkeypatch: pytest.MonkeyPatch) -> Iterator[int]:
    """Log into a pipe at one moment, as an entry VM does, and yield the end to read."""
    root = logging.getLogger()
    handlers = list(root.handlers)
    monkeypatch.setattr(logs, "BoundedHandler", lambda stream: BoundedHandler(stream, lambda: 0.0))
    read, write = os.pipe()
    os.set_blocking(read, False)
    with os.fdopen(write, "w") as stream:
        logs.set_up_logs("vm-1", stream=stream)
        yield read
        root.handlers[:] = handlers
    os.close(read)


def _events(read: int) -> list[str]:
    data = b""
    try:
        while part := os.read(read, 1 << 20):
            data += part
    except BlockingIOError:
        pass
    return [json.loads(line)["event"] for line in data.decode().splitlines()]


def _change_what_is_believed() -> None:
    fleet = TargetFleet("vm-1", "north", {"north-a": "north"}, random.Random(1))
    own = Peer("vm-1", "127.0.0.1", "north-a")
    membership = Membership("vm-1", 1, random.Random(1))
    state = SiteState(fleet, membership, own, lambda: 0.0, 1.5)
    log_event("started", step="start")
    cfg = stored_object("main", 2, configuration(1))
    state.apply_change(CONFIGURATION_KIND, ReplicaChange((cfg,), (), is_full_listing=True), None)
    entry = StandInTarget("t1").entry("app", free_address(), "north-a", 1)
    joined = ReplicaChange((stored_object("t1", 3, entry),), (), is_full_listing=True)
    state.apply_change(TARGET_KIND, joined, None)
    gone = ReplicaChange((), ("t1",), is_full_listing=False)
    state.apply_change(TARGET_KIND, gone, None)
    evacuated = ReplicaChange((StoredObject("north-a", 4),), (), is_full_listing=True)
    state.apply_change(EVACUATION_KIND, evacuated, None)
    log_event("ready", step="start")
    store = StoreState()
    store.record_failure(TARGET_KIND, StoreError("refused", step="watch", peer="store"), 1.0)
    store.record_answer(2.0, 0.1)


def test_lines_of_requests_do_not_displace_changes_of_what_is_believed(read_end: int) -> None:
    for _ in range(FLOOD):
        log_request("answered", request="r")
        log_failure("request refused", request="r")
    before = _events(read_end)
    assert before.count("answered") == LINES_PER_S[Budget.REQUESTS]
    assert before.count("request refused") == LINES_PER_S[Budget.FAILURES]
    _change_what_is_believed()
    kept = [event for event in _events(read_end) if event != "log lines left out"]
    assert kept == [
        "started",
        "configuration in force",
        "target joined",
        "target gone",
        "evacuation",
        "ready",
        "store is lost",
        "store is back",
    ]
