"""Test what is kept of objects of the store, whatever another writer made of them."""

import json
import sys

import msgspec
import pytest

from chervilmill.platform import (
    InvalidObjectError,
    StoredObject,
    decode_events,
    decode_objects,
    read_configuration,
    read_target,
)
from soak.site import configuration

LISTS = b"[" + b",".join([b"[]"] * 345_000) + b"]"
TEXT = b'"' + b"a" * 1_000_000 + b'"'
TARGET = {
    "service": "app",
    "address": "10.1.0.9:8080",
    "zone": "north-a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold-remaining-s": 1.5,
    "sequence": 4,
    "born": 1790000000000,
}
KINDS = ["servers", "config", "evacuations", "entry-vms", "other"]


def _item(name: str, content: bytes, revision: int = 3) -> msgspec.Raw:
    metadata = json.dumps({"name": name, "revision": revision, "finalizers": []}).encode()
    return msgspec.Raw(b'{"metadata":%b,"specification":%b,"status":null}' % (metadata, content))


def _with(content: dict[str, object], field: str, value: bytes) -> bytes:
    return json.dumps(content | {field: "@"}).encode().replace(b'"@"', value)


def _stored(kind: str, name: str, content: bytes) -> StoredObject:
    return decode_objects(kind, [_item(name, content)])[name]


# What nobody reads of an entry was held decoded, at twenty times its bytes, in each copy.
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    "content",
    [
        b'{"service":"app","slots":' + LISTS + b"}",
        b'{"host":' + TEXT + b',"service":' + TEXT + b"}",
        LISTS,
        TEXT,
        b"null",
    ],
    ids=["lists", "texts", "list", "text", "null"],
)
def test_malformed_entry_is_kept(kind: str, content: bytes) -> None:
    stored = _stored(kind, "x", content)
    assert (stored.name, stored.revision, stored.content) == ("x", 3, b"")


@pytest.mark.parametrize("value", [LISTS, TEXT], ids=["lists", "text"])
def test_field_that_is_not_read_costs_a_sound_target(value: bytes) -> None:
    stored = _stored("servers", "i-1", _with(TARGET, "more", value))
    assert read_target(stored) == read_target(
        _stored("servers", "i-1", json.dumps(TARGET).encode())
    )
    assert sys.getsizeof(stored.content) < 512


@pytest.mark.parametrize("value", [LISTS, TEXT], ids=["lists", "text"])
def test_field_that_is_not_read_costs_a_configuration(value: bytes) -> None:
    sound = configuration(12)
    stored = _stored("config", "main", _with(sound, "more", value))
    assert read_configuration(stored).version == 12
    assert len(stored.content) <= len(json.dumps(sound))


def test_long_configuration_is_refused() -> None:
    """The operator's may be as long as the store allows."""
    sound = configuration(12)
    columns = ["name", "api-keys"]
    rows = [[f"organisation-{number}", [f"key-{number}" * 8]] for number in range(8000)]
    sound["tenants"] = {"columns": columns, "rows": rows}
    read = read_configuration(_stored("config", "main", json.dumps(sound).encode()))
    assert read.organisations is not None
    assert len(read.organisations.by_name) == 8000


def test_configuration_of_another_name_is_read() -> None:
    stored = _stored("config", "other", json.dumps(configuration(99)).encode())
    with pytest.raises(InvalidObjectError):
        read_configuration(stored)


def test_target_with_the_longest_texts_is_refused() -> None:
    texts = {"service": "s" * 1024, "zone": "\u00e9" * 1024}
    target = read_target(_stored("servers", "i" * 1024, json.dumps(TARGET | texts).encode()))
    assert (len(target.name), target.service, target.failure_domain) == (1024, *texts.values())


@pytest.mark.parametrize("field", ["service", "zone", "address"])
def test_long_text_of_a_malformed_target_is_kept(field: str) -> None:
    content = json.dumps(TARGET | {field: "a" * 10_000}).encode()
    assert _stored("servers", "x", content).content == b""


def test_name_that_nothing_can_use_is_kept() -> None:
    items = [_item("a" * 2000, b"{}"), _item("b", b"{}")]
    assert list(decode_objects("servers", items)) == ["b"]
    events = [msgspec.Raw(b'{"object":%b}' % bytes(_item("a" * 2000, b"{}", revision=9)))]
    decoded = decode_events("servers", events)
    assert (decoded.events, decoded.newest_revision) == ((), 9)


@pytest.mark.parametrize(
    ("metadata", "expected"),
    [
        (b'{"name":"x","revision":7}', ("x", 7, False)),
        (b'{"name":"x","revision":7,"deleting":true}', ("x", 7, True)),
        (b'{"name":"x","revision":7,"deleting":3}', ("x", 7, False)),
        (b'{"name":"x"}', ("x", 0, False)),
        (b'{"name":"x","revision":true}', ("x", 0, False)),
        (b'{"name":"x","revision":' + b"9" * 5000 + b"}", ("x", 0, False)),
        (b'{"name":"x","revision":"7"}', ("x", 0, False)),
        (b'{"name":"\xff","revision":7}', ("\ufffd", 7, False)),
        (b'{"name":"\\ud800","revision":7}', ("\ufffd", 7, False)),
        (b'{"name":"x","revision":7,"finalizers":' + LISTS + b"}", ("x", 7, False)),
        (b'{"name":"x","revision":7,"finalizers":' + b"[" * 5000 + b"]" * 5000 + b"}", ("x", 7, 0)),
        (b'{"name":3,"revision":7}', None),
        (b"[]", None),
    ],
)
def test_odd_metadata_costs_the_object(
    metadata: bytes, expected: tuple[object, ...] | None
) -> None:
    item = msgspec.Raw(b'{"metadata":%b,"specification":{}}' % metadata)
    found = [
        (stored.name, stored.revision, stored.is_being_deleted)
        for stored in decode_objects("servers", [item]).values()
    ]
    assert found == ([] if expected is None else [expected])
