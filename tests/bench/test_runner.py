"""Check the verdicts, the exit code and the comparison of the benchmark runner."""

import sys
from types import ModuleType

import pytest

from bench import __main__ as runner
from bench._known_red import KnownRed
from bench._rows import Bound, Figure, Verdict, judge

BOUND = Bound(1.0, 2.0, "brief")


@pytest.mark.parametrize(
    ("value", "listed", "verdict"),
    [
        (1.0, False, Verdict.PASS),
        (2.0, True, Verdict.PASS),
        (2.1, False, Verdict.OVER),
        (0.9, False, Verdict.OVER),
        (2.1, True, Verdict.KNOWN_RED),
    ],
)
def test_verdict(value: float, listed: bool, verdict: Verdict) -> None:
    known_red = {"bench:g.f": KnownRed("bench:g.f", "c", "s", "7")} if listed else {}
    assert judge("g", Figure("f", value, "s"), {"g.f": BOUND}, known_red).verdict is verdict


def test_figure_without_bound_is_shown() -> None:
    assert judge("g", Figure("f", 9, "s"), {}, {}).verdict is Verdict.SHOWN


def two_figures(seed: int):
    yield Figure("calls", seed, "calls")
    if seed == 3:
        raise RuntimeError("broken")


@pytest.fixture
def group(monkeypatch) -> None:
    module = ModuleType("bench.trial")
    module.figures = two_figures
    monkeypatch.setitem(sys.modules, "bench.trial", module)
    monkeypatch.setattr(runner, "_available_groups", lambda: ("trial",))
    monkeypatch.setattr(runner, "load_bounds", lambda: {"trial.calls": Bound(None, 1, "brief")})


@pytest.mark.parametrize(("seed", "exit_code"), [("1", 0), ("2", 1), ("3", 1)])
def test_exit_code(group, capsys, seed: str, exit_code: int) -> None:
    assert runner.main(["trial", "--seed", seed]) == exit_code
    out = capsys.readouterr().out
    assert ("OVER" in out) == (seed != "1")
    assert ("group failed: trial" in out) == (seed == "3")


def test_known_red_row_is_printed_and_passed_over(group, capsys, monkeypatch) -> None:
    listed = {"bench:trial.calls": KnownRed("bench:trial.calls", "c", "two calls", "7")}
    monkeypatch.setattr(runner, "load_known_red", lambda: listed)
    assert runner.main(["--seed", "2"]) == 0
    assert "known red: trial.calls: two calls (issue 7)" in capsys.readouterr().out
    assert runner.main(["--seed", "1"]) == 0
    assert "known red did not fail: trial.calls" in capsys.readouterr().out


def test_saved_run_is_shown_beside_a_later_one(group, capsys, tmp_path) -> None:
    saved = tmp_path / "old.json"
    runner.main(["--seed", "1", "--json", str(saved)])
    runner.main(["--seed", "2", "--compare", str(saved)])
    assert "+100.0%" in capsys.readouterr().out


def test_unknown_group_is_a_wrong_argument(capsys) -> None:
    with pytest.raises(SystemExit) as caught:
        runner.main(["nothing"])
    assert caught.value.code == 2
    assert "no group 'nothing'" in capsys.readouterr().err
