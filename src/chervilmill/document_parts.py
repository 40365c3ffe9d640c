"""Decode only those parts of a JSON document that are read.

A document with entries of many writers may have megabytes that nobody reads. Such parts are skipped
without being built. What a writer made unreadable costs its part only, as in `documents`: what the
strict decoder refuses is replaced first.
"""

import itertools
import re
from typing import Any, TypeVar

import msgspec

from chervilmill.documents import MAX_NESTING_DEPTH, decode_document

T = TypeVar("T")

# The decoder recurses for each level, up to the recursion limit of the interpreter, which is 1,000.
_SAFE_DEPTH = 512

_UNREADABLE = b"\x7f"  # as a character of a string; elsewhere it is a syntax error
_LINE_BREAKS = b"\t\n\r"  # white space, but refused within strings
_CONTROLS = bytes(code for code in range(32) if code not in _LINE_BREAKS)
_REPLACE_CONTROLS = bytes.maketrans(_CONTROLS, _UNREADABLE * len(_CONTROLS))
_REPLACE_LINE_BREAKS = bytes.maketrans(_LINE_BREAKS, _UNREADABLE * len(_LINE_BREAKS))
_MINUS_ONE = 255  # as a signed byte
_STEPS = bytes(1 if code in b"[{" else _MINUS_ONE if code in b"]}" else 0 for code in range(256))
_BLOCK_BYTES = 256
_SPLIT_BYTES = 64 * 1024
MAX_REPAIRED_BYTES = 4 * 1024 * 1024
# Escapes that would hide the end of a string, and what stands for them meanwhile.
_BACKSLASH, _HIDDEN_BACKSLASH = b"\\\\", b"\x01\x01"
_QUOTE, _HIDDEN_QUOTE = b'\\"', b"\x02\x02"
_LONE_SURROGATE = re.compile(
    rb"\\u[dD](?:"
    rb"[89abAB][0-9a-fA-F]{2}(?!\\u[dD][c-fC-F][0-9a-fA-F]{2})"
    rb"|(?<!\\u[dD][89abAB][0-9a-fA-F]{2}\\u[dD])[c-fC-F][0-9a-fA-F]{2})"
)
_REPLACEMENT = rb"\ufffd"
_CONSTANTS = (b"-Infinity", b"Infinity", b"NaN")


class DocumentTooLongError(ValueError):
    """Raised for a document with unreadable parts that is too long for these to be replaced."""


def decode_parts(data: bytes | msgspec.Raw, decoder: msgspec.json.Decoder[T]) -> T:
    """Return what a decoder reads of a document, or raise ValueError.

    That is DocumentTooLongError if unreadable parts are amid more than MAX_REPAIRED_BYTES. Of
    parts that are `msgspec.Raw`, only the syntax is checked. They refer to the whole document.
    """
    try:
        return _decode(data, decoder)
    except (_SyntaxError, RecursionError):
        return _decode(_replace_unreadable(bytes(data)), decoder)


def decode_part(raw: msgspec.Raw, max_bytes: int) -> Any:
    """Return the value of a part, or None if it is longer than it may be."""
    return decode_document(bytes(raw)) if 0 < len(raw) <= max_bytes else None


class _SyntaxError(ValueError):
    """Raised for a document that is not JSON, strictly."""


def _decode(data: bytes | msgspec.Raw, decoder: msgspec.json.Decoder[T]) -> T:
    try:
        return decoder.decode(data)
    except msgspec.ValidationError as exc:
        raise ValueError(str(exc)) from exc
    except msgspec.DecodeError as exc:
        raise _SyntaxError(str(exc)) from exc


def _replace_unreadable(data: bytes) -> bytes:
    """Replace what the decoder refuses in parts, or raise ValueError if that is not possible.

    Control characters and lone surrogates become characters that `documents.is_readable` refuses,
    constants that are no JSON become empty lists, and what is nested too deeply becomes null.
    """
    if len(data) > MAX_REPAIRED_BYTES:
        message = f"more than {MAX_REPAIRED_BYTES} bytes, with parts that cannot be read"
        raise DocumentTooLongError(message)
    data = data.translate(_REPLACE_CONTROLS)
    data = data.replace(_BACKSLASH, _HIDDEN_BACKSLASH).replace(_QUOTE, _HIDDEN_QUOTE)
    data, structure = _separate_texts(_replace_lone_surrogates(data))
    data = _prune_nesting(data, structure)
    return data.replace(_HIDDEN_BACKSLASH, _BACKSLASH).replace(_HIDDEN_QUOTE, _QUOTE)


def _replace_lone_surrogates(data: bytes) -> bytes:
    found = _LONE_SURROGATE.finditer(data)
    first = next(found, None)
    if first is None:
        return data
    replaced = bytearray(data)
    for match in itertools.chain([first], found):
        replaced[match.start() : match.end()] = _REPLACEMENT
    return bytes(replaced)


def _separate_texts(data: bytes) -> tuple[bytes, bytes]:
    """Replace line breaks within strings and constants outside; return also a copy without texts.

    All has the same length as before. Blocks are split one by one, as they may have many strings.
    """
    blocks: list[bytes] = []
    structures: list[bytes] = []
    is_text = False
    begin = 0
    while begin < len(data):
        end = data.find(b'"', begin + _SPLIT_BYTES)
        pieces = data[begin : end if end >= 0 else len(data)].split(b'"')
        begin = end if end >= 0 else len(data)
        first = int(is_text)
        outside = _replace_constants(pieces[first::2])
        pieces[first::2] = outside
        pieces[1 - first :: 2] = [
            piece.translate(_REPLACE_LINE_BREAKS) for piece in pieces[1 - first :: 2]
        ]
        blocks.append(b'"'.join(pieces))
        pieces[1 - first :: 2] = [b" " * len(piece) for piece in pieces[1 - first :: 2]]
        structures.append(b'"'.join(pieces))
        is_text ^= len(pieces) % 2 == 0
    if is_text:
        raise ValueError("a string has no end")
    return b"".join(blocks), b"".join(structures)


def _replace_constants(pieces: list[bytes]) -> list[bytes]:
    joined = b'"'.join(pieces)
    for constant in _CONSTANTS:
        joined = joined.replace(constant, b"[]".ljust(len(constant)))
    return joined.split(b'"') if pieces else pieces


def _prune_nesting(data: bytes, structure: bytes) -> bytes:
    """Replace lists and objects below MAX_NESTING_DEPTH by null.

    Only those that reach _SAFE_DEPTH are, as there may be hundreds of thousands of the others.
    """
    kept: list[bytes] = []
    done = 0
    for begin, end in _find_deep_values(structure):
        kept.append(data[done:begin])
        done = end
    return b"null".join([*kept, data[done:]])


def _find_deep_values(structure: bytes) -> list[tuple[int, int]]:
    """Return where each value below MAX_NESTING_DEPTH that reaches _SAFE_DEPTH begins and ends.

    The depth at each byte is only determined in blocks that may have a begin or an end.
    """
    steps = structure.translate(_STEPS)
    found: list[tuple[int, int]] = []
    begin: int | None = None
    depth = 0
    for at in range(0, len(steps), _BLOCK_BYTES):
        block = steps[at : at + _BLOCK_BYTES]
        opened, closed = block.count(1), block.count(_MINUS_ONE)
        index = 0
        depths = None
        if depth + opened >= _SAFE_DEPTH if begin is None else depth - closed <= MAX_NESTING_DEPTH:
            depths = _depths_in(block, depth)
        while depths is not None:
            wanted = _SAFE_DEPTH if begin is None else MAX_NESTING_DEPTH
            if wanted not in depths[index:]:
                break
            index = depths.index(wanted, index)
            if begin is None:
                begin = _find_begin(steps, at + index)
            else:
                found.append((begin, at + index))
                begin = None
        depth += opened - closed
    if begin is not None:
        raise ValueError(f"the document ends {depth} levels deep")
    return found


def _find_begin(steps: bytes, position: int) -> int:
    """Return where the value below MAX_NESTING_DEPTH begins that reaches _SAFE_DEPTH there."""
    depth = _SAFE_DEPTH
    while True:
        at = max(0, position - _BLOCK_BYTES)
        block = steps[at:position]
        before = depth - block.count(1) + block.count(_MINUS_ONE)
        if depth - block.count(1) <= MAX_NESTING_DEPTH:
            depths = _depths_in(block, before)
            if MAX_NESTING_DEPTH in depths:
                return position - depths[::-1].index(MAX_NESTING_DEPTH)
        position, depth = at, before


def _depths_in(block: bytes, depth: int) -> list[int]:
    """Return the depth before each byte of a block, and after the last one."""
    return list(itertools.accumulate(memoryview(block).cast("b"), initial=depth))
