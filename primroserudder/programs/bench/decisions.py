"""Measures the CPU time of a routing decision by the number of engines."""

import argparse
import pathlib

from ...testing.decisionbench import SIZES, measure_decisions
from .slope import Point, fit, write_slopes

COMMAND = 'bin/bench'
DECISIONS = 2000
SEED = 1
MICROSECOND = 1e-6


def main() -> None:
    """Measure the slope and write it to a file."""
    parser = argparse.ArgumentParser(description='Measures routing decisions.')
    parser.add_argument('--out', type=pathlib.Path, required=True)
    arguments = parser.parse_args()
    costs = [measure_decisions(size, DECISIONS, SEED) for size in SIZES]
    points = [Point(cost.engines, cost.mean_us * MICROSECOND) for cost in costs]
    slope = fit('decision_cpu', 'CPU seconds', 'engine', COMMAND, points)
    write_slopes(arguments.out, [slope])


if __name__ == '__main__':
    main()
