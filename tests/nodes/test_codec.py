"""Test that every message survives encoding and that invalid bytes are refused."""

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chervilmill.nodes import _messages as messages
from chervilmill.nodes._codec import (
    _TYPES,
    MAX_MESSAGE_BYTES,
    DecodeError,
    DecodeProblem,
    decode,
    encode,
)

strict = settings(derandomize=True, deadline=None, max_examples=300)
numbers = st.integers(0, 2**63 - 1)
texts = st.text(max_size=20)

st.register_type_strategy(int, numbers)
st.register_type_strategy(str, texts)
anything = st.one_of([st.builds(cls) for cls in _TYPES.values()])
plain = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | texts | st.binary(max_size=20),
    lambda inner: st.lists(inner, max_size=8) | st.dictionaries(texts, inner, max_size=3),
    max_leaves=20,
)


@strict
@given(anything)
def test_round_trip(message) -> None:
    assert decode(encode(message)) == message


@strict
@given(st.binary(max_size=200))
def test_random_bytes_are_a_message_or_refused(raw: bytes) -> None:
    _decode_or_refuse(raw)


@strict
@given(st.integers(0, 30), st.lists(plain, max_size=8))
def test_random_fields_are_a_message_or_refused(number: int, fields: list) -> None:
    _decode_or_refuse(cbor2.dumps([number, *fields]))


@strict
@given(anything, st.integers(0, 400), st.integers(0, 255))
def test_damaged_messages_are_a_message_or_refused(message, index: int, byte: int) -> None:
    raw = bytearray(encode(message))
    raw[index % len(raw)] = byte
    _decode_or_refuse(bytes(raw))
    _decode_or_refuse(bytes(raw[: index % len(raw)]))


@pytest.mark.parametrize(
    ("raw", "problem"),
    [
        (b"", DecodeProblem.MALFORMED),
        (b"\x81" * 100_000, DecodeProblem.MALFORMED),
        (b"\x00" * (MAX_MESSAGE_BYTES + 1), DecodeProblem.OVERSIZED),
        (cbor2.dumps([99]), DecodeProblem.UNKNOWN_TYPE),
        (cbor2.dumps([True]), DecodeProblem.MALFORMED),
        (cbor2.dumps([4, -1, 0, 0, 0, 0, 0]), DecodeProblem.WRONG_FIELD),
        (cbor2.dumps([4, True, 0, 0, 0, 0, 0]), DecodeProblem.WRONG_FIELD),
        (cbor2.dumps([4, 0, 0]), DecodeProblem.WRONG_FIELD),
        (cbor2.dumps([4, 0, 0, 0, 0, 0, 2**64]), DecodeProblem.WRONG_FIELD),
        (cbor2.dumps([5, [], [["a", 1, 7]], []]), DecodeProblem.WRONG_FIELD),
        (cbor2.dumps([9, "x" * 1000]), DecodeProblem.WRONG_FIELD),
        (encode(messages.VmsPull()) + b"\x00", DecodeProblem.MALFORMED),
    ],
)
def test_invalid_message_is_refused(raw: bytes, problem: DecodeProblem) -> None:
    with pytest.raises(DecodeError) as caught:
        decode(raw)
    assert caught.value.problem is problem


def _decode_or_refuse(raw: bytes) -> None:
    try:
        message = decode(raw)
    except DecodeError:
        return
    assert type(message) in _TYPES.values()
