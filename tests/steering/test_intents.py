"""Check that the validation of an intent reports every fault."""

import pytest

from chervilmill.settings import check_settings
from chervilmill.steering import check_intent
from tests.support import free_address, raw_settings

GOOD = {"name": "i", "service": "souhrny", "shares": {"brno": 40}}
CASES = [
    ("no object", [], ["intent"]),
    ("nothing given", {}, ["name", "service"]),
    ("unknown service", {**GOOD, "service": "x"}, ["service"]),
    ("unknown place", {**GOOD, "shares": {"mars": 4}}, ["shares.mars"]),
    ("over a hundred", {**GOOD, "shares": {"brno": 60, "praha": 50}}, ["shares"]),
    ("under a hundred", {**GOOD, "shares": {"brno": 1, "praha": 1, "ostrava": 1}}, ["shares"]),
    ("domain over its region", {**GOOD, "shares": {"brno": 10, "brno-a": 20}}, ["shares"]),
    ("share is no number", {**GOOD, "shares": {"brno": "all"}}, ["shares.brno"]),
    ("share of a leaving place", {**GOOD, "leaving": ["brno"]}, ["shares.brno"]),
    ("share of a leaving half", {**GOOD, "leaving": ["brno-a", "brno-b"]}, ["shares.brno"]),
    (
        "everything leaves",
        {**GOOD, "shares": {}, "leaving": ["praha", "brno"], "lost": ["ostrava"]},
        ["leaving"],
    ),
    ("cap of nothing", {**GOOD, "cap": {"percent_of_blocks_per_min": 0}}, ["cap.percent"]),
    ("unknown member", {**GOOD, "cap": {"speed": 1}, "colour": 2}, ["cap.speed", "colour"]),
    ("priority", {**GOOD, "priority": 101}, ["priority"]),
    ("leaving is no list", {**GOOD, "leaving": "brno"}, ["leaving"]),
]


@pytest.fixture
def settings():
    return check_settings(raw_settings("entry-1", free_address()))


@pytest.mark.parametrize(("raw", "paths"), [c[1:] for c in CASES], ids=[c[0] for c in CASES])
def test_faults_are_all_reported(settings, raw: object, paths: list[str]) -> None:
    with pytest.raises(ExceptionGroup) as caught:
        check_intent(raw, settings, ())
    found = [problem.path for problem in caught.value.exceptions]
    assert all(any(item.startswith(path) for item in found) for path in paths)
    assert len(found) == len(paths)


@pytest.mark.parametrize(
    "raw",
    [
        GOOD,
        {**GOOD, "shares": {"brno": 40, "brno-a": 30, "praha": 60}},
        {**GOOD, "shares": {"brno": 40}, "leaving": ["brno-a"]},
        {"name": "i", "service": "souhrny"},
        {**GOOD, "lost": ["praha"], "priority": 1},
    ],
)
def test_right_intent_survives_its_json_form(settings, raw: dict) -> None:
    intent = check_intent(raw, settings, ())
    assert check_intent(intent.to_json(), settings, (intent,)) == intent
