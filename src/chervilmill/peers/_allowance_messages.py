"""Encode and decode the datagrams in which an entry VM asks an owner for tokens of an allowance.

They are sent to one VM and not passed on. Receivers are of protocol version 6 or later, as earlier
ones log these datagrams as dropped.
"""

import cbor2

from chervilmill.overload import ORGANISATION_KEY_BYTES, AllowanceAsk, AllowanceGrant
from chervilmill.peers._datagrams import reading

MAX_TOKENS = 1_000
MAX_RETRY_MS = 60_000
_KIND = "allowance"  # digests begin with a number
_ASK, _GRANT = 0, 1
_MAX_NUMBER = 1 << 16


def encode_allowance(message: AllowanceAsk | AllowanceGrant) -> bytes:
    """Return the datagram that carries a message."""
    key = message.organisation.to_bytes(ORGANISATION_KEY_BYTES)
    row = [key, message.number, message.tokens]
    if isinstance(message, AllowanceAsk):
        return cbor2.dumps([_KIND, _ASK, row])
    return cbor2.dumps([_KIND, _GRANT, [*row, round(message.retry_after_s * 1000)]])


def decode_allowance(data: bytes, peer: str) -> AllowanceAsk | AllowanceGrant | None:
    """Return the message in a datagram, or None if the datagram is of another kind.

    Raise MalformedDigestError if the message cannot be read.
    """
    with reading("read allowance", peer):
        content = cbor2.loads(data)
        if not isinstance(content, list) or content[:1] != [_KIND]:
            return None
        _, form, row = content[:3]
        key = _read_key(row[0])
        number, tokens = (_whole(value) for value in row[1:3])
        _check(number, _MAX_NUMBER)
        _check(tokens, MAX_TOKENS)
        if form == _ASK:
            return AllowanceAsk(key, number, tokens)
        if form != _GRANT:
            raise ValueError(f"expected an ask or a grant, found form {form!r}")
        retry_ms = _whole(row[3])
        _check(retry_ms, MAX_RETRY_MS)
        return AllowanceGrant(key, number, tokens, retry_ms / 1000)


def _read_key(value: object) -> int:
    if not isinstance(value, bytes) or len(value) != ORGANISATION_KEY_BYTES:
        raise ValueError(f"expected {ORGANISATION_KEY_BYTES} bytes, found {value!r:.40}")
    return int.from_bytes(value)


def _whole(value: object) -> int:
    if type(value) is not int:
        raise ValueError(f"expected a whole number, found {value!r:.40}")
    return value


def _check(value: int, most: int) -> None:
    if not 0 <= value <= most:
        raise ValueError(f"expected a number from 0 to {most}, found {value}")
