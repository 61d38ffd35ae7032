"""Prints how choices by cost compare with the share of slots in use."""

import sys
from collections.abc import Sequence

from .choicecost import TARGETS, measure_choices
from .costloads import read_cost_loads
from .costoutcome import CostOutcome, worst_difference
from .costreplay import KNOWLEDGE, replay_cost

COLUMNS = (
    'p50 s',
    'p95 s',
    'p99 s',
    'p95 ratio',
    'in time',
    'no event',
    'class',
    'tenth',
    'both',
)
NAME_WIDTH = 30
CELL_WIDTH = 10
BASELINE = 'share of slots'


def print_cost_loads(seeds: Sequence[int]) -> None:
    """Print how each kind of knowledge fares under each load.

    Explanation
    ===========
    The last three columns are the worst differences of the share in time, by
    class, by tenth of sizes, and by both, to the share of slots above.
    """
    for name, load in read_cost_loads().items():
        _print_row(name, COLUMNS)
        baseline: CostOutcome | None = None
        for knowledge in KNOWLEDGE:
            outcome = replay_cost(load, knowledge, seeds)
            if baseline is None or knowledge.startswith(BASELINE):
                baseline = outcome
            _print_row(knowledge, _cells(outcome, baseline))


def print_choice_costs() -> None:
    """Print the processor time of choices."""
    cost = measure_choices()
    sys.stdout.write(
        f'{TARGETS} targets: {cost.by_slots_us:.1f} us by the share of slots,'
        f' {cost.by_cost_us:.1f} us by cost,'
        f' {cost.followed_us:.1f} us for all that a request takes\n'
    )


def _cells(outcome: CostOutcome, baseline: CostOutcome) -> Sequence[str]:
    p95_s = outcome.percentile_s(95)
    differences = (
        worst_difference(before, now)
        for before, now in (
            (baseline.in_time_by_class(), outcome.in_time_by_class()),
            (baseline.in_time_by_tenth(), outcome.in_time_by_tenth()),
            (
                baseline.in_time_by_class_and_tenth(),
                outcome.in_time_by_class_and_tenth(),
            ),
        )
    )
    figures = (
        outcome.percentile_s(50),
        p95_s,
        outcome.percentile_s(99),
        p95_s / baseline.percentile_s(95),
        outcome.in_time(),
    )
    return (
        *(f'{figure:.3f}' for figure in figures),
        str(outcome.without_event()),
        *(format(difference, '+.3f') for difference in differences),
    )


def _print_row(name: str, columns: Sequence[str]) -> None:
    cells = ''.join(column.rjust(CELL_WIDTH) for column in columns)
    sys.stdout.write(f'{name.ljust(NAME_WIDTH)}{cells}\n')
    sys.stdout.flush()
