"""Tests that the capacity page agrees with the slopes beside it."""

from operator import attrgetter

import pytest

from ..capacity import PAGE, SLOPES, Row, number, render, work_out
from ..lines import Line, Term
from ..slope import Point, fit, read_slopes


def test_page_holds_what_the_slopes_work_out_to() -> None:
    assert render(read_slopes(SLOPES)) in PAGE.read_text()


def test_every_slope_was_measured_at_three_sizes_or_more() -> None:
    slopes = read_slopes(SLOPES)
    few = [name for name, slope in slopes.items() if len(slope.points) < 3]
    assert not few


def test_slopes_are_the_lines_through_their_points() -> None:
    for slope in read_slopes(SLOPES).values():
        again = fit('', '', '', '', slope.points)
        assert again.per_unit == pytest.approx(slope.per_unit)
        assert again.at_zero == pytest.approx(slope.at_zero)


def test_page_names_each_line_that_is_over_its_budget() -> None:
    page = PAGE.read_text().partition('## What does not hold')[2]
    over = filter(attrgetter('is_over'), work_out(read_slopes(SLOPES)))
    missing = {row.line.what for row in over}
    assert all(what in page for what in missing)


def test_row_over_its_budget_says_so() -> None:
    line = Line('entry', 'w', 'MiB', (Term('', 5, 'x'),), 'm', budget=4)
    assert Row(line, 5).is_over
    assert not Row(line, 4).is_over


def test_points_on_a_line_are_fitted_exactly() -> None:
    slope = fit('n', 'u', 'e', 'c', [Point(size, 2 * size) for size in (1, 5)])
    assert number(slope.per_unit) == '2'
