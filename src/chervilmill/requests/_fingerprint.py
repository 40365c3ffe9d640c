"""Identify a request by what it asks for and by who sends it.

A fingerprint has two halves. The first identifies the content: what is asked for, whoever asks. The
second identifies the caller. The fingerprint of a content alone has an empty second half.
"""

import xxhash

_HALF_BYTES = 8
_CALLER_TAG_BYTES = 4
_NO_CALLER = bytes(_HALF_BYTES)


def request_fingerprint(scope: str, method: str, path: str, body: str, caller: str) -> bytes:
    """Return the fingerprint by which resends of the same request are recognised.

    `scope` is the host or the service for which the path is meant. `body` is what is known of the
    body when the request is placed: its length, or its digest.
    """
    content = xxhash.xxh3_64_digest(f"{scope}\n{method}\n{path}\n{body}".encode())
    return content + xxhash.xxh3_64_digest(content + caller.encode())


def content_of(fingerprint: bytes) -> bytes:
    """Return the fingerprint of the content that a request shares with those of other callers."""
    return fingerprint[:_HALF_BYTES].ljust(_HALF_BYTES, b"\0") + _NO_CALLER


def is_content(fingerprint: bytes) -> bool:
    """Return whether a fingerprint identifies a content without a caller."""
    return fingerprint[_HALF_BYTES:] == _NO_CALLER


def caller_tag(fingerprint: bytes) -> bytes:
    """Return a short tag that tells callers of one content apart."""
    return fingerprint[_HALF_BYTES : _HALF_BYTES + _CALLER_TAG_BYTES]


def levels_of(fingerprint: bytes) -> tuple[bytes, ...]:
    """Return the content of a request and the request, or only the content if it is one."""
    content = content_of(fingerprint)
    return (content,) if content == fingerprint else (content, fingerprint)
