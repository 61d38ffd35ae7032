"""``rudder-router``: serves callers on the users' platform."""

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


def main() -> int:
    """Run until SIGTERM."""
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
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS)
    await stopped.wait()
    await router.stop()
    await router.close()
    return EXIT_OK


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


if __name__ == '__main__':
    sys.exit(main())
