"""Decode the organisations of a configuration.

Errors name the row and the column and no value, because the value may be a key of a caller.
"""

import re
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from chervilmill.documents import MALFORMED_ERRORS
from chervilmill.platform._fields import MAX_COUNT, read_count, read_number, read_text, table_rows
from chervilmill.routing import Organisation, OrganisationDirectory

MAX_ORGANISATIONS = 10_000
MAX_KEYS = 50_000  # five times what operators expect

# A value that a header can carry; white space around it would be lost on the way.
_FIELD_VALUE = re.compile(r"[^\x00-\x20\x7f](?:[^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?")


def parse_organisations(table: object) -> OrganisationDirectory | None:
    """Return the organisations in a table, or None if there is no table."""
    if table is None:
        return None
    if not isinstance(table, dict):
        raise ValueError("the table of organisations is not an object")
    return OrganisationDirectory(_parse_rows(table))


def _parse_rows(table: dict[str, Any]) -> Iterator[tuple[Organisation, list[bytes]]]:
    left = MAX_KEYS
    for number, row in enumerate(table_rows(table)):
        if number >= MAX_ORGANISATIONS:
            raise ValueError(f"more than {MAX_ORGANISATIONS} organisations")
        keys = _parse_keys(row, number)
        left -= len(keys)
        if left < 0:
            raise ValueError(f"more than {MAX_KEYS} keys of organisations")
        yield _parse_organisation(row, number), keys


def _parse_organisation(row: dict[str, Any], number: int) -> Organisation:
    def read(column: str, reader: Callable[[Any], Any], default: Any) -> Any:
        if column not in row:
            return default
        with _reading(number, column):
            return reader(row[column])

    if "name" not in row:
        raise ValueError(f"organisation in row {number} has no name")
    return Organisation(
        name=read("name", _read_field_value, ""),
        priority=read("priority", read_count, None),
        home_regions=read("home-regions", _read_regions, frozenset()),
        rate_per_s=read("rate-per-s", _read_limit, 0.0),
        burst=read("burst", _read_limit, 0.0),
    )


def _parse_keys(row: dict[str, Any], number: int) -> list[bytes]:
    with _reading(number, "api-keys"):
        return [_read_field_value(key).encode() for key in _read_list(row.get("api-keys", []))]


def _read_field_value(value: object) -> str:
    text = read_text(value)
    if not _FIELD_VALUE.fullmatch(text):
        raise ValueError("not a header value")
    return text


def _read_regions(value: object) -> frozenset[str]:
    return frozenset(read_text(region) for region in _read_list(value))


def _read_limit(value: object) -> float:
    return read_number(value, 0.0, float(MAX_COUNT))


def _read_list(value: object) -> list[Any]:
    if not isinstance(value, list):
        raise ValueError("not a list")
    return value


@contextmanager
def _reading(number: int, column: str) -> Iterator[None]:
    """Raise ValueError without the value, also where the error of the field quotes it."""
    try:
        yield
    except MALFORMED_ERRORS:
        raise ValueError(f"organisation in row {number}: {column} cannot be read") from None
