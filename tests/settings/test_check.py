"""Check that settings are accepted whole or refused with every mistake."""

import json5
import pytest

from chervilmill.settings import check_settings, load_settings
from tests.support import ROOT


def example() -> dict:
    return json5.loads((ROOT / "examples" / "souhrny.jsonc").read_text())


@pytest.mark.parametrize("name", ["souhrny", "swanbourne"])
def test_example_is_right(name: str) -> None:
    settings = load_settings(ROOT / "examples" / f"{name}.jsonc")
    assert len(settings.regions) == 3


def test_every_mistake_is_reported_at_once() -> None:
    raw = example()
    raw["node"]["callers"] = "nowhere"
    raw["services"][0]["slots_per_target"] = 0
    raw["colour"] = "green"
    with pytest.raises(ExceptionGroup) as caught:
        check_settings(raw)
    paths = {problem.path for problem in caught.value.exceptions}
    assert paths == {"node.callers", "services[0].slots_per_target", "colour"}


def test_secret_is_not_shown_in_a_problem() -> None:
    raw = example()
    raw["operators_token"] = "short-secret"
    with pytest.raises(ExceptionGroup) as caught:
        check_settings(raw)
    assert "short-secret" not in str(caught.value.exceptions[0])
