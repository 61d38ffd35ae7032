"""Plots the measured slopes."""

import argparse
import math
import pathlib
from collections.abc import Sequence
from typing import Any

from matplotlib.figure import Figure

from .slope import Slope, read_slopes

COLUMNS = 3
WIDTH_INCHES, HEIGHT_INCHES = 5, 3


def main() -> None:
    """Draw one plot per slope into a single image."""
    parser = argparse.ArgumentParser(description='Plots slopes.')
    parser.add_argument('--slopes', type=pathlib.Path, required=True)
    parser.add_argument('--out', type=pathlib.Path, required=True)
    arguments = parser.parse_args()
    _draw(list(read_slopes(arguments.slopes).values())).savefig(arguments.out)


def _draw(slopes: Sequence[Slope]) -> Figure:
    rows = math.ceil(len(slopes) / COLUMNS)
    figure = Figure(figsize=(COLUMNS * WIDTH_INCHES, rows * HEIGHT_INCHES))
    for place, slope in enumerate(slopes, start=1):
        _draw_slope(figure.add_subplot(rows, COLUMNS, place), slope)
    figure.tight_layout()
    return figure


def _draw_slope(axes: Any, slope: Slope) -> None:
    sizes = [point.size for point in slope.points]
    axes.plot(sizes, [point.seen for point in slope.points], 'o')
    axes.plot(sizes, [slope.at_zero + slope.per_unit * size for size in sizes])
    axes.set_title(slope.name)
    axes.set_xlabel(slope.each)
    axes.set_ylabel(slope.unit)


if __name__ == '__main__':
    main()
