"""Read single fields of decoded objects; a value beyond the stated bounds raises ValueError."""

import re
from collections.abc import Iterator
from typing import Any

from chervilmill.documents import is_readable

MAX_TEXT_CHARACTERS = 1024
MAX_COUNT = 2**31 - 1
MAX_INTEGER = 2**63 - 1
MAX_SECONDS = 1e7  # about four months

_TOKEN = re.compile(r"[!-~]+")  # can be sent in a header


def read_text(value: object) -> str:
    """Return a non-empty string that was read in full and can be encoded."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_CHARACTERS:
        raise ValueError(f"{_shorten(value)} is not a non-empty string of usual length")
    if not is_readable(value):
        raise ValueError(f"{_shorten(value)} has characters that cannot be read")
    value.encode()  # UnicodeEncodeError is a ValueError
    return value


def read_token(value: object) -> str:
    """Return a string of visible ASCII characters."""
    text = read_text(value)
    if not _TOKEN.fullmatch(text):
        raise ValueError(f"{_shorten(text)} has other characters than visible ASCII ones")
    return text


def read_integer(value: object, lowest: int, highest: int) -> int:
    """Return an integer from `lowest` to `highest`."""
    if not isinstance(value, int) or isinstance(value, bool) or not lowest <= value <= highest:
        raise ValueError(f"{_shorten(value)} is not an integer from {lowest} to {highest}")
    return value


def read_count(value: object, lowest: int = 0) -> int:
    """Return a whole number from `lowest` to MAX_COUNT, which may be written with a fraction."""
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    return read_integer(value, lowest, MAX_COUNT)


def read_number(value: object, lowest: float, highest: float) -> float:
    """Return a finite number from `lowest` to `highest`."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not lowest <= value <= highest:  # type: ignore[operator]
        raise ValueError(f"{_shorten(value)} is not a number from {lowest:g} to {highest:g}")
    return float(value)  # type: ignore[arg-type]


def read_flag(value: object) -> bool:
    """Return a boolean; no other value counts as one."""
    if not isinstance(value, bool):
        raise ValueError(f"{_shorten(value)} is neither true nor false")
    return value


def table_rows(table: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Yield the rows of a table as dictionaries; a null value counts as missing."""
    columns = table["columns"]
    for row in table["rows"]:
        yield {key: value for key, value in zip(columns, row, strict=True) if value is not None}


def _shorten(value: object) -> str:
    if isinstance(value, int) and not isinstance(value, bool) and abs(value) > MAX_INTEGER:
        return "an integer of more than 64 bits"  # str() refuses thousands of digits
    if isinstance(value, str):
        return ascii(value[:64])
    return repr(value)[:64] if not isinstance(value, list | dict) else type(value).__name__
