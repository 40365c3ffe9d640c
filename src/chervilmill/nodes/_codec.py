"""Encode messages as CBOR arrays, and validate every field of a decoded message.

A message is an array of its type number and its fields in order; a nested dataclass is an array
of its fields. Type numbers are never reused: a changed message gets a new number or a new
protocol version.
"""

import dataclasses
import io
import types
import typing
from collections.abc import Callable
from enum import Enum, IntEnum
from typing import Any

import cbor2

from chervilmill.nodes import _messages as messages
from chervilmill.nodes._messages import Message

MAX_TEXT_CHARACTERS = 512
MAX_FIELD_BYTES = 1024**2
MAX_ARRAY_ITEMS = 4096
MAX_NESTING_DEPTH = 8
MAX_INTEGER = 2**63 - 1
MAX_MESSAGE_BYTES = MAX_FIELD_BYTES + 64 * 1024

_TYPES: dict[int, type[Any]] = {
    1: messages.Challenge,
    2: messages.Hello,
    3: messages.Welcome,
    4: messages.Heartbeat,
    5: messages.MembershipUpdates,
    6: messages.MembersPull,
    7: messages.ConfigurationAnnouncement,
    8: messages.ConfigurationPull,
    9: messages.ConfigurationFetch,
    10: messages.ConfigurationObjects,
    11: messages.ConfigurationEnd,
    12: messages.VmChanges,
    13: messages.VmsPull,
    14: messages.NodeRequest,
    15: messages.HeadRequest,
    16: messages.GrantToNode,
    17: messages.GrantToHead,
    18: messages.LoadReport,
    19: messages.LoadSummary,
    20: messages.BroadcastItems,
    21: messages.NodeRenewalHint,
    22: messages.HeadRenewalHint,
}
_TYPE_NUMBERS = {cls: number for number, cls in _TYPES.items()}

FieldReader = Callable[[Any], Any]


class DecodeProblem(Enum):
    """Reasons why received bytes are not a message; the values are labels of a metric."""

    OVERSIZED = "oversized"
    MALFORMED = "malformed"
    UNKNOWN_TYPE = "unknown_type"
    WRONG_FIELD = "wrong_field"


class DecodeError(ValueError):
    """Received bytes are not a message of this protocol."""

    def __init__(self, problem: DecodeProblem, detail: str) -> None:
        super().__init__(f"{problem.value}: {detail}")
        self.problem = problem


def encode(message: Message) -> bytes:
    """Return the CBOR form of a message."""
    return cbor2.dumps([_TYPE_NUMBERS[type(message)], *_field_values(message)])


def decode(raw: bytes) -> Message:
    """Return the message that was encoded as CBOR, or raise DecodeError."""
    if len(raw) > MAX_MESSAGE_BYTES:
        raise DecodeError(DecodeProblem.OVERSIZED, f"{len(raw)} bytes")
    try:
        items = _decode_cbor(raw)
    except Exception as exc:
        raise DecodeError(DecodeProblem.MALFORMED, type(exc).__name__) from exc
    if not isinstance(items, list) or not items or type(items[0]) is not int:
        raise DecodeError(DecodeProblem.MALFORMED, "not an array that starts with a type number")
    cls = _TYPES.get(items[0])
    if cls is None:
        raise DecodeError(DecodeProblem.UNKNOWN_TYPE, str(items[0]))
    message: Message = _MESSAGE_READERS[cls](items[1:])
    return message


def _decode_cbor(raw: bytes) -> Any:
    stream = io.BytesIO(raw)
    decoder = cbor2.CBORDecoder(stream, max_depth=MAX_NESTING_DEPTH, allow_indefinite=False)
    items = decoder.decode()
    if stream.tell() != len(raw):
        raise ValueError("unexpected bytes after the message")
    return items


def _field_values(value: Any) -> list[Any]:
    return [_to_plain(getattr(value, field.name)) for field in dataclasses.fields(value)]


def _to_plain(value: Any) -> Any:
    if isinstance(value, tuple):
        return [_to_plain(item) for item in value]
    if dataclasses.is_dataclass(value):
        return _field_values(value)
    if isinstance(value, IntEnum):
        return int(value)
    return value


def _wrong_field(found: object, allowed: str) -> DecodeError:
    return DecodeError(DecodeProblem.WRONG_FIELD, f"{type(found).__name__} is not {allowed}")


def _read_integer(raw: Any) -> int:
    if type(raw) is not int or not 0 <= raw <= MAX_INTEGER:
        raise _wrong_field(raw, "an integer in range")
    return raw


def _read_text(raw: Any) -> str:
    if type(raw) is not str or len(raw) > MAX_TEXT_CHARACTERS:
        raise _wrong_field(raw, "a string within the length limit")
    return raw


def _read_bytes(raw: Any) -> bytes:
    if type(raw) is not bytes or len(raw) > MAX_FIELD_BYTES:
        raise _wrong_field(raw, "bytes within the length limit")
    return raw


def _read_enum(cls: type[IntEnum]) -> FieldReader:
    by_value = {int(item): item for item in cls}

    def read(raw: Any) -> Any:
        if type(raw) is not int or raw not in by_value:
            raise _wrong_field(raw, cls.__name__)
        return by_value[raw]

    return read


def _read_tuple(read_item: FieldReader) -> FieldReader:
    def read(raw: Any) -> Any:
        if type(raw) is not list or len(raw) > MAX_ARRAY_ITEMS:
            raise _wrong_field(raw, "an array within the length limit")
        return tuple(read_item(item) for item in raw)

    return read


def _read_fields(cls: type[Any]) -> FieldReader:
    hints = typing.get_type_hints(cls)
    readers = [_field_reader(hints[field.name]) for field in dataclasses.fields(cls)]

    def read(raw: Any) -> Any:
        if type(raw) is not list or len(raw) != len(readers):
            raise _wrong_field(raw, f"the fields of {cls.__name__}")
        return cls(*[read_one(item) for read_one, item in zip(readers, raw, strict=True)])

    return read


def _field_reader(annotation: Any) -> FieldReader:
    if isinstance(annotation, types.GenericAlias):
        return _read_tuple(_field_reader(typing.get_args(annotation)[0]))
    if issubclass(annotation, IntEnum):
        return _read_enum(annotation)
    if isinstance(annotation, type) and dataclasses.is_dataclass(annotation):
        return _read_fields(annotation)
    return {int: _read_integer, str: _read_text, bytes: _read_bytes}[annotation]


_MESSAGE_READERS = {cls: _read_fields(cls) for cls in _TYPES.values()}
