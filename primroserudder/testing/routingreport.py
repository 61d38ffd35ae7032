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
    found: dict[str, Mapping[str, Figures]] = {
        shape.name: compare(shape, requests, seed) for shape in SHAPES
    }
    return {
        load: {policy: asdict(figures) for policy, figures in by_policy.items()}
        for load, by_policy in found.items()
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
    """Print the figures as JSON."""
    made = argparse.ArgumentParser(prog='bin/routing-bench')
    made.add_argument('--requests', type=int, default=3000)
    made.add_argument('--seed', type=int, default=1)
    made.add_argument('--decisions-only', action='store_true')
    made.add_argument('--json', type=pathlib.Path, metavar='FILE.json')
    arguments = made.parse_args()
    report: dict[str, object] = {'decisions': _measure_all(arguments.seed)}
    if not arguments.decisions_only:
        report['policies'] = _compare_all(arguments.requests, arguments.seed)
    text = orjson.dumps(report, option=orjson.OPT_INDENT_2).decode()
    sys.stdout.write(f'{text}\n')
    if arguments.json is not None:
        arguments.json.write_text(text, encoding='utf-8')


if __name__ == '__main__':
    main()
