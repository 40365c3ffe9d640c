"""Encode and decode the digests that entry VMs exchange: one CBOR datagram each."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import cbor2

from chervilmill.peers._datagrams import reading
from chervilmill.peers._replica import CopyProof
from chervilmill.platform import UNSTATED_ERA, StoreVersion

_SERVING_FLAG = 1
_SUSPECTED_FLAG = 2
_CUT_OFF_FLAG = 4
_VERSION_6_FLAG = 8
PROTOCOL_VERSION = 6  # raised with each change of what VMs send each other
FLAGGED_VERSION = 6  # heartbeats, which peers pass on, say that their VM is of it or later
FIRST_VERSION_THAT_PROVES_BY_LISTS = 5  # those before took watches for proof
UNSTATED_PROTOCOL_VERSION = 0  # of the versions that do not state theirs
_AGE_UNIT_S = 0.1  # a fifth of a gossip round


@dataclass(frozen=True, slots=True)
class HeartbeatEntry:
    """The latest known heartbeat of one VM.

    `key` identifies the VM, `incarnation` numbers its lifetimes and `counter` the rounds of the
    current lifetime. `age_s` is the time since the heartbeat came from the VM itself, to the sender
    or to the peer that the sender learned it from. `is_suspected` says that a watcher of the VM did
    not receive the next heartbeat in time. `is_cut_off` says that the VM reaches no target.
    `is_version_6` says that the VM is of protocol version 6 or later; where it is not set, the VM
    may be, as peers of earlier versions pass its heartbeats on without it.
    """

    key: int
    incarnation: int
    counter: int
    is_serving: bool
    is_suspected: bool = False
    is_cut_off: bool = False
    age_s: float = 0.0
    is_version_6: bool = False


@dataclass(frozen=True, slots=True)
class Digest:
    """Heartbeats and the versions of the store known.

    The first heartbeat is the sender's own. `revisions` holds, by kind of object, the version of
    the last change known to the sender. `wants_reply` asks the receiver for a heartbeat
    of its own. `protocol_version` is the sender's. `confirmed_age_s` is the age at which all copies
    of the sender are known to reflect the store, or None if the sender does not state it. `proofs`
    holds, by kind, what the sender has proven of its copies, of kinds in `revisions` only.
    """

    sender: int
    heartbeats: tuple[HeartbeatEntry, ...]
    revisions: dict[str, StoreVersion]
    wants_reply: bool = False
    protocol_version: int = PROTOCOL_VERSION
    confirmed_age_s: float | None = None
    proofs: Mapping[str, CopyProof] = field(default_factory=dict)

    @property
    def proves_by_lists(self) -> bool:
        """Return whether the sender proves its copies by linearizable lists alone."""
        return self.protocol_version >= FIRST_VERSION_THAT_PROVES_BY_LISTS

    def encode(self) -> bytes:
        """Return the digest as a datagram."""
        rows = [_encode_heartbeat(entry) for entry in self.heartbeats]
        revisions = {kind: known.revision for kind, known in self.revisions.items()}
        eras = {kind: known.era for kind, known in self.revisions.items() if known.era}
        # Protocol version 0 takes no sixth field, but any value in this one.
        versions: list[object] = [self.protocol_version, eras]
        if self.confirmed_age_s is not None:
            versions.append(math.ceil(self.confirmed_age_s / _AGE_UNIT_S))
            versions.append([_encode_proof(self.proofs.get(kind)) for kind in self.revisions])
        return cbor2.dumps([self.sender, rows, revisions, versions, self.wants_reply])


def decode_digest(data: bytes, peer: str) -> Digest:
    """Return the digest in a datagram, or raise MalformedDigestError."""
    with reading("read digest", peer):
        sender, rows, revisions, versions, wants_reply = cbor2.loads(data)[:5]
        eras = dict(versions[1]) if len(versions) > 1 else {}  # unstated before version 2
        heartbeats = tuple(_decode_heartbeat(row) for row in rows)
        known_revisions = {
            str(kind): StoreVersion(int(eras.get(kind, UNSTATED_ERA)), int(revision))
            for kind, revision in revisions.items()
        }
        version = int(versions[0]) if versions else UNSTATED_PROTOCOL_VERSION
        return Digest(
            int(sender),
            heartbeats,
            known_revisions,
            bool(wants_reply),
            version,
            _decode_age_s(versions[2]) if len(versions) > 2 else None,  # unstated before version 3
            # Unstated before version 4, whose copies may hold what stale answers said.
            _decode_proofs(known_revisions, versions[3]) if len(versions) > 3 else {},
        )


def _encode_heartbeat(entry: HeartbeatEntry) -> list[int]:
    flags = _SERVING_FLAG * entry.is_serving + _SUSPECTED_FLAG * entry.is_suspected
    flags += _CUT_OFF_FLAG * entry.is_cut_off + _VERSION_6_FLAG * entry.is_version_6
    return [entry.key, entry.incarnation, entry.counter, flags, round(entry.age_s / _AGE_UNIT_S)]


def _decode_heartbeat(row: list[int]) -> HeartbeatEntry:
    key, incarnation, counter, flags, age_units = (int(value) for value in row[:5])
    return HeartbeatEntry(
        key,
        incarnation,
        counter,
        bool(flags & _SERVING_FLAG),
        bool(flags & _SUSPECTED_FLAG),
        bool(flags & _CUT_OFF_FLAG),
        _decode_age_s(age_units),
        bool(flags & _VERSION_6_FLAG),
    )


def _encode_proof(proof: CopyProof | None) -> list[int]:
    if proof is None:
        return []
    return [proof.version.era, proof.version.revision, proof.fingerprint]


def _decode_proofs(kinds: Iterable[str], rows: list[list[int]]) -> dict[str, CopyProof]:
    """Return the proofs in rows, of which there is one for each kind."""
    proofs: dict[str, CopyProof] = {}
    for kind, row in zip(kinds, rows, strict=False):
        if row:
            era, revision, fingerprint = (int(value) for value in row[:3])
            proofs[kind] = CopyProof(StoreVersion(era, revision), fingerprint)
    return proofs


def _decode_age_s(units: int) -> float:
    if int(units) < 0:
        raise ValueError("negative age")
    return int(units) * _AGE_UNIT_S
