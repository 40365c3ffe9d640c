"""Test the line fits, and that the tables of the capacity page are generated from saved rows."""

import pytest

from bench.capacity._fit import fit_line
from bench.capacity_page import PAGE, load_rows, render


def test_line_through_exact_points() -> None:
    line = fit_line((1, 2, 4), (5.0, 7.0, 11.0))
    assert (line.slope, line.intercept, line.r_squared) == pytest.approx((2.0, 3.0, 1.0))
    assert line.value_at(100) == pytest.approx(203.0)


def test_scattered_points_fit_badly() -> None:
    assert fit_line((1, 2, 3, 4), (1.0, 9.0, 2.0, 8.0)).r_squared < 0.5


def test_two_sizes_are_not_enough() -> None:
    with pytest.raises(ValueError, match="2 sizes"):
        fit_line((1, 2, 2), (1.0, 2.0, 2.0))


def test_tables_of_the_page_are_made_from_the_saved_rows() -> None:
    page = PAGE.read_text()
    assert render(page, load_rows()) == page


def test_a_changed_figure_in_the_page_is_noticed() -> None:
    page = PAGE.read_text()
    changed = page.replace(" at 800 |", " at 801 |", 1)
    assert changed != page
    assert render(changed, load_rows()) == page
