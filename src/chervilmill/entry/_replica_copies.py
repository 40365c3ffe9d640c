"""Exchange copies of the store's objects with peers over HTTP."""

import json
from dataclasses import astuple, dataclass

from chervilmill.addresses import Address
from chervilmill.aio import HttpClient
from chervilmill.documents import MALFORMED_ERRORS, decode_document
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
)

PEER_TIMEOUT_S = 1.5


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


async def fetch_replica(host: Address, kind: str) -> FetchedReplica:
    """Fetch a peer's copy of all objects of a kind, or raise ChervilmillError."""
    client = HttpClient(host)
    try:
        answer = await client("GET", f"/replicas/{kind}", b"", PEER_TIMEOUT_S)
    finally:
        client.close()
    return decode_replica(answer.body, str(host))


def decode_replica(body: bytes, peer: str) -> FetchedReplica:
    """Return the copy that a peer encoded, or raise StoreError."""
    try:
        raw = decode_document(body)
        as_of = StoreVersion(int(raw.get("era", UNSTATED_ERA)), int(raw["as_of"]))
        objects = decode_objects(raw["objects"])
        last_change = _read_last_change(raw.get("last_change"))
        is_settled = raw.get("is_settled") is True
        if raw.get("is_listed") is not True:
            return FetchedReplica(Listing(objects, as_of, last_change), is_settled, is_proven=False)
        hints = decode_events(raw["hints"])
        for event in hints:
            objects.pop(event.stored.name, None)
        objects.update(decode_objects(raw["proven"]))
        last_proven_change = _read_last_change(raw.get("last_proven_change"))
        return FetchedReplica(Listing(objects, as_of, last_proven_change), is_settled, hints=hints)
    except MALFORMED_ERRORS as exc:
        raise StoreError(repr(exc), step="read copy", peer=peer) from exc


def _read_last_change(value: object) -> StoreVersion | None:
    """Return the version of the last change, or None of a peer that does not state it."""
    if not isinstance(value, list):
        return None
    era, revision = value
    return StoreVersion(int(era), int(revision))


def encode_replica(replica: KindReplica, *, is_settled: bool) -> bytes:
    """Encode a copy in the form that `decode_replica` reads.

    Earlier versions read all objects known. Later ones take those that hints have changed from
    `proven`.
    """
    names = {hint.name for hint in replica.hints}
    proven = [replica.proven[name] for name in names if name in replica.proven]
    return json.dumps(
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
    ).encode()
