"""Decode documents of which one part cannot be read."""

import json
import math

import pytest

from chervilmill.documents import decode_document, is_nested_within


def _document(part: bytes) -> bytes:
    return b'{"items": [{"n": 1}, {"n": ' + part + b', "text": "[{\\"]"}, {"n": 3}]}'


# One malformed part made the whole answer of the store unreadable.
@pytest.mark.parametrize(
    ("part", "value"),
    [
        (b"9" * 401, math.inf),
        (b"9" * 5000, math.inf),
        (b"-" + b"9" * 5000, -math.inf),
        (b"9" * 19, int("9" * 19)),
        (b"1e400", math.inf),
        (b'"\xff\xfe"', "\ufffd\ufffd"),
        (b'"a\x00\r\nb"', "a\x00\r\nb"),
        (b'"\\ud800"', "\ud800"),
    ],
)
def test_other_parts_are_decoded(part: bytes, value: object) -> None:
    items = decode_document(_document(part))["items"]
    assert [item["n"] for item in items] == [1, value, 3]
    assert items[1]["text"] == '[{"]'


@pytest.mark.parametrize("depth", [33, 900, 100_000])
@pytest.mark.parametrize(("begin", "end"), [(b"[", b"]"), (b'{"a":', b"}")])
def test_parts_beside_a_deeply_nested_one_are_decoded(begin: bytes, end: bytes, depth: int) -> None:
    items = decode_document(_document(begin * depth + b"1" + end * depth))["items"]
    assert [items[0]["n"], items[2]["n"]] == [1, 3]
    json.dumps(items)


@pytest.mark.parametrize("data", [b"", b"\xff{", b"[" * 100_000, b'{"a": 1', b"]" * 50])
def test_wrong_syntax_is_refused(data: bytes) -> None:
    with pytest.raises(ValueError):
        decode_document(data)


@pytest.mark.parametrize(("depth", "is_within"), [(0, True), (32, True), (33, False), (900, False)])
@pytest.mark.parametrize(("begin", "end"), [("[", "]"), ('{"a":', "}")])
def test_depth_of_a_value(begin: str, end: str, depth: int, is_within: bool) -> None:
    value = json.loads(begin * depth + "1" + end * depth)
    assert is_nested_within(value, 32) is is_within
