"""Hold headers in the form that takes the least memory."""

import tracemalloc

from hypothesis import given
from hypothesis import strategies as st

from chervilmill.aio import Headers, header_value, hold_headers
from chervilmill.aio._headers import MAX_LISTED_HEADERS, PackedHeaders, count_held_bytes

NAMES = st.from_regex(rb"[a-z0-9!#$%&'*+.^_`|~-]+", fullmatch=True)
VALUES = st.binary().filter(lambda value: not set(value) & set(b"\n\r\0"))
SHORT: Headers = [(b"%c" % (97 + number % 26), b"%d" % (number % 10)) for number in range(3000)]


@given(st.lists(st.tuples(NAMES, VALUES), max_size=20))
def test_packed_headers_differ_from_the_list(headers: Headers) -> None:
    packed = PackedHeaders(headers)
    assert list(packed) == list(packed) == headers
    assert len(packed) == len(headers)
    assert all(item in packed for item in headers)
    assert (b"", b"") not in packed
    for name, _ in headers:
        assert header_value(packed, name) == header_value(headers, name)


def test_few_headers_are_packed() -> None:
    few = SHORT[:MAX_LISTED_HEADERS]
    assert hold_headers(few) is few


# Headers were held as a list, and not counted.
def test_held_headers_take_more_memory_than_is_counted() -> None:
    for headers in (SHORT, SHORT[:MAX_LISTED_HEADERS], [(b"note", b"v" * 16_000)]):
        tracemalloc.start()
        try:
            held = [
                hold_headers([(b"%b" % key, b"x%b" % value) for key, value in headers])
                for _ in range(50)
            ]
            taken = tracemalloc.get_traced_memory()[0] / len(held)
        finally:
            tracemalloc.stop()
        assert taken <= 1.3 * count_held_bytes(held[0]) + 256
