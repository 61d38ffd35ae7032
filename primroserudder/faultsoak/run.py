"""The ``bin/fault-soak`` program, which runs one soak for each seed."""

import argparse
import asyncio
import logging
import pathlib
import sys
import tempfile
from collections.abc import Iterable
from dataclasses import asdict

import orjson

from .options import (
    DEFAULT_CALLERS,
    DEFAULT_ENGINES,
    DEFAULT_ROUTERS,
    DEFAULT_SECONDS,
    SoakOptions,
)
from .soak import Soak, SoakReport

EXIT_OK = 0
EXIT_FAILED = 1


def main() -> int:
    """Run the soak for each seed; return 1 if a check fails, else 0."""
    arguments = _parser().parse_args()
    # The soak cuts the stand-ins' connections on purpose.
    logging.getLogger('aiohttp').setLevel(logging.CRITICAL)
    folder = arguments.logs or pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    failed = [
        seed
        for seed in _seeds(arguments)
        if _report_violations(_soak(arguments, seed, folder / str(seed)))
    ]
    sys.stdout.write(f'failed seeds: {failed}; logs in {folder}\n')
    return EXIT_FAILED if failed else EXIT_OK


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='bin/fault-soak',
        description='Runs router processes under load and injected faults.',
    )
    parser.add_argument('--seed', type=int, default=1, help='the first seed')
    parser.add_argument('--seeds', type=int, default=1, help='how many seeds')
    parser.add_argument('--seconds', type=float, default=DEFAULT_SECONDS)
    parser.add_argument('--routers', type=int, default=DEFAULT_ROUTERS)
    parser.add_argument('--engines', type=int, default=DEFAULT_ENGINES)
    parser.add_argument('--callers', type=int, default=DEFAULT_CALLERS)
    parser.add_argument(
        '--logs',
        type=pathlib.Path,
        metavar='FOLDER',
        help="where the routers' logs are kept; a temporary folder by default",
    )
    return parser


def _seeds(arguments: argparse.Namespace) -> Iterable[int]:
    return range(arguments.seed, arguments.seed + arguments.seeds)


def _soak(
    arguments: argparse.Namespace,
    seed: int,
    folder: pathlib.Path,
) -> SoakReport:
    folder.mkdir(parents=True, exist_ok=True)
    options = SoakOptions(
        seed=seed,
        folder=folder,
        seconds=arguments.seconds,
        routers=arguments.routers,
        engines=arguments.engines,
        callers=arguments.callers,
    )
    return asyncio.run(Soak(options).run())


def _report_violations(report: SoakReport) -> bool:
    sys.stdout.write(orjson.dumps(asdict(report)).decode())
    sys.stdout.write('\n')
    sys.stdout.flush()
    return bool(report.violations)


if __name__ == '__main__':
    sys.exit(main())
