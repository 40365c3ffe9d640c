"""Decode JSON documents of which single parts may be malformed.

An answer of the store holds entries of many writers. A part that one writer made unreadable, such
as a number of thousands of digits or lists nested without end, must not cost the whole document,
so such a part is replaced by a value that no field accepts.
"""

import json
import math
import re
from collections.abc import Iterable
from typing import Any

MAX_NESTING_DEPTH = 32  # entries have fewer than ten levels
MAX_INTEGER_DIGITS = 19  # of a 64-bit integer

# What reading the fields of a document raises for values of other types or beyond all bounds.
MALFORMED_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)

_REPLACEMENT_CHARACTER = "\ufffd"  # in place of bytes that are not UTF-8
_STRUCTURE = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
_OPENING = "[{"


def decode_document(data: bytes) -> Any:
    """Return the value of a JSON document, or raise ValueError if its syntax is wrong.

    Invalid UTF-8 becomes replacement characters, an integer of more than 64 bits becomes infinity,
    and what is nested deeper than MAX_NESTING_DEPTH becomes null.
    """
    text = data.decode("utf-8", errors="replace")
    try:
        return _decode(text)
    except RecursionError:
        return _decode(_prune_nesting(text))


def is_readable(text: str) -> bool:
    """Return whether a decoded text has neither control characters nor replaced bytes."""
    return text.isprintable() and _REPLACEMENT_CHARACTER not in text


def is_nested_within(value: Any, depth: int) -> bool:
    """Return whether at most `depth` lists or objects stand in each other in a decoded value."""
    level = [value]
    for _ in range(depth):
        level = [child for parent in level for child in _children(parent)]
    return not any(isinstance(item, list | dict) for item in level)


def _children(value: Any) -> Iterable[Any]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()


def _decode(text: str) -> Any:
    return json.loads(text, parse_int=_parse_integer, strict=False)


def _parse_integer(digits: str) -> int | float:
    if len(digits.removeprefix("-")) > MAX_INTEGER_DIGITS:
        return -math.inf if digits.startswith("-") else math.inf
    return int(digits)


def _prune_nesting(text: str) -> str:
    """Replace each list or object below MAX_NESTING_DEPTH by null, or raise ValueError."""
    kept: list[str] = []
    depth = 0
    kept_until = 0
    for match in _STRUCTURE.finditer(text):
        token = match.group()
        if token in _OPENING:
            depth += 1
            if depth == MAX_NESTING_DEPTH + 1:
                kept.append(text[kept_until : match.start()])
        elif token[0] != '"':
            if depth == MAX_NESTING_DEPTH + 1:
                kept.append("null")
                kept_until = match.end()
            depth -= 1
    if depth > MAX_NESTING_DEPTH:
        raise ValueError(f"the document ends {depth} levels deep")
    kept.append(text[kept_until:])
    return "".join(kept)
