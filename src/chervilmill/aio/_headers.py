"""Handle header lists; names are in lower case, as h11 gives them."""

from collections.abc import Iterable

Headers = list[tuple[bytes, bytes]]

_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)


def header_value(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a header, or None."""
    return next((value for key, value in headers if key == name), None)


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers that are not of one connection only (RFC 9110, section 7.6.1)."""
    listed = list(headers)
    named = {
        token.strip().lower()
        for key, value in listed
        if key == b"connection"
        for token in value.split(b",")
    }
    dropped = _HOP_BY_HOP | named - {b"content-length", b"host"}
    return [(key, value) for key, value in listed if key not in dropped]
