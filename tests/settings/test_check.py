"""Test that valid settings are accepted and that every mistake in others is reported."""

from pathlib import Path

import json5
import pytest

from chervilmill.settings import check_settings, load_settings
from tests.support import ROOT

BAD_SETTINGS = json5.loads(Path(__file__).with_name("bad_settings.jsonc").read_text())


def example() -> dict:
    return json5.loads((ROOT / "examples" / "souhrny.jsonc").read_text())


def change(raw: dict, path: str, value: object) -> None:
    *parents, last = (int(key) if key.isdecimal() else key for key in path.split("."))
    for key in parents:
        raw = raw[key]
    if value == "DELETED":
        del raw[last]
    else:
        raw[last] = value


def normalised_problem(problem: Exception) -> str:
    head, is_unknown, _ = str(problem).partition("found an unknown key, allowed is one of ")
    return f"{head}found an unknown key, allowed is KNOWN" if is_unknown else str(problem)


@pytest.mark.parametrize("name", ["souhrny", "swanbourne"])
def test_example_is_valid(name: str) -> None:
    settings = load_settings(ROOT / "examples" / f"{name}.jsonc")
    assert len(settings.regions) == 3


@pytest.mark.parametrize("case", BAD_SETTINGS, ids=lambda case: " ".join(case["change"]))
def test_every_mistake_is_reported(case: dict) -> None:
    raw = example()
    for path, value in case["change"].items():
        change(raw, path, value)
    with pytest.raises(ExceptionGroup) as caught:
        check_settings(raw)
    assert [normalised_problem(item) for item in caught.value.exceptions] == case["problems"]


@pytest.mark.parametrize(
    "text",
    ["", "{", "[]", "{a: 1, a: 2}", "\ufffe", "[" * 100_000, '{"node": NaN}'],
    ids=["empty", "open", "list", "duplicate key", "no text", "deep", "no objects"],
)
def test_file_without_settings_is_rejected(text: str, tmp_path) -> None:
    file = tmp_path / "settings.jsonc"
    file.write_bytes(text.encode())
    with pytest.raises(ExceptionGroup):
        load_settings(file)


def test_oversized_file_is_rejected(tmp_path) -> None:
    file = tmp_path / "settings.jsonc"
    file.write_text(" " * (1024**2 + 1))
    with pytest.raises(ExceptionGroup, match="unreadable"):
        load_settings(file)


def test_secrets_are_never_printed() -> None:
    raw = example()
    raw["operators_token"] = ["short-secret"]
    with pytest.raises(ExceptionGroup) as caught:
        check_settings(raw)
    assert "short-secret" not in str(caught.value.exceptions[0])
    valid = check_settings(example())
    assert valid.operators_token not in repr(valid)
    assert valid.nodes_key not in repr(valid)
