"""Parses the arguments of the router and runs it until a stop signal."""

import argparse
import asyncio
import gc
import pathlib
import signal
import sys

from ..errors import RudderError
from ..fleet.router import Router
from ..fleet.settings import RouterSettings
from ..fleet.upgrades import build_name
from ..process.allocator import (
    return_free_memory,
    return_large_blocks_at_once,
)
from ..process.decisions import log_to_stdout
from ..process.settings import read_settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
# A request leaves few reference cycles, so collections can be rare.
GC_THRESHOLD_OBJECTS = 20_000


def run() -> int:
    """Run until SIGTERM or SIGINT and return the exit code."""
    arguments = _parser().parse_args()
    if arguments.build:
        sys.stdout.write(f'{build_name()}\n')
        return EXIT_OK
    try:
        settings = read_settings(arguments.settings, RouterSettings)
    except RudderError as error:
        return _write_error(error, EXIT_USAGE)
    if arguments.check:
        sys.stdout.write(f'{arguments.settings}: ok\n')
        return EXIT_OK
    log_to_stdout(settings.log_level)
    return_large_blocks_at_once()
    return asyncio.run(_serve(Router(settings), arguments.settings))


def _parser() -> argparse.ArgumentParser:
    router_parser = argparse.ArgumentParser(
        prog='rudder-router',
        description='Serves callers on the VMs of the platform.',
    )
    wanted = router_parser.add_mutually_exclusive_group(required=True)
    wanted.add_argument(
        '--settings',
        type=pathlib.Path,
        metavar='FILE',
        help='settings of the router, in JSON',
    )
    router_parser.add_argument(
        '--check', action='store_true', help='check the settings and exit'
    )
    wanted.add_argument(
        '--build',
        action='store_true',
        help='print the name of this build and exit',
    )
    return router_parser


async def _serve(router: Router, path: pathlib.Path) -> int:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    try:
        await router.start()
    except RudderError as error:
        return _write_error(error, EXIT_FAILED)
    loop.add_signal_handler(signal.SIGHUP, _reload, router, path)
    _reduce_garbage_collection()
    await stopped.wait()
    await router.stop()
    await router.close()
    # Without a handler, a late SIGHUP would kill the process and spoil the exit
    # code of a clean stop.
    loop.remove_signal_handler(signal.SIGHUP)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return EXIT_OK


def _reduce_garbage_collection() -> None:
    """Exclude the objects that exist now from later garbage collections."""
    gc.collect()
    gc.freeze()
    return_free_memory()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)


def _reload(router: Router, path: pathlib.Path) -> None:
    """Check a changed settings file; running ports and names do not change."""
    try:
        read_settings(path, RouterSettings)
    except RudderError as error:
        router.log.note('reload_refused', reason=str(error))
        return
    router.log.note('reload', settings=str(path))


def _write_error(error: RudderError, code: int) -> int:
    sys.stderr.write(f'{error.code}: {error}; {error.remedy}\n')
    return code
