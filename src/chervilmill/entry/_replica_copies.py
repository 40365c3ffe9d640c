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
    decode_objects,
    encode_objects,
)

PEER_TIMEOUT_S = 1.5


@dataclass(frozen=True, slots=True)
class FetchedReplica:
    """A peer's copy; `is_settled` says that no outage explains what is missing from it."""

    listing: Listing
    is_settled: bool


async def fetch_replica(host: Address, kind: str) -> FetchedReplica:
    """Fetch a peer's copy of all objects of a kind, or raise ChervilmillError."""
    client = HttpClient(host)
    try:
        answer = await client("GET", f"/replicas/{kind}", b"", PEER_TIMEOUT_S)
    finally:
        client.close()
    try:
        raw = decode_document(answer.body)
        as_of = StoreVersion(int(raw.get("era", UNSTATED_ERA)), int(raw["as_of"]))
        last_change = _read_last_change(raw.get("last_change"))
        listing = Listing(decode_objects(raw["objects"]), as_of, last_change)
        return FetchedReplica(listing, raw.get("is_settled") is True)
    except MALFORMED_ERRORS as exc:
        raise StoreError(repr(exc), step="read copy", peer=str(host)) from exc


def _read_last_change(value: object) -> StoreVersion | None:
    """Return the version of the last change, or None of a peer that does not state it."""
    if not isinstance(value, list):
        return None
    era, revision = value
    return StoreVersion(int(era), int(revision))


def encode_replica(replica: KindReplica, *, is_settled: bool) -> bytes:
    """Encode a copy in the form that `fetch_replica` reads."""
    objects = encode_objects(replica.objects.values())
    return json.dumps(
        {
            "era": replica.as_of.era,
            "as_of": replica.as_of.revision,
            "last_change": astuple(replica.last_change),
            "is_settled": is_settled,
            "objects": objects,
        }
    ).encode()
