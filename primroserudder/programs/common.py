"""What the command-line programs have in common."""

import argparse
import asyncio
import os
import pathlib
import signal
import sys
from collections.abc import Awaitable, Callable
from importlib.metadata import version
from typing import NoReturn, Protocol, TypeVar

import uvloop
from loguru import logger
from pydantic import BaseModel
from uvloop.loop import libuv_get_version  # type: ignore[attr-defined]

from ..errors import RudderError
from ..process.logs import configure_logs
from ..process.settings import NodeSettings, read_settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_UNREACHABLE = 4

# The brief rules out io_uring, which libuv would use if it is not told.
_LIBUV_SETTING = 'UV_USE_IO_URING'
_FIRST_LIBUV_THAT_ALWAYS_RINGS = (1, 49)
_BYTE_BITS = 8
_BYTE_VALUES = 256

_Settings = TypeVar('_Settings', bound=BaseModel)


class Service(Protocol):
    """A part that runs until the process is told to stop."""

    async def start(self) -> None:
        """Open ports and start work."""

    async def stop(self) -> None:
        """Finish work and close."""


def new_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop that uses no io_uring.

    Explanation
    ===========
    From version 1.49 on, libuv opens a ring for its calls of ``epoll_ctl``
    whatever the environment says, so that such a uvloop is not used.
    """
    found = divmod(libuv_get_version() >> _BYTE_BITS, _BYTE_VALUES)
    if found >= _FIRST_LIBUV_THAT_ALWAYS_RINGS:
        return asyncio.new_event_loop()
    os.environ[_LIBUV_SETTING] = '0'
    return uvloop.new_event_loop()


def run(main: Awaitable[int]) -> int:
    """Run a coroutine on a loop without io_uring."""
    with asyncio.Runner(loop_factory=new_loop) as runner:
        return runner.run(_as_coroutine(main))


async def _as_coroutine(main: Awaitable[int]) -> int:
    return await main


class OneLineParser(argparse.ArgumentParser):
    """Tells wrong use in one line that names the remedy."""

    def error(self, message: str) -> NoReturn:
        """Write the fault and end."""
        program = self.prog
        self.exit(EXIT_USAGE, f'wrong_use: {message}; see {program} --help\n')


def parser(program: str, description: str) -> argparse.ArgumentParser:
    """Return a parser with the flags of all programs."""
    made = OneLineParser(prog=program, description=description)
    made.add_argument(
        '--version',
        action='version',
        version=f'{program} {version("primroserudder")}',
    )
    return made


def settings_parser(
    program: str,
    description: str,
) -> argparse.ArgumentParser:
    """Return the parser of a program that runs from a settings file."""
    made = parser(program, description)
    made.add_argument(
        '--settings',
        type=pathlib.Path,
        required=True,
        metavar='FILE.json',
        help='settings of the process',
    )
    made.add_argument(
        '--check',
        action='store_true',
        help='check the settings and exit',
    )
    return made


def complain(error: RudderError, told_code: str = '') -> None:
    """Write one line that names the fault and the remedy."""
    code = told_code or error.code
    sys.stderr.write(f'{code}: {error}; {error.remedy}\n')


def serve_from_settings(
    program: str,
    description: str,
    kind: type[_Settings],
    make: Callable[[_Settings], Service],
) -> int:
    """Run a service from its settings file until it is told to stop."""
    arguments = settings_parser(program, description).parse_args()
    try:
        settings = read_settings(arguments.settings, kind)
    except RudderError as error:
        complain(error)
        return EXIT_USAGE
    if arguments.check:
        sys.stdout.write(f'{arguments.settings}: ok\n')
        return EXIT_OK
    if isinstance(settings, NodeSettings):
        logs = settings.logs
        configure_logs(logs.level, as_json=logs.as_json)
    return run(serve_until_stopped(make(settings)))


async def serve_until_stopped(service: Service) -> int:
    """Run a service until SIGTERM or SIGINT."""
    try:
        await service.start()
    except RudderError as error:
        complain(error)
        await service.stop()
        return EXIT_FAILED
    logger.info('started')
    await wait_until_stopped()
    logger.info('stopping')
    await service.stop()
    return EXIT_OK


async def wait_until_stopped() -> None:
    """Wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
