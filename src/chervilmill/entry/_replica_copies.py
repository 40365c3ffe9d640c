"""Exchange copies of the store's objects with peers over HTTP."""

from dataclasses import astuple, dataclass

import msgspec

from chervilmill.addresses import Address
from chervilmill.aio import HttpClient
from chervilmill.document_parts import decode_parts
from chervilmill.peers import KindReplica
from chervilmill.platform import (
    UNSTATED_ERA,
    Listing,
    StoreError,
    StoreVersion,
    WatchEvent,
    decode_events,
    decode_objects,
    encode_events,
    encode_objects,
    is_true,
)

PEER_TIMEOUT_S = 1.5

_ABSENT = msgspec.Raw(b"")


@dataclass(frozen=True, slots=True)
class FetchedReplica:
    """A peer's copy; `is_settled` says that no outage explains what is missing from it.

    Unless `is_proven`, it is a copy of an earlier version, which may hold what stale answers said
    or lack what watches did not tell.
    `hints` are the changes beyond a proven copy that the peer has not proven.
    """

    listing: Listing
    is_settled: bool
    is_proven: bool = True
    hints: tuple[WatchEvent, ...] = ()


class _EncodedReplica(msgspec.Struct):
    """A copy as a peer encodes it; earlier versions leave some of the fields out."""

    as_of: int
    objects: list[msgspec.Raw]
    era: int = UNSTATED_ERA
    last_change: msgspec.Raw = _ABSENT
    last_proven_change: msgspec.Raw = _ABSENT
    is_settled: msgspec.Raw = _ABSENT
    is_listed: msgspec.Raw = _ABSENT
    proven: list[msgspec.Raw] | None = None
    hints: list[msgspec.Raw] | None = None


_replica_decoder = msgspec.json.Decoder(_EncodedReplica)
_version_decoder = msgspec.json.Decoder(tuple[int, int])


async def fetch_replica(host: Address, kind: str) -> FetchedReplica:
    """Fetch a peer's copy of all objects of a kind, or raise ChervilmillError."""
    client = HttpClient(host)
    try:
        answer = await client("GET", f"/replicas/{kind}", b"", PEER_TIMEOUT_S)
    finally:
        client.close()
    return decode_replica(kind, answer.body, str(host))


def decode_replica(kind: str, body: bytes, peer: str) -> FetchedReplica:
    """Return the copy of a kind that a peer encoded, or raise StoreError."""
    try:
        raw = decode_parts(body, _replica_decoder)
        last_change = _read_last_change(raw.last_change)
        last_proven_change = _read_last_change(raw.last_proven_change)
    except ValueError as exc:
        raise StoreError(repr(exc), step="read copy", peer=peer) from exc
    as_of = StoreVersion(raw.era, raw.as_of)
    objects = decode_objects(kind, raw.objects)
    is_settled = is_true(raw.is_settled)
    if not is_true(raw.is_listed):
        return FetchedReplica(Listing(objects, as_of, last_change), is_settled, is_proven=False)
    hints = decode_events(kind, raw.hints or ()).events
    for event in hints:
        objects.pop(event.stored.name, None)
    objects.update(decode_objects(kind, raw.proven or ()))
    return FetchedReplica(Listing(objects, as_of, last_proven_change), is_settled, hints=hints)


def _read_last_change(raw: msgspec.Raw) -> StoreVersion | None:
    """Return the version of the last change, or None of a peer that does not state it."""
    return StoreVersion(*decode_parts(raw, _version_decoder)) if raw else None


def encode_replica(replica: KindReplica, *, is_settled: bool) -> bytes:
    """Encode a copy in the form that `decode_replica` reads.

    Earlier versions read all objects known. Later ones take those that hints have changed from
    `proven`.
    """
    names = {hint.name for hint in replica.hints}
    proven = [replica.proven[name] for name in names if name in replica.proven]
    return msgspec.json.encode(
        {
            "era": replica.as_of.era,
            "as_of": replica.as_of.revision,
            "last_change": astuple(replica.last_change),
            "last_proven_change": astuple(replica.last_proven_change),
            "is_settled": is_settled,
            "is_listed": True,
            "objects": encode_objects(replica.objects.values()),
            "proven": encode_objects(proven),
            "hints": encode_events(hint.event for hint in replica.hints),
        }
    )
