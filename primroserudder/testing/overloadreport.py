"""The command ``bin/overload-bench``: overload by a workspace."""

import argparse
import asyncio
import pathlib
import sys
from dataclasses import asdict

import orjson

from .overloadbench import measure_load, overload, unloaded
from .refusalbench import measure_refusals

UNEVEN = (4, 2, 1, 1)


def main() -> None:
    """Print the results as JSON."""
    parser = argparse.ArgumentParser(prog='bin/overload-bench')
    parser.add_argument('--seconds', type=float, default=40)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--sockets-only', action='store_true')
    parser.add_argument('--json', type=pathlib.Path, metavar='FILE.json')
    arguments = parser.parse_args()
    report: dict[str, object] = {}
    if not arguments.sockets_only:
        loads_by_name = {
            'unloaded': unloaded(),
            'overload': overload(),
            'overload_uneven_balancer': overload(UNEVEN),
        }
        report = {
            name: asdict(measure_load(load, arguments.seconds, arguments.seed))
            for name, load in loads_by_name.items()
        }
    refusals = asyncio.run(measure_refusals())
    report['refusals_over_sockets'] = asdict(refusals)
    text = orjson.dumps(report, option=orjson.OPT_INDENT_2).decode()
    sys.stdout.write(f'{text}\n')
    if arguments.json is not None:
        arguments.json.write_text(text, encoding='utf-8')


if __name__ == '__main__':
    main()
