"""Reads the router's arguments and runs it until it is told to stop."""

import argparse
import asyncio
import gc
import pathlib
import signal
import sys

from ..errors import RudderError
from ..fleet.router import Router
from ..fleet.settings import RouterSettings
from ..process.decisions import log_to_stdout
from ..process.settings import read_settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
# A request makes little garbage that holds itself.
YOUNG_OBJECTS = 20_000


def run() -> int:
    """Run until SIGTERM and return the exit code."""
    arguments = _parser().parse_args()
    try:
        settings = read_settings(arguments.settings, RouterSettings)
    except RudderError as error:
        return _complain(error, EXIT_USAGE)
    if arguments.check:
        sys.stdout.write(f'{arguments.settings}: ok\n')
        return EXIT_OK
    log_to_stdout(settings.log_level)
    return asyncio.run(_serve(Router(settings), arguments.settings))


def _parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(
        prog='rudder-router',
        description='Serves callers on the VMs of the platform.',
    )
    made.add_argument(
        '--settings',
        type=pathlib.Path,
        required=True,
        metavar='FILE',
        help='settings in JSON',
    )
    made.add_argument(
        '--check', action='store_true', help='check the settings and exit'
    )
    return made


async def _serve(router: Router, path: pathlib.Path) -> int:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    try:
        await router.start()
    except RudderError as error:
        return _complain(error, EXIT_FAILED)
    loop.add_signal_handler(signal.SIGHUP, _reload, router, path)
    _spare_collections()
    await stopped.wait()
    await router.stop()
    await router.close()
    # Without a handler the signal would end what has nearly ended well.
    loop.remove_signal_handler(signal.SIGHUP)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return EXIT_OK


def _spare_collections() -> None:
    """Leave what was loaded at the start out of later collections."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS)


def _reload(router: Router, path: pathlib.Path) -> None:
    """Check a changed settings file; ports and names stay as they are."""
    try:
        read_settings(path, RouterSettings)
    except RudderError as error:
        router.log.note('reload_refused', reason=str(error))
        return
    router.log.note('reload', settings=str(path))


def _complain(error: RudderError, code: int) -> int:
    sys.stderr.write(f'{error.code}: {error}; {error.remedy}\n')
    return code
