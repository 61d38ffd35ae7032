"""The ``bin/replay-load`` program, which compares policies or costs."""

import argparse
import sys
from collections.abc import Sequence

from ..testing.virtualtime import run_virtually
from .arrivals import LoadPattern, draw_arrivals
from .bound import max_served_share
from .choosers import CHOOSERS
from .cost import SIZES, measure
from .costreport import print_choice_costs, print_cost_loads
from .outcome import Ending, Outcome
from .patterns import read_patterns
from .policies import POLICIES
from .replay import Replay

COLUMNS = ('in time', 'late', 'refused', 'left', 'lost', 'held s', 'largest')
NAME_WIDTH = 30
CELL_WIDTH = 10


def play(
    pattern: LoadPattern,
    policy: str,
    seed: int,
    chooser: str = 'router',
) -> Outcome:
    """Replay one load pattern with one policy and one way to choose."""
    replay = Replay(pattern, POLICIES[policy], CHOOSERS[chooser])
    return run_virtually(replay.play(draw_arrivals(pattern, seed)))


def main() -> int:
    """Print a table of the policies' outcomes, or of decision costs."""
    arguments = _parser().parse_args()
    if arguments.costs:
        _print_costs()
        print_choice_costs()
        return 0
    if arguments.uneven:
        print_cost_loads(range(arguments.seeds))
        return 0
    for pattern in read_patterns().values():
        if arguments.load in {'all', pattern.name}:
            _print_pattern(
                pattern, range(arguments.seeds), by_chooser=arguments.choosers
            )
    return 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='bin/replay-load',
        description='Replays load against waiting policies, in virtual time.',
    )
    names = tuple(read_patterns())
    parser.add_argument('--load', choices=['all', *names], default='all')
    parser.add_argument('--seeds', type=int, default=3, help='how many seeds')
    parser.add_argument(
        '--choosers',
        action='store_true',
        help='compare ways to choose a target instead of ways to wait',
    )
    parser.add_argument(
        '--uneven',
        action='store_true',
        help='compare choices by cost under requests of uneven sizes',
    )
    parser.add_argument(
        '--costs', action='store_true', help='print what decisions cost instead'
    )
    return parser


def _print_pattern(
    pattern: LoadPattern, seeds: Sequence[int], *, by_chooser: bool
) -> None:
    bounds = [
        max_served_share(pattern, draw_arrivals(pattern, seed))
        for seed in seeds
    ]
    mean_bound = _mean(bounds)
    _print_row(f'{pattern.name}, bound {mean_bound:.3f}', COLUMNS)
    names = CHOOSERS if by_chooser else POLICIES
    for name in names:
        outcomes = [
            play(pattern, 'router', seed, name)
            if by_chooser
            else play(pattern, name, seed)
            for seed in seeds
        ]
        shares = [
            _mean([outcome.share(ending) for outcome in outcomes])
            for ending in Ending
        ]
        waited_s = max(outcome.longest_refused_wait_s() for outcome in outcomes)
        largest = _mean([outcome.in_time_by_size()[-1] for outcome in outcomes])
        columns = [f'{number:.3f}' for number in (*shares, waited_s, largest)]
        _print_row(name, columns)


def _print_costs() -> None:
    _print_row('microseconds', ('choice', 'tending', 'planning'))
    for engines in SIZES:
        cost = measure(engines)
        spent = (cost.choice_us, cost.lifecycle_us, cost.planning_us)
        _print_row(
            f'{engines} engines', [f'{cost_us:.0f}' for cost_us in spent]
        )


def _mean(numbers: Sequence[float]) -> float:
    return sum(numbers) / len(numbers)


def _print_row(name: str, columns: Sequence[str]) -> None:
    cells = ''.join(column.rjust(CELL_WIDTH) for column in columns)
    sys.stdout.write(f'{name.ljust(NAME_WIDTH)}{cells}\n')


if __name__ == '__main__':
    sys.exit(main())
