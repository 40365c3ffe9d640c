"""Keep of an object's content what this system reads.

The store bounds one object, and not how many other writers make. What an entry costs here is
therefore bounded by what is read of it: its name and revision, and its fields if they can be used.
"""

from collections.abc import Callable

import msgspec

from chervilmill.document_parts import decode_parts
from chervilmill.platform._objects import (
    CONFIGURATION_KIND,
    ENTRY_VM_KIND,
    TARGET_KIND,
    InvalidObjectError,
    read_registration,
    read_target,
)
from chervilmill.platform._stored_objects import StoredObject

CONFIGURATION_NAME = "main"  # the operator writes no other one
# Contents up to this length are kept, and read when they are used. Few are longer.
UNREAD_BYTES = 512
MAX_SCALARS_BYTES = 64 * 1024  # above the longest texts that are read, in escapes

_ABSENT = msgspec.Raw(b"")
_OPENING = b"[{"

FieldValues = list[tuple[bytes, msgspec.Raw]]


class ContentFields:
    """Some fields of a content, which are found without building the others.

    `struct` is what msgspec decodes a content to.
    """

    __slots__ = ("_decoder", "_keys", "struct")

    def __init__(self, *names: str) -> None:
        attributes = [f"field_{number}" for number in range(len(names))]
        self.struct = msgspec.defstruct(
            "Fields",
            [(attribute, msgspec.Raw, _ABSENT) for attribute in attributes],
            rename=dict(zip(attributes, names, strict=True)),
        )
        self._decoder = msgspec.json.Decoder(self.struct)
        self._keys = [
            (attribute, b'"%b":' % name.encode())
            for attribute, name in zip(attributes, names, strict=True)
        ]

    def decode(self, content: msgspec.Raw) -> msgspec.Struct:
        """Return the fields of a content, none if it is no object."""
        try:
            return decode_parts(content, self._decoder)
        except ValueError:
            return self.struct()

    def values(self, fields: msgspec.Struct) -> FieldValues:
        """Return the encoded key and value of each field that there is."""
        values = [(key, getattr(fields, attribute)) for attribute, key in self._keys]
        return [(key, raw) for key, raw in values if raw]


_NO_FIELDS = ContentFields()
_FIELDS = {
    CONFIGURATION_KIND: ContentFields("version", "routes", "services", "limits", "tenants"),
    TARGET_KIND: ContentFields(
        "service", "address", "zone", "slots", "state", "cold-remaining-s", "born"
    ),
    ENTRY_VM_KIND: ContentFields("host", "failure_domain"),
}
_READERS: dict[str, Callable[[StoredObject], object]] = {
    TARGET_KIND: read_target,
    ENTRY_VM_KIND: read_registration,
}


def content_fields(kind: str) -> ContentFields:
    """Return the fields that are read of the objects of a kind."""
    return _FIELDS.get(kind, _NO_FIELDS)


def encode_content(kind: str, name: str, revision: int, fields: msgspec.Struct) -> bytes:
    """Return a JSON object with the fields of a content, or nothing if it cannot be used."""
    found = content_fields(kind).values(fields)
    if kind == CONFIGURATION_KIND:
        return _join(found) if name == CONFIGURATION_NAME else b""
    kept = _join(found)
    if len(kept) <= UNREAD_BYTES:
        return kept
    is_scalar = all(memoryview(raw)[0] not in _OPENING for _, raw in found)
    is_usable = is_scalar and len(kept) <= MAX_SCALARS_BYTES
    return kept if is_usable and _can_be_read(kind, name, revision, kept) else b""


def _can_be_read(kind: str, name: str, revision: int, content: bytes) -> bool:
    try:
        _READERS[kind](StoredObject(name, revision, content))
    except InvalidObjectError:
        return False
    return True


def _join(found: FieldValues) -> bytes:
    return b"{%b}" % b",".join([key + bytes(raw) for key, raw in found]) if found else b""
