"""Search and filter lists of headers, whose names h11 returns in lower case."""

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
    """Return the first value of a header, or None if the header is missing."""
    return next((value for key, value in headers if key == name), None)


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers without hop-by-hop headers (RFC 9110, section 7.6.1)."""
    all_headers = list(headers)
    connection_options = {
        token.strip().lower()
        for key, value in all_headers
        if key == b"connection"
        for token in value.split(b",")
    }
    dropped = _HOP_BY_HOP | connection_options - {b"content-length", b"host"}
    return [(key, value) for key, value in all_headers if key not in dropped]
