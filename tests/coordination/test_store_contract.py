"""Check the in-memory store, and the HTTP client with its stand-in server, against one contract."""

import threading
from collections.abc import Iterator

import pytest

from chervilmill.coordination import (
    HttpPlatform,
    ObjectStore,
    StoreUnavailableError,
    VersionConflictError,
    WriteUnsureError,
)
from chervilmill.standins.platform_server import platform_server
from chervilmill.standins.store import MemoryStore
from tests.support import free_address

Stores = tuple[MemoryStore, ObjectStore]


@pytest.fixture(params=["memory", "http"])
def stores(request) -> Iterator[Stores]:
    memory = MemoryStore()
    if request.param == "memory":
        yield memory, memory
        return
    server = platform_server(free_address(), memory)
    server.start()
    yield memory, HttpPlatform(server.address, timeout_s=2)
    server.stop()


def test_conditional_writes(stores: Stores) -> None:
    _, store = stores
    first = store.create("intent", "a/b", b"\x00one")
    second = store.update("intent", "a/b", b"two", first)
    assert second > first
    with pytest.raises(VersionConflictError):
        store.update("intent", "a/b", b"late", first)
    with pytest.raises(VersionConflictError):
        store.create("intent", "a/b", b"again")
    stored = store.get("intent", "a/b")
    assert stored is not None
    assert (stored.value, stored.version) == (b"two", second)
    store.delete("intent", "a/b", second)
    assert store.get("intent", "a/b") is None
    assert store.list("intent") == ()


def test_lost_reply_leaves_the_write_applied(stores: Stores) -> None:
    memory, store = stores
    memory.lose_replies = 1
    with pytest.raises(WriteUnsureError):
        store.create("claim", "k", b"v")
    stored = store.get("claim", "k")
    assert stored is not None
    assert stored.value == b"v"


def test_store_that_is_down_applies_nothing(stores: Stores) -> None:
    memory, store = stores
    memory.is_down = True
    with pytest.raises(StoreUnavailableError):
        store.create("claim", "k", b"v")
    memory.is_down = False
    assert store.get("claim", "k") is None


def test_watch_wakes_on_change_and_delete(stores: Stores) -> None:
    _, store = stores
    version = store.create("intent", "a", b"1")
    timer = threading.Timer(0.1, lambda: store.update("intent", "a", b"2", version))
    timer.start()
    seen = store.watch("intent", version, timeout_s=5)
    timer.join()
    assert [stored.value for stored in seen.changed] == [b"2"]
    store.delete("intent", "a", seen.version)
    after = store.watch("intent", seen.version, timeout_s=5)
    assert after.deleted == ("a",)


def test_a_waiting_watch_is_one_call(stores: Stores) -> None:
    memory, store = stores
    store.watch("intent", 0, timeout_s=0.1)
    assert memory.calls == 1
