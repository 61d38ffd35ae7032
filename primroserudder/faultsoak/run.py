"""``bin/fault-soak``: soaks one seed after another."""

import argparse
import asyncio
import logging
import pathlib
import sys
import tempfile
from collections.abc import Iterable
from dataclasses import asdict

import orjson

from .soak import Soak, SoakReport
from .wishes import (
    DEFAULT_CALLERS,
    DEFAULT_ENGINES,
    DEFAULT_ROUTERS,
    DEFAULT_SECONDS,
    SoakWishes,
)

EXIT_OK = 0
EXIT_FAILED = 1


def main() -> int:
    """Soak the seeds asked for; fail if one violates a promise."""
    arguments = _parser().parse_args()
    # The stand-ins' connections are cut on purpose.
    logging.getLogger('aiohttp').setLevel(logging.CRITICAL)
    folder = arguments.logs or pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    failed = [
        seed
        for seed in _seeds(arguments)
        if _is_violated(_soak(arguments, seed, folder / str(seed)))
    ]
    sys.stdout.write(f'failed seeds: {failed}; logs in {folder}\n')
    return EXIT_FAILED if failed else EXIT_OK


def _parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(
        prog='bin/fault-soak',
        description='Soaks real router processes under faults from outside.',
    )
    made.add_argument('--seed', type=int, default=1, help='the first seed')
    made.add_argument('--seeds', type=int, default=1, help='how many seeds')
    made.add_argument('--seconds', type=float, default=DEFAULT_SECONDS)
    made.add_argument('--routers', type=int, default=DEFAULT_ROUTERS)
    made.add_argument('--engines', type=int, default=DEFAULT_ENGINES)
    made.add_argument('--callers', type=int, default=DEFAULT_CALLERS)
    made.add_argument(
        '--logs',
        type=pathlib.Path,
        metavar='FOLDER',
        help="where the routers' logs are kept; a temporary folder by default",
    )
    return made


def _seeds(arguments: argparse.Namespace) -> Iterable[int]:
    return range(arguments.seed, arguments.seed + arguments.seeds)


def _soak(
    arguments: argparse.Namespace,
    seed: int,
    folder: pathlib.Path,
) -> SoakReport:
    folder.mkdir(parents=True, exist_ok=True)
    wishes = SoakWishes(
        seed=seed,
        folder=folder,
        seconds=arguments.seconds,
        routers=arguments.routers,
        engines=arguments.engines,
        callers=arguments.callers,
    )
    return asyncio.run(Soak(wishes).run())


def _is_violated(report: SoakReport) -> bool:
    sys.stdout.write(orjson.dumps(asdict(report)).decode())
    sys.stdout.write('\n')
    sys.stdout.flush()
    return bool(report.violations)


if __name__ == '__main__':
    sys.exit(main())
