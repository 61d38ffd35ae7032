"""The command ``bin/routing-bench``: routing policies and decision costs."""

import argparse
import pathlib
import sys
from collections.abc import Mapping
from dataclasses import asdict

import orjson

from .decisionbench import SIZES, measure_decisions
from .routingbench import Figures, compare
from .routingload import SHAPES

DECISIONS = 5000


def _compare_all(requests: int, seed: int) -> Mapping[str, object]:
    figures_by_load: dict[str, Mapping[str, Figures]] = {
        shape.name: compare(shape, requests, seed) for shape in SHAPES
    }
    return {
        load: {policy: asdict(figures) for policy, figures in by_policy.items()}
        for load, by_policy in figures_by_load.items()
    }


def _measure_all(seed: int) -> Mapping[str, object]:
    costs = [measure_decisions(size, DECISIONS, seed) for size in SIZES]
    smallest, largest = costs[0], costs[-1]
    added = largest.mean_us - smallest.mean_us
    slope = added / (largest.engines - smallest.engines)
    return {
        'sizes': [asdict(cost) for cost in costs],
        'slope_us_per_engine': round(slope, 4),
    }


def main() -> None:
    """Print the results as JSON."""
    parser = argparse.ArgumentParser(prog='bin/routing-bench')
    parser.add_argument('--requests', type=int, default=3000)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--decisions-only', action='store_true')
    parser.add_argument('--json', type=pathlib.Path, metavar='FILE.json')
    arguments = parser.parse_args()
    report: dict[str, object] = {'decisions': _measure_all(arguments.seed)}
    if not arguments.decisions_only:
        report['policies'] = _compare_all(arguments.requests, arguments.seed)
    text = orjson.dumps(report, option=orjson.OPT_INDENT_2).decode()
    sys.stdout.write(f'{text}\n')
    if arguments.json is not None:
        arguments.json.write_text(text, encoding='utf-8')


if __name__ == '__main__':
    main()
