"""Test decoding of the organisations in a configuration, and refusal of malformed tables."""

import json
import secrets
import tracemalloc
from typing import Any

import pytest

from chervilmill.platform import InvalidObjectError, StoredObject, read_configuration
from chervilmill.routing import Configuration, Organisation
from soak.site import configuration
from tests.support import stored_object

COLUMNS = ["name", "api-keys", "priority", "rate-per-s", "burst", "home-regions"]
SECRET = "secret-of-a-caller"
MEMORY_BOUND_BYTES = 5_000_000


def _stored(table: object, **others: object) -> StoredObject:
    return stored_object("main", 3, configuration(1) | {"tenants": table} | others)


def _read(columns: list[str], *rows: list[object]) -> Configuration:
    return read_configuration(_stored({"columns": columns, "rows": list(rows)}))


def _error(table: object) -> str:
    """Return all texts of the error for a table."""
    with pytest.raises(InvalidObjectError) as caught:
        read_configuration(_stored(table))
    return f"{caught.value} {caught.value!r} {caught.value.__cause__!r}"


def test_organisation_is_read_with_other_values() -> None:
    cfg = _read(COLUMNS, ["one", [SECRET, SECRET], 2, 10, 2.5, ["north"]])
    assert cfg.organisations is not None
    one = Organisation("one", 2, frozenset({"north"}), 10.0, 2.5)
    assert cfg.organisations.find(SECRET.encode()) == one
    assert SECRET not in repr(cfg)
    assert SECRET not in repr(_stored({"columns": COLUMNS, "rows": [["one", [SECRET]]]}))


@pytest.mark.parametrize(
    ("columns", "row"),
    [
        (["name"], ["one"]),
        (COLUMNS, ["one", None, None, None, None, None]),
        ([*COLUMNS, "added-later"], ["one", [], None, 0, None, [], {"x": [1]}]),
    ],
)
def test_missing_column_or_null_makes_a_configuration_invalid(
    columns: list[str], row: list[object]
) -> None:
    cfg = _read(columns, row)
    assert cfg.organisations is not None
    assert cfg.organisations.by_name == {"one": Organisation("one")}


def test_table_without_rows_turns_keys_off() -> None:
    assert _read(COLUMNS).organisations is not None
    assert read_configuration(stored_object("main", 3, configuration(1))).organisations is None
    assert read_configuration(_stored(None)).organisations is None


@pytest.mark.parametrize(
    "rows",
    [
        [["one", []], ["one", []]],
        [["one", [SECRET]], ["two", [SECRET]]],
        [[None, [SECRET]]],
        [["", [SECRET]]],
        [[SECRET, [], SECRET]],
        [["one", SECRET]],
        [["one", {SECRET: 1}]],
        [["one", [[SECRET]]]],
        [["one", [7]]],
        [["one", [""]]],
        [["one", [SECRET + "\n"]]],
        [["one", [SECRET + " "]]],
        [["one", [SECRET * 100]]],
        [["one\r\nx: y", []]],
        [["one", [], SECRET]],
        [["one", [], -1]],
        [["one", [], True]],
        [["one", [], 1, SECRET]],
        [["one", [], 1, -1.0]],
        [["one", [], 1, 1, float("inf")]],
        [["one", [], 1, 1, 1, SECRET]],
        [["one", [], 1, 1, 1, [7]]],
        [SECRET],
    ],
)
def test_malformed_table_is_accepted_or_its_error_shows_a_key(rows: list[Any]) -> None:
    padded = [row + [None] * (6 - len(row)) if isinstance(row, list) else row for row in rows]
    text = _error({"columns": COLUMNS, "rows": padded})
    assert SECRET not in text or rows[0][0] == SECRET


@pytest.mark.parametrize("table", [[], "x", 3, {}, {"columns": COLUMNS}, {"rows": []}])
def test_value_that_is_no_table_turns_keys_off(table: object) -> None:
    assert _error(table)


@pytest.mark.parametrize("public", ["false", 1, 0, [], "true"])
def test_route_is_public_though_its_flag_is_no_boolean(public: object) -> None:
    routes = configuration(1)["routes"]
    assert isinstance(routes, dict)
    columns = [*routes["columns"], "public"]
    for value, is_public in ((True, True), (False, False), (None, False)):
        rows = [[*row, value] for row in routes["rows"]]
        table = {"columns": columns, "rows": rows}
        assert read_configuration(_stored(None, routes=table)).routes[0].is_public is is_public
    table = {"columns": columns, "rows": [[*row, public] for row in routes["rows"]]}
    with pytest.raises(InvalidObjectError):
        read_configuration(_stored(None, routes=table))


def test_keys_are_without_bound() -> None:
    keys = [f"{number}" for number in range(50_001)]
    assert "more than 50000 keys" in _error(
        {"columns": ["name", "api-keys"], "rows": [["a", keys]]}
    )
    rows = [[f"{number}"] for number in range(10_001)]
    assert "more than 10000 organisations" in _error({"columns": ["name"], "rows": rows})


def test_10_000_keys_take_more_than_5_mb() -> None:
    """Both the decoded object, which the copy of the store keeps, and the directory count."""
    rows = [[f"o-{n}", [secrets.token_urlsafe(24) for _ in range(10)]] for n in range(1000)]
    text = json.dumps({"columns": ["name", "api-keys"], "rows": rows})
    tracemalloc.start()
    try:
        stored = _stored(json.loads(text))
        cfg = read_configuration(stored)
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert cfg.organisations is not None
    assert cfg.organisations.find(rows[-1][1][-1].encode()) is not None
    assert held <= MEMORY_BOUND_BYTES
