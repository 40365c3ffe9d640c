"""Test the store client against scripted replies of the store."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

import msgspec
import pytest

from chervilmill.aio import AnswerTooLongError, ExchangeError, HttpAnswer
from chervilmill.platform import (
    HistoryGoneError,
    HistoryTooLongError,
    PlatformStore,
    StoredObject,
    StoreError,
    StoreRestoredError,
    StoreVersion,
    _store,
    decode_objects,
    encode_objects,
)

Reply = HttpAnswer | Exception


class _ScriptedExchange:
    def __init__(self, *replies: Reply) -> None:
        self.calls: list[tuple[str, str]] = []
        self._replies = list(replies)

    async def __call__(self, method: str, path: str, body: bytes, timeout_s: float) -> HttpAnswer:
        self.calls.append((method, path))
        reply = self._replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply


def _item(name: str, revision: int = 1) -> dict[str, object]:
    return {"metadata": {"name": name, "revision": revision}, "specification": {"service": name}}


def _answer(value: object, status: int = 200, era: str | None = None) -> HttpAnswer:
    headers = () if era is None else ((b"store-era", era.encode()),)
    return HttpAnswer(status, json.dumps(value).encode(), headers)


LOST = ExchangeError("no answer", step="GET", peer="store")


def test_list_reads_all_pages() -> None:
    script = _ScriptedExchange(
        _answer({"items": [_item("a"), _item("b")], "more": True, "as-of": 7}),
        _answer({"items": [_item("c")], "more": False, "as-of": 9}),
    )
    listing = asyncio.run(PlatformStore(script, "store").list_all("servers", 1.0))
    assert sorted(listing.objects) == ["a", "b", "c"]
    assert listing.as_of == StoreVersion(0, 7)
    assert script.calls[1][1].endswith("after=b")


# The names of such objects do not fit into a query, and the list ended with an error.
def test_list_ends_at_an_object_with_a_long_name() -> None:
    script = _ScriptedExchange(
        _answer({"items": [_item("a"), _item("b" * 100_000)], "more": True, "as-of": 7}),
        _answer({"items": [_item("c")], "more": False, "as-of": 9}),
    )
    listing = asyncio.run(PlatformStore(script, "store").list_all("servers", 1.0))
    assert sorted(listing.objects) == ["a", "c"]
    after = parse_qs(urlsplit(script.calls[1][1]).query)["after"][0]
    assert "b" * 100_000 < after < "c" and len(script.calls[1][1]) < 2000


def test_list_with_too_many_objects_is_read_without_end(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_store, "MAX_OBJECTS", 4)
    pages = [
        _answer({"items": [_item(f"{page}-{number}") for number in "ab"], "more": True, "as-of": 7})
        for page in range(9)
    ]
    script = _ScriptedExchange(*pages)
    with pytest.raises(StoreError, match="more than 4 objects"):
        asyncio.run(PlatformStore(script, "store").list_all("servers", 1.0))
    assert len(script.calls) == 3


def test_changes_that_are_too_long_are_an_outage() -> None:
    """They are for a list, which has pages."""
    too_long = AnswerTooLongError("too long", step="GET", peer="store")
    store = PlatformStore(_ScriptedExchange(too_long), "store")
    with pytest.raises(HistoryTooLongError):
        asyncio.run(store.watch("servers", StoreVersion(0, 7), 5.0, 1.0, allow_stale=True))


# One part amid five megabytes of changes made them an answer that could not be read.
@pytest.mark.parametrize("odd", [b"NaN", b'"\x01"', b'"\\ud800"', b"[" * 1500 + b"]" * 1500])
def test_long_changes_with_an_unreadable_part_are_an_outage(odd: bytes) -> None:
    event = b'{"object":{"metadata":{"name":"a","revision":8},"specification":{"x":[%b,"%b"]}}}'
    sound = event % (b"1", b"a" * 1_000_000)
    events = b",".join([sound] * 4 + [event % (odd, b"a" * 1_000_000)])
    answer = HttpAnswer(200, b'{"events":[%b],"as-of":9}' % events, ())
    store = PlatformStore(_ScriptedExchange(answer), "store")
    with pytest.raises(HistoryTooLongError):
        asyncio.run(store.watch("servers", StoreVersion(0, 7), 5.0, 1.0, allow_stale=True))


# A list that says less than a list does was taken for one of a store without objects.
@pytest.mark.parametrize(
    "pages",
    [
        [{"items": [_item("a")]}],
        [{"items": [_item("a")], "as-of": 0}],
        [{"items": [_item("a")], "as-of": "7"}],
        [{"as-of": 7}],
        [{"items": {"a": _item("a")}, "as-of": 7}],
        [{"items": [], "more": True, "as-of": 7}],
        [{"items": [{"metadata": {}}], "more": True, "as-of": 7}],
        [
            {"items": [_item("a")], "more": True, "as-of": 7},
            {"items": [_item("a")], "more": True, "as-of": 7},
        ],
        [{"items": [_item("a")], "more": True, "as-of": 7}, {"more": False, "as-of": 7}],
    ],
)
def test_list_that_does_not_state_all_objects_is_used(pages: list[object]) -> None:
    script = _ScriptedExchange(*(_answer(page) for page in pages))
    with pytest.raises(StoreError):
        asyncio.run(PlatformStore(script, "store").list_all("servers", 1.0))


def test_empty_list_states_that_there_are_no_objects() -> None:
    for items in ([], None):
        script = _ScriptedExchange(_answer({"items": items, "more": False, "as-of": 7}))
        listing = asyncio.run(PlatformStore(script, "store").list_all("servers", 1.0))
        assert (listing.objects, listing.as_of) == ({}, StoreVersion(0, 7))


def test_watch_returns_events_and_skips_malformed_ones() -> None:
    events = [{"object": _item("a", 8), "deleted": True}, "?", {"object": 3}, {"deleted": False}]
    script = _ScriptedExchange(_answer({"events": events, "as-of": 8}))
    store = PlatformStore(script, "store")
    result = asyncio.run(store.watch("servers", StoreVersion(0, 7), 5.0, 1.0, allow_stale=True))
    assert [(event.stored.name, event.is_removed) for event in result.events] == [("a", True)]
    assert result.as_of == StoreVersion(0, 8)
    assert "serializable=1" in script.calls[0][1]


@pytest.mark.parametrize(
    ("reply", "error"),
    [
        (_answer({}, 410), HistoryGoneError),
        (_answer({}, 503), StoreError),
        (_answer({}, 429), StoreError),
        (HttpAnswer(200, b"\xff{"), StoreError),
        (_answer([]), StoreError),
        (LOST, StoreError),
    ],
)
def test_failed_reads_raise(reply: Reply, error: type[Exception]) -> None:
    store = PlatformStore(_ScriptedExchange(reply), "store")
    with pytest.raises(error) as caught:
        asyncio.run(store.watch("servers", StoreVersion(0, 7), 5.0, 1.0, allow_stale=True))
    assert isinstance(caught.value, StoreError)
    assert not caught.value.is_outcome_unknown


def test_outcome_of_a_write_without_an_answer_is_unknown() -> None:
    store = PlatformStore(_ScriptedExchange(LOST), "store")
    with pytest.raises(StoreError) as caught:
        asyncio.run(store.put("entry-vms", "vm", {}, 1.0))
    assert caught.value.is_outcome_unknown


@pytest.mark.parametrize(
    ("replies", "calls"),
    [
        ([_answer({})], ["POST"]),
        ([_answer({}, 409), _answer({})], ["POST", "PUT"]),
    ],
)
def test_put_creates_or_replaces(replies: list[Reply], calls: list[str]) -> None:
    script = _ScriptedExchange(*replies)
    asyncio.run(PlatformStore(script, "store").put("entry-vms", "vm", {}, 1.0))
    assert [method for method, _ in script.calls] == calls


@pytest.mark.parametrize("status", [200, 404])
def test_delete_of_a_missing_object_succeeds(status: int) -> None:
    asyncio.run(
        PlatformStore(_ScriptedExchange(_answer({}, status)), "store").delete("k", "n", 1.0)
    )


def test_copies_for_peers_survive_encoding_and_decoding() -> None:
    stored = {"a": StoredObject("a", 3, b'{"service":"x"}'), "b": StoredObject("b", 4)}
    encoded = [msgspec.Raw(msgspec.json.encode(each)) for each in encode_objects(stored.values())]
    assert decode_objects("servers", encoded) == stored


@pytest.mark.parametrize("value", [None, 3, [], {}, {"metadata": 3}, {"metadata": {"name": 3}}])
def test_unreadable_copies_hold_no_objects(value: object) -> None:
    assert decode_objects("servers", [msgspec.Raw(json.dumps(value).encode())]) == {}


EVENT = {"events": [{"object": _item("a", 8), "deleted": False}], "as-of": 8}


def test_era_stands_beside_each_revision() -> None:
    script = _ScriptedExchange(
        _answer({"items": [_item("a")], "as-of": 7}, era="3"), _answer(EVENT, era="3")
    )
    store = PlatformStore(script, "store")
    assert asyncio.run(store.list_all("servers", 1.0)).as_of == StoreVersion(3, 7)
    result = asyncio.run(store.watch("servers", StoreVersion(3, 7), 5.0, 1.0, allow_stale=True))
    assert result.as_of == StoreVersion(3, 8)


# Such events skip what the store wrote under the revisions that it gave out again.
@pytest.mark.parametrize("reply", [_answer(EVENT, era="4"), _answer({}, 410, era="4")])
def test_watch_answered_in_a_later_era_calls_for_a_list(reply: HttpAnswer) -> None:
    store = PlatformStore(_ScriptedExchange(reply), "store")
    with pytest.raises(StoreRestoredError):
        asyncio.run(store.watch("servers", StoreVersion(3, 7), 5.0, 1.0, allow_stale=True))


@pytest.mark.parametrize("era", [None, "2", "-1", "x", "", "4.0", "9" * 400])
def test_answer_of_an_earlier_or_unreadable_era_changes_nothing(era: str | None) -> None:
    store = PlatformStore(_ScriptedExchange(_answer(EVENT, era=era)), "store")
    with pytest.raises(StoreError) as caught:
        asyncio.run(store.watch("servers", StoreVersion(3, 7), 5.0, 1.0, allow_stale=True))
    assert not isinstance(caught.value, HistoryGoneError)


def test_pages_of_two_eras_are_no_list() -> None:
    script = _ScriptedExchange(
        _answer({"items": [_item("a")], "more": True, "as-of": 7}, era="3"),
        _answer({"items": [_item("b")], "as-of": 5}, era="4"),
    )
    with pytest.raises(StoreError):
        asyncio.run(PlatformStore(script, "store").list_all("servers", 1.0))


@pytest.mark.parametrize("depth", [40, 600, 900, 960, 980, 990, 5000])
def test_entry_that_is_deeply_nested_costs_only_its_content(depth: int) -> None:
    """Such a copy could be decoded, but not compared or encoded."""
    nested = b"[" * depth + b"]" * depth
    items = [json.dumps(_item(name)).encode() for name in ("a", "b")]
    odd = json.dumps(_item("odd")).encode().replace(b'"odd"}}', nested + b"}}")
    body = b'{"as-of": 7, "items": [' + b", ".join([items[0], odd, items[1]]) + b"]}"
    script = _ScriptedExchange(HttpAnswer(200, body), HttpAnswer(200, body))
    store = PlatformStore(script, "store")
    first, second = [asyncio.run(store.list_all("servers", 1.0)) for _ in range(2)]
    assert first == second
    assert sorted(first.objects) == ["a", "b", "odd"]
    msgspec.json.encode(encode_objects(first.objects.values()))
    assert first.objects["a"].content == b'{"service":"a"}'
