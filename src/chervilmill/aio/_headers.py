"""Hold, search and filter headers, whose names h11 returns in lower case."""

from collections.abc import Collection, Iterable, Iterator

Headers = list[tuple[bytes, bytes]]
HeaderItems = Collection[tuple[bytes, bytes]]
# A list takes 20 to 30 times the bytes of short headers, so longer ones are held as one text.
MAX_LISTED_HEADERS = 64
# What one header of a list takes beside its bytes: a tuple and two objects.
LISTED_HEADER_BYTES = 160

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


class PackedHeaders(HeaderItems):
    """Headers held as one text, which is taken apart anew by each iteration.

    Neither names nor values contain line ends, and names contain no colon (RFC 9112, section 5).
    """

    __slots__ = ("_count", "_text")

    def __init__(self, headers: Headers) -> None:
        self._count = len(headers)
        self._text = b"\n".join(b"%b:%b" % item for item in headers)

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        for line in self._text.split(b"\n") if self._count else ():
            name, _, value = line.partition(b":")
            yield name, value

    def __len__(self) -> int:
        return self._count

    def __contains__(self, item: object) -> bool:
        return any(own == item for own in self)

    @property
    def held_bytes(self) -> int:
        """Return how many bytes the text has."""
        return len(self._text)


def hold_headers(headers: Headers) -> HeaderItems:
    """Return headers in the form in which they are held while a request is in progress."""
    return PackedHeaders(headers) if len(headers) > MAX_LISTED_HEADERS else headers


def count_held_bytes(headers: HeaderItems) -> int:
    """Return about how much memory headers take."""
    if isinstance(headers, PackedHeaders):
        return headers.held_bytes
    return sum(len(key) + len(value) + LISTED_HEADER_BYTES for key, value in headers)
