"""Store the block table as objects of the platform's store, and load the table from there.

A manifest in the configuration names the parts and deltas of the table. Each part and delta is an
object named after the digest of its content, so the object never changes. A node that follows the
manifest reads only the objects that it has not loaded yet.
"""

import json
from dataclasses import dataclass

import xxhash

from chervilmill.coordination import ObjectStore, StoreUnavailableError, VersionConflictError
from chervilmill.documents import decode_document
from chervilmill.steering._block_codec import (
    BlockDelta,
    MalformedBlocksError,
    apply_delta,
    decode_delta,
    decode_parts,
    encode_delta,
    encode_parts,
)
from chervilmill.steering._blocks import BlockTable

BLOCKS_KIND = "blocks"
MANIFEST_NAME = "blocks/table"
MAX_DELTA_BYTES = 600_000


@dataclass(frozen=True, slots=True)
class BlockManifest:
    """The names of the parts of a table and of the deltas to apply to the table, in order."""

    parts: tuple[str, ...]
    deltas: tuple[str, ...]

    def encode(self) -> bytes:
        """Return the stored form."""
        return json.dumps({"parts": list(self.parts), "deltas": list(self.deltas)}).encode()


def decode_manifest(value: bytes) -> BlockManifest:
    """Return the manifest of a stored form, or raise MalformedBlocksError."""
    try:
        raw = decode_document(value)
        return BlockManifest(tuple(map(str, raw["parts"])), tuple(map(str, raw["deltas"])))
    except (ValueError, KeyError, TypeError) as exc:
        raise MalformedBlocksError(f"not a manifest: {exc!r}") from exc


def store_table(store: ObjectStore, table: BlockTable) -> BlockManifest:
    """Write the parts of a table and return the manifest that names them."""
    return BlockManifest(tuple(_write_object(store, part) for part in encode_parts(table)), ())


def store_delta(store: ObjectStore, manifest: BlockManifest, delta: BlockDelta) -> BlockManifest:
    """Write a delta and return the manifest with that delta added at the end.

    Raise ValueError if the delta is too large. The caller then has to store the whole table.
    """
    value = encode_delta(delta)
    if len(value) > MAX_DELTA_BYTES:
        raise ValueError(
            f"the delta takes {len(value)} bytes, more than the limit of {MAX_DELTA_BYTES}"
        )
    return BlockManifest(manifest.parts, (*manifest.deltas, _write_object(store, value)))


class BlockLoader:
    """A loader that follows manifests and reads each part and delta once."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._parts: tuple[str, ...] = ()
        self._deltas: tuple[str, ...] = ()
        self._table = decode_parts(())

    def load(self, manifest: BlockManifest) -> BlockTable:
        """Return the table of a manifest, or raise PlatformError or MalformedBlocksError.

        If loading fails, the loader keeps the table that it loaded before.
        """
        table = self._table
        is_extension = (
            manifest.parts == self._parts and manifest.deltas[: len(self._deltas)] == self._deltas
        )
        begin = len(self._deltas) if is_extension else 0
        if not is_extension:
            table = decode_parts([self._read_object(name) for name in manifest.parts])
        for name in manifest.deltas[begin:]:
            table = apply_delta(table, decode_delta(self._read_object(name)))
        self._table, self._parts, self._deltas = table, manifest.parts, manifest.deltas
        return table

    def _read_object(self, name: str) -> bytes:
        stored = self._store.get(BLOCKS_KIND, name)
        if stored is None:
            raise StoreUnavailableError("the object does not exist", step="load blocks", peer=name)
        if _digest(stored.value) != name:
            raise MalformedBlocksError(
                f"the content of object {name} does not match the digest in its name"
            )
        return stored.value


def _write_object(store: ObjectStore, value: bytes) -> str:
    name = _digest(value)
    try:
        store.create(BLOCKS_KIND, name, value)
    except VersionConflictError:
        return name
    return name


def _digest(value: bytes) -> str:
    return xxhash.xxh3_128_hexdigest(value)
