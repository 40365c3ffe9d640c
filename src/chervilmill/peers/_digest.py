"""Encode what entry VMs tell each other in one datagram, as CBOR."""

from dataclasses import dataclass

import cbor2

from chervilmill.errors import ChervilmillError
from chervilmill.requests import CrashNews

_SERVING = 1
_SILENT = 2
_AGE_UNIT_S = 0.1  # a fifth of a round


class MalformedDigestError(ChervilmillError):
    """Report a datagram that is not a digest."""


@dataclass(frozen=True, slots=True)
class HeartbeatEntry:
    """Hold the last sign of life known of one VM.

    `key` is the VM's, `incarnation` counts its lifetimes and `counter` its rounds in this one.
    `age_s` is how long ago the sender or its informant had it from the VM itself; `is_silent` says
    that a VM that watches this one has waited for the next sign in vain.
    """

    key: int
    incarnation: int
    counter: int
    is_serving: bool
    is_silent: bool = False
    age_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Digest:
    """Hold signs of life, news of requests that crash targets, and what the sender knows.

    The first entry is the sender's own. `revisions` holds, by kind of object, the store revision of
    the last change known. With `wants_answer`, the sender waits for a sign of life of the receiver.
    """

    sender: int
    heartbeats: tuple[HeartbeatEntry, ...]
    revisions: dict[str, int]
    crashes: tuple[CrashNews, ...] = ()
    wants_answer: bool = False

    def encode(self) -> bytes:
        """Return the datagram."""
        rows = [_row(one) for one in self.heartbeats]
        crashes = [
            [one.fingerprint, one.crashes, one.limited_to, one.lapses_in_s] for one in self.crashes
        ]
        return cbor2.dumps([self.sender, rows, self.revisions, crashes, self.wants_answer])


def decode_digest(data: bytes, peer: str) -> Digest:
    """Return the digest in a datagram, or raise MalformedDigestError."""
    try:
        sender, rows, revisions, crashes, wants_answer = cbor2.loads(data)
        heartbeats = tuple(_entry(row) for row in rows)
        known = {str(kind): int(revision) for kind, revision in revisions.items()}
        news = tuple(
            CrashNews(bytes(fingerprint), int(count), str(limited_to), float(lapses_in_s))
            for fingerprint, count, limited_to, lapses_in_s in crashes
        )
        return Digest(int(sender), heartbeats, known, news, bool(wants_answer))
    except (cbor2.CBORDecodeError, TypeError, ValueError, AttributeError) as exc:
        raise MalformedDigestError(repr(exc), step="read digest", peer=peer) from exc


def _row(one: HeartbeatEntry) -> list[int]:
    flags = _SERVING * one.is_serving + _SILENT * one.is_silent
    return [one.key, one.incarnation, one.counter, flags, round(one.age_s / _AGE_UNIT_S)]


def _entry(row: list[int]) -> HeartbeatEntry:
    key, incarnation, counter, flags, age = (int(value) for value in row)
    if age < 0:
        raise ValueError("an age below zero")
    return HeartbeatEntry(
        key, incarnation, counter, bool(flags & _SERVING), bool(flags & _SILENT), age * _AGE_UNIT_S
    )
