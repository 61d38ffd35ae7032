"""Computes the tables of docs/CAPACITY.md from measured slopes."""

import argparse
import math
import pathlib
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..common import EXIT_FAILED, EXIT_OK
from .lines import LINES, Line, Term
from .slope import Slope, read_slopes

PAGE = pathlib.Path('docs/CAPACITY.md')
SLOPES = pathlib.Path('docs/capacity/slopes.json')
BEGIN = '<!-- worked out by bin/bench: begin -->'
END = '<!-- worked out by bin/bench: end -->'
HEADER = (
    '| role | what | figure | budget | worked out from | carried by |',
    '| --- | --- | --- | --- | --- | --- |',
)
SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True, slots=True)
class Row:
    """A line of the table with its computed figure."""

    line: Line
    figure: float

    @property
    def is_over(self) -> bool:
        """Return whether the figure exceeds the line's budget."""
        budget = self.line.budget
        return budget is not None and self.figure > budget


def compute_rows(slopes: Mapping[str, Slope]) -> Sequence[Row]:
    """Return a row with the computed figure for each line."""
    return [Row(line, _line_figure(line, slopes)) for line in LINES]


def render(slopes: Mapping[str, Slope]) -> str:
    """Return the tables of slopes and figures as Markdown for the page."""
    table = [
        '| slope | for each | figure | measured at |',
        '| --- | --- | --- | --- |',
        *(_slope_text(slope) for slope in slopes.values()),
        '',
        *HEADER,
        *(_row_text(row, slopes) for row in compute_rows(slopes)),
    ]
    return '\n'.join((BEGIN, '', *table, '', END))


def replace_tables(page: str, tables: str) -> str:
    """Return the page with the text between its markers replaced."""
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f'{before}{tables}{after}'


def format_number(figure: float) -> str:
    """Return a figure rounded to three significant digits.

    Examples
    ========
    >>> format_number(12345.6), format_number(0.000123456), format_number(7)
    ('12,300', '0.000123', '7')
    """
    if not figure:
        return '0'
    digits = SIGNIFICANT_DIGITS - 1 - math.floor(math.log10(abs(figure)))
    rounded = round(figure, digits)
    if rounded == int(rounded):
        return format(int(rounded), ',')
    return format(rounded, 'g')


def main() -> None:
    """Check the page against the slopes, or write its tables."""
    parser = argparse.ArgumentParser(
        description='Checks or writes the tables of docs/CAPACITY.md.'
    )
    parser.add_argument('--write', action='store_true')
    arguments = parser.parse_args()
    page = PAGE.read_text()
    updated = replace_tables(page, render(read_slopes(SLOPES)))
    if arguments.write:
        PAGE.write_text(updated)
    elif updated != page:
        sys.stderr.write(
            f'{PAGE}: the tables differ from {SLOPES}; run with --write\n'
        )
        sys.exit(EXIT_FAILED)
    sys.exit(EXIT_OK)


def _line_figure(line: Line, slopes: Mapping[str, Slope]) -> float:
    total = sum(_term_figure(term, slopes) for term in line.terms)
    return total / line.divisor


def _term_figure(term: Term, slopes: Mapping[str, Slope]) -> float:
    if not term.slope:
        return term.count
    slope = slopes[term.slope]
    each = slope.at_zero if term.at_zero else slope.per_unit
    return each * term.count


def _slope_text(slope: Slope) -> str:
    sizes = ', '.join(format_number(point.size) for point in slope.points)
    figure = format_number(slope.per_unit)
    cells = (
        f'`{slope.name}`',
        slope.each,
        f'{figure} {slope.unit}',
        f'{sizes} (`{slope.command}`)',
    )
    joined = ' | '.join(cells)
    return f'| {joined} |'


def _row_text(row: Row, slopes: Mapping[str, Slope]) -> str:
    line = row.line
    budget = (
        ''
        if line.budget is None
        else f'{format_number(line.budget)} {line.unit}'
    )
    verdict = ' **over**' if row.is_over else ''
    figure = format_number(row.figure)
    cells = (
        line.role,
        line.what,
        f'{figure} {line.unit}',
        f'{budget}{verdict}',
        ' + '.join(_term_text(term) for term in line.terms),
        line.mechanism,
    )
    joined = ' | '.join(cells)
    return f'| {joined} |'


def _term_text(term: Term) -> str:
    count = format_number(term.count)
    if not term.slope:
        return f'{count} {term.of}'
    name = f'`{term.slope}` at zero' if term.at_zero else f'`{term.slope}`'
    return f'{name} x {count} {term.of}'


if __name__ == '__main__':
    main()
