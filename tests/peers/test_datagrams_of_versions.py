"""Read the datagrams of other versions: earlier ones as they wrote them, and later ones.

`datagrams_by_version.json` holds one datagram of each kind in hex, as written by a commit.
"""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import cbor2
import pytest

from chervilmill.overload import LimitReport
from chervilmill.peers import (
    Digest,
    HeartbeatEntry,
    decode_leaving,
    decode_limits,
    decode_reports,
)
from chervilmill.peers._digest import decode_digest
from chervilmill.requests import CrashReport, Lifetime, ReportedLoss

BY_VERSION: dict[str, dict[str, str]] = json.loads(
    (Path(__file__).parent / "data" / "datagrams_by_version.json").read_text()
)
FIRST_VERSION_THAT_ANNOUNCES_CUTS = "1559793"
DECODERS: dict[str, Callable[[bytes, str], object]] = {
    "digest": decode_digest,
    "crash reports": decode_reports,
    "leaving targets": decode_leaving,
    "limits": decode_limits,
}
AGE_UNIT_S = 0.1
T1, T2 = Lifetime("t1", 4), Lifetime("t2", 1)
CRASH_LOSSES = (
    ReportedLoss(T1, 0.5, True, False, frozenset({b"abcd", b"efgh"})),
    ReportedLoss(T2, 12 * AGE_UNIT_S, False, True),
)
REPORTS: dict[str, object] = {
    "crash reports": (
        CrashReport(bytes(range(16)), CRASH_LOSSES, "t3", 3 * AGE_UNIT_S),
        CrashReport(b"z" * 16, ()),
    ),
    "leaving targets": (T1, T2),
    "limits": (LimitReport(T1, 2.5, 7 * AGE_UNIT_S), LimitReport(T2, None, 0.0)),
}
ADDED = {"added": [1, "by a later version"]}


def _expected(version: str, kind: str) -> object:
    if kind != "digest":
        return REPORTS[kind]
    heartbeats = (
        HeartbeatEntry(7, 2, 41, True),
        HeartbeatEntry(9, 1, 300, False, is_suspected=True, age_s=1.5),
        HeartbeatEntry(
            11, 3, 5, True, is_cut_off=version == FIRST_VERSION_THAT_ANNOUNCES_CUTS, age_s=0.2
        ),
    )
    return Digest(7, heartbeats, {"servers": 12, "config": 3}, wants_reply=True)


def _lists_in(value: Any) -> list[list[Any]]:
    """Return a decoded message and all lists in it."""
    if not isinstance(value, list):
        return []
    return [value, *(inner for item in value for inner in _lists_in(item))]


@pytest.mark.parametrize("kind", DECODERS)
@pytest.mark.parametrize("version", BY_VERSION)
def test_datagram_of_an_earlier_version_is_not_understood(version: str, kind: str) -> None:
    decoded = DECODERS[kind](bytes.fromhex(BY_VERSION[version][kind]), "x")
    assert decoded == _expected(version, kind)


@pytest.mark.parametrize("kind", DECODERS)
def test_field_that_a_later_version_adds_makes_a_datagram_unreadable(kind: str) -> None:
    """A field may be added to the message and to each row in it."""
    data = bytes.fromhex(BY_VERSION[FIRST_VERSION_THAT_ANNOUNCES_CUTS][kind])
    message = cbor2.loads(data)
    for fields in _lists_in(message):
        if fields and not isinstance(fields[0], list):  # not a table of rows
            fields.append(ADDED)
    assert DECODERS[kind](cbor2.dumps(message), "x") == DECODERS[kind](data, "x")
