"""Decode objects and changes in answers of the store and of peers, and encode them for peers.

Each entry is decoded by itself, so that a malformed one costs no other one, and only what is read
of it is built.
"""

import functools
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, cast

import msgspec

from chervilmill.document_parts import decode_part, decode_parts
from chervilmill.documents import decode_document
from chervilmill.platform._contents import content_fields, encode_content
from chervilmill.platform._fields import MAX_INTEGER, MAX_TEXT_CHARACTERS
from chervilmill.platform._stored_objects import StoredObject, WatchEvent

MAX_NUMBER_BYTES = 32
MAX_NAME_CHARACTERS = MAX_TEXT_CHARACTERS  # longer names are left out, as nothing can use them
LAST_CHARACTER = "\U0010ffff"  # sorts after all others

_NULL = msgspec.Raw(b"null")
_NO_CONTENT = b"{}"


class _Metadata(msgspec.Struct):
    name: str
    revision: int
    deleting: bool = False


class _OddMetadata(msgspec.Struct):
    name: msgspec.Raw = _NULL
    revision: msgspec.Raw = _NULL
    deleting: msgspec.Raw = _NULL


class _OddObject(msgspec.Struct):
    metadata: msgspec.Raw = _NULL
    specification: msgspec.Raw = _NULL


class _Object(msgspec.Struct):
    """An object; `specification` has the fields that are read of its kind."""

    metadata: _Metadata
    specification: msgspec.Struct


class _Event(msgspec.Struct):
    object: msgspec.Raw = _NULL
    deleted: msgspec.Raw = _NULL


_metadata_decoder = msgspec.json.Decoder(_Metadata)
_odd_metadata_decoder = msgspec.json.Decoder(_OddMetadata)
_odd_object_decoder = msgspec.json.Decoder(_OddObject)
_event_decoder = msgspec.json.Decoder(_Event)


@dataclass(frozen=True, slots=True)
class ObjectPage:
    """The objects of a page by name, and the name after which the list continues, if any."""

    objects: dict[str, StoredObject]
    last_name: str


def decode_page(kind: str, values: Iterable[msgspec.Raw]) -> ObjectPage:
    """Return the objects of a page, without malformed ones and those with names of no use."""
    objects: dict[str, StoredObject] = {}
    last = ""
    for value in values:
        decoded = _decode_object(kind, value)
        if decoded is None:
            continue
        name = decoded.metadata.name
        last = max(last, name)
        if len(name) <= MAX_NAME_CHARACTERS:
            objects[name] = _to_stored(kind, decoded)
    if len(last) > MAX_NAME_CHARACTERS:  # too long for a query
        last = last[:MAX_NAME_CHARACTERS] + LAST_CHARACTER
    return ObjectPage(objects, last)


def decode_objects(kind: str, values: Iterable[msgspec.Raw]) -> dict[str, StoredObject]:
    """Return the objects of a kind by name, as `decode_page` does."""
    return decode_page(kind, values).objects


@dataclass(frozen=True, slots=True)
class DecodedEvents:
    """Writes and removals, and the revision of the newest one, also if it is left out."""

    events: tuple[WatchEvent, ...]
    newest_revision: int


def decode_events(kind: str, values: Iterable[msgspec.Raw]) -> DecodedEvents:
    """Return the writes and removals of objects of a kind, without those of no use."""
    events: list[WatchEvent] = []
    newest = 0
    for value in values:
        try:
            event = decode_parts(value, _event_decoder)
        except ValueError:
            continue
        decoded = _decode_object(kind, event.object)
        if decoded is None:
            continue
        newest = max(newest, decoded.metadata.revision)
        if len(decoded.metadata.name) > MAX_NAME_CHARACTERS:
            continue
        is_removed = is_true(event.deleted)
        if is_removed:
            decoded.specification = content_fields(kind).struct()  # nobody reads it
        events.append(WatchEvent(_to_stored(kind, decoded), is_removed))
    return DecodedEvents(tuple(events), newest)


def read_revision(raw: msgspec.Raw) -> int:
    """Return the revision in a part of an answer, or 0 if there is none."""
    value = decode_part(raw, MAX_NUMBER_BYTES)
    return value if isinstance(value, int) and not isinstance(value, bool) else 0


def is_true(raw: msgspec.Raw) -> bool:
    """Return whether a part of an answer is the value `true`."""
    return decode_part(raw, MAX_NUMBER_BYTES) is True


def is_false(raw: msgspec.Raw) -> bool:
    """Return whether a part of an answer is absent or an empty value, such as `false`."""
    return len(raw) <= MAX_NUMBER_BYTES and not decode_part(raw, MAX_NUMBER_BYTES)


@functools.cache
def _object_decoder(kind: str) -> msgspec.json.Decoder[_Object]:
    """Return a decoder to a struct with the parts of `_Object`."""
    fields = content_fields(kind).struct
    struct = msgspec.defstruct("Object", [("metadata", _Metadata), ("specification", fields)])
    return msgspec.json.Decoder(cast(type[_Object], struct))


def _decode_object(kind: str, value: msgspec.Raw) -> _Object | None:
    """Return an object, or None if it has no name."""
    try:
        decoded = _object_decoder(kind).decode(value)
        if abs(decoded.metadata.revision) <= MAX_INTEGER:
            return decoded
    except (msgspec.DecodeError, RecursionError):
        pass  # a part is missing or odd
    try:
        odd = decode_parts(value, _odd_object_decoder)
        metadata = _read_metadata(odd.metadata)
    except ValueError:
        return None
    return _Object(metadata, content_fields(kind).decode(odd.specification))


def _read_metadata(raw: msgspec.Raw) -> _Metadata:
    """Return the metadata of an object, or raise ValueError if it has no name."""
    try:
        metadata = _metadata_decoder.decode(raw)
        if abs(metadata.revision) <= MAX_INTEGER:
            return metadata
    except (msgspec.DecodeError, RecursionError):
        pass  # a field is odd
    odd = decode_parts(raw, _odd_metadata_decoder)
    name = decode_document(bytes(odd.name))
    if not isinstance(name, str):
        raise ValueError("the name is no string")
    return _Metadata(name, read_revision(odd.revision), is_true(odd.deleting))


def _to_stored(kind: str, decoded: _Object) -> StoredObject:
    metadata = decoded.metadata
    content = encode_content(kind, metadata.name, metadata.revision, decoded.specification)
    return StoredObject(metadata.name, metadata.revision, content, metadata.deleting)


def encode_objects(objects: Iterable[StoredObject]) -> list[dict[str, Any]]:
    """Return objects as values for another entry VM, which msgspec encodes."""
    return [_encode_object(stored) for stored in objects if not stored.is_being_deleted]


def encode_events(events: Iterable[WatchEvent]) -> list[dict[str, Any]]:
    """Return writes and removals as values for another entry VM, which msgspec encodes."""
    return [
        {
            "object": _encode_object(event.stored),
            "deleted": event.is_removed or event.stored.is_being_deleted,
        }
        for event in events
    ]


def _encode_object(stored: StoredObject) -> dict[str, Any]:
    return {
        "metadata": {"name": stored.name, "revision": stored.revision},
        "specification": msgspec.Raw(stored.content or _NO_CONTENT),
    }
