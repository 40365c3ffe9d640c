"""Test where the body of an answer ends, by its headers."""

import pytest

from chervilmill.framing import BodyCount, Framing, FramingError, read_framing

CHUNKED = (b"transfer-encoding", b"chunked")
LENGTH = (b"content-length", b"12")


@pytest.mark.parametrize(
    ("method", "status", "headers", "framing"),
    [
        (b"GET", 200, [LENGTH], Framing(True, False, 12)),
        (b"GET", 200, [LENGTH, LENGTH], Framing(True, False, 12)),
        (b"GET", 200, [CHUNKED], Framing(True, True, None)),
        (b"GET", 200, [(b"Transfer-Encoding ", b" Chunked ")], Framing(True, True, None)),
        (b"GET", 200, [CHUNKED, LENGTH], Framing(True, True, 12)),
        (b"GET", 200, [], Framing(True, False, None)),
        (b"HEAD", 200, [LENGTH], Framing(False, False, 12)),
        (b"GET", 304, [LENGTH], Framing(False, False, 12)),
        (b"GET", 204, [], Framing(False, False, None)),
    ],
)
def test_framing_is_read(
    method: bytes, status: int, headers: list[tuple[bytes, bytes]], framing: Framing
) -> None:
    assert read_framing(method, status, headers) == framing


@pytest.mark.parametrize(
    "headers",
    [
        [LENGTH, (b"content-length", b"13")],
        [(b"content-length", b"12, 12")],
        [(b"content-length", b"+12")],
        [(b"content-length", b"-1")],
        [(b"content-length", b"1_2")],
        [(b"content-length", b"0x0c")],
        [(b"content-length", b"")],
        [(b"content-length", b"1" * 20)],
        [(b"transfer-encoding", b"identity")],
        [(b"transfer-encoding", b"gzip, chunked")],
        [(b"transfer-encoding", b"")],
        [CHUNKED, CHUNKED],
    ],
)
def test_invalid_framing_is_an_error(headers: list[tuple[bytes, bytes]]) -> None:
    with pytest.raises(FramingError):
        read_framing(b"GET", 200, headers)


# A length beside chunks was passed on, and callers framed the answer by it.
def test_length_is_forwarded_only_if_it_frames_the_body() -> None:
    other = (b"x-other", b"1")
    both = [CHUNKED, other, LENGTH]
    assert read_framing(b"GET", 200, both).forwarded_headers(both) == [other]
    twice = [LENGTH, other, LENGTH]
    assert read_framing(b"GET", 200, twice).forwarded_headers(twice) == [other, LENGTH]


@pytest.mark.parametrize(
    ("sizes", "is_whole"),
    [([12], True), ([5, 7], True), ([], False), ([11], False), ([5, 8], False), ([13], False)],
)
def test_chunks_are_compared_with_the_length_beside_them(sizes: list[int], is_whole: bool) -> None:
    def read_body() -> None:
        count = BodyCount(Framing(has_body=True, is_chunked=True, length=12))
        for size in sizes:
            count.add(size)
        count.end()

    if is_whole:
        read_body()
        return
    with pytest.raises(FramingError):
        read_body()
