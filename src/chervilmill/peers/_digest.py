"""Encode what entry VMs tell each other in one datagram, as CBOR."""

from dataclasses import dataclass

import cbor2

from chervilmill.errors import ChervilmillError
from chervilmill.requests import CrashNews


class MalformedDigestError(ChervilmillError):
    """Report a datagram that is not a digest."""


@dataclass(frozen=True, slots=True)
class HeartbeatEntry:
    """Hold the last heartbeat known of one VM.

    `key` is the VM's, `incarnation` counts its lifetimes and `counter` its rounds in this one.
    """

    key: int
    incarnation: int
    counter: int
    is_serving: bool


@dataclass(frozen=True, slots=True)
class Digest:
    """Hold heartbeats, news of requests that crash targets, and what the sender knows.

    `revisions` holds, by kind of object, the store revision of the last change known.
    """

    sender: int
    heartbeats: tuple[HeartbeatEntry, ...]
    revisions: dict[str, int]
    crashes: tuple[CrashNews, ...] = ()

    def encode(self) -> bytes:
        """Return the datagram."""
        rows = [[one.key, one.incarnation, one.counter, one.is_serving] for one in self.heartbeats]
        crashes = [
            [one.fingerprint, one.crashes, one.limited_to, one.lapses_in_s] for one in self.crashes
        ]
        return cbor2.dumps([self.sender, rows, self.revisions, crashes])


def decode_digest(data: bytes, peer: str) -> Digest:
    """Return the digest in a datagram, or raise MalformedDigestError."""
    try:
        sender, rows, revisions, crashes = cbor2.loads(data)
        heartbeats = tuple(
            HeartbeatEntry(int(key), int(incarnation), int(counter), bool(is_serving))
            for key, incarnation, counter, is_serving in rows
        )
        known = {str(kind): int(revision) for kind, revision in revisions.items()}
        news = tuple(
            CrashNews(bytes(fingerprint), int(count), str(limited_to), float(lapses_in_s))
            for fingerprint, count, limited_to, lapses_in_s in crashes
        )
        return Digest(int(sender), heartbeats, known, news)
    except (cbor2.CBORDecodeError, TypeError, ValueError, AttributeError) as exc:
        raise MalformedDigestError(repr(exc), step="read digest", peer=peer) from exc
