"""Keep the block table in objects of the platform's store.

A manifest among the configuration names the parts and deltas, which are objects named after a
digest of their content and therefore never change. A node that follows the manifest reads only
what it does not hold yet.
"""

import json
from dataclasses import dataclass

import xxhash

from chervilmill.coordination import ObjectStore, StoreUnavailableError, VersionConflictError
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
    """Name the parts of a table and the deltas to apply to it, in their order."""

    parts: tuple[str, ...]
    deltas: tuple[str, ...]

    def encode(self) -> bytes:
        """Return the stored form."""
        return json.dumps({"parts": list(self.parts), "deltas": list(self.deltas)}).encode()


def decode_manifest(value: bytes) -> BlockManifest:
    """Return the manifest of a stored form, or raise MalformedBlocksError."""
    try:
        raw = json.loads(value)
        return BlockManifest(tuple(map(str, raw["parts"])), tuple(map(str, raw["deltas"])))
    except (ValueError, KeyError, TypeError) as exc:
        raise MalformedBlocksError(f"not a manifest: {exc!r}") from exc


def store_table(store: ObjectStore, table: BlockTable) -> BlockManifest:
    """Write the parts of a table and return the manifest that names them."""
    return BlockManifest(tuple(_put(store, part) for part in encode_parts(table)), ())


def store_delta(store: ObjectStore, manifest: BlockManifest, delta: BlockDelta) -> BlockManifest:
    """Write a delta and return the manifest that has it as its last.

    Raise ValueError for a delta that is too large, which calls for a new base.
    """
    value = encode_delta(delta)
    if len(value) > MAX_DELTA_BYTES:
        raise ValueError(f"{len(value)} bytes are more than {MAX_DELTA_BYTES}")
    return BlockManifest(manifest.parts, (*manifest.deltas, _put(store, value)))


class BlockLoader:
    """Follow manifests, reading each part and delta once."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._parts: tuple[str, ...] = ()
        self._deltas: tuple[str, ...] = ()
        self._table = decode_parts(())

    def load(self, manifest: BlockManifest) -> BlockTable:
        """Return the table of a manifest, or raise PlatformError or MalformedBlocksError.

        A table that cannot be loaded leaves the one held as it was.
        """
        table = self._table
        is_extension = (
            manifest.parts == self._parts and manifest.deltas[: len(self._deltas)] == self._deltas
        )
        begin = len(self._deltas) if is_extension else 0
        if not is_extension:
            table = decode_parts([self._get(name) for name in manifest.parts])
        for name in manifest.deltas[begin:]:
            table = apply_delta(table, decode_delta(self._get(name)))
        self._table, self._parts, self._deltas = table, manifest.parts, manifest.deltas
        return table

    def _get(self, name: str) -> bytes:
        stored = self._store.get(BLOCKS_KIND, name)
        if stored is None:
            raise StoreUnavailableError("no such object", step="load blocks", peer=name)
        if _digest(stored.value) != name:
            raise MalformedBlocksError(f"{name} does not have the digest of its name")
        return stored.value


def _put(store: ObjectStore, value: bytes) -> str:
    name = _digest(value)
    try:
        store.create(BLOCKS_KIND, name, value)
    except VersionConflictError:
        return name
    return name


def _digest(value: bytes) -> str:
    return xxhash.xxh3_128_hexdigest(value)
