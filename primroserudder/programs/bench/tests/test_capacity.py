"""Tests that the capacity page agrees with the stored slopes."""

from operator import attrgetter

import pytest

from ..capacity import PAGE, SLOPES, Row, compute_rows, format_number, render
from ..lines import Line, Term
from ..slope import Point, fit, read_slopes


def test_page_contains_tables_computed_from_slopes() -> None:
    assert render(read_slopes(SLOPES)) in PAGE.read_text()


def test_each_slope_is_measured_at_three_sizes_or_more() -> None:
    slopes = read_slopes(SLOPES)
    too_few = [name for name, slope in slopes.items() if len(slope.points) < 3]
    assert not too_few


def test_stored_slopes_equal_the_fit_of_their_points() -> None:
    for slope in read_slopes(SLOPES).values():
        refitted = fit('', '', '', '', slope.points)
        assert refitted.per_unit == pytest.approx(slope.per_unit)
        assert refitted.at_zero == pytest.approx(slope.at_zero)


def test_page_lists_each_line_over_its_budget() -> None:
    page = PAGE.read_text().partition('## What does not hold')[2]
    over_budget = filter(
        attrgetter('is_over'), compute_rows(read_slopes(SLOPES))
    )
    expected = {row.line.what for row in over_budget}
    assert all(what in page for what in expected)


def test_row_is_over_only_above_its_budget() -> None:
    line = Line('entry', 'w', 'MiB', (Term('', 5, 'x'),), 'm', budget=4)
    assert Row(line, 5).is_over
    assert not Row(line, 4).is_over


def test_collinear_points_are_fitted_exactly() -> None:
    slope = fit('n', 'u', 'e', 'c', [Point(size, 2 * size) for size in (1, 5)])
    assert format_number(slope.per_unit) == '2'
