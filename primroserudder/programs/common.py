"""What the command-line programs have in common."""

import argparse
import asyncio
import gc
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
from ..process.allocator import return_large_blocks_at_once
from ..process.logs import configure_logs
from ..process.settings import NodeSettings, read_settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_UNREACHABLE = 4
GC_THRESHOLD_OBJECTS = 20_000

# io_uring must not be used; libuv uses it unless this variable is 0.
_LIBUV_IO_URING_VARIABLE = 'UV_USE_IO_URING'
_FIRST_LIBUV_WITH_FORCED_IO_URING = (1, 49)
_BYTE_BITS = 8
_BYTE_VALUES = 256

_Settings = TypeVar('_Settings', bound=BaseModel)


class Service(Protocol):
    """A component that runs until the process receives a stop signal."""

    async def start(self) -> None:
        """Open ports and start work."""

    async def stop(self) -> None:
        """Finish work and close."""


def new_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop that uses no io_uring.

    Explanation
    ===========
    From version 1.49 on, libuv opens an io_uring ring for its calls of
    ``epoll_ctl`` whatever the environment variable is. A uvloop that is built
    with such a libuv is not used; the loop of asyncio takes its place.
    """
    libuv_version = divmod(libuv_get_version() >> _BYTE_BITS, _BYTE_VALUES)
    if libuv_version >= _FIRST_LIBUV_WITH_FORCED_IO_URING:
        return asyncio.new_event_loop()
    os.environ[_LIBUV_IO_URING_VARIABLE] = '0'
    return uvloop.new_event_loop()


def run(main: Awaitable[int]) -> int:
    """Run a coroutine on a loop without io_uring and return its exit code."""
    return_large_blocks_at_once()
    with asyncio.Runner(loop_factory=new_loop) as runner:
        return runner.run(_as_coroutine(main))


async def _as_coroutine(main: Awaitable[int]) -> int:
    return await main


class OneLineErrorParser(argparse.ArgumentParser):
    """Reports wrong usage in one line that names the remedy."""

    def error(self, message: str) -> NoReturn:
        """Write the fault to standard error and exit with ``EXIT_USAGE``."""
        program = self.prog
        self.exit(EXIT_USAGE, f'wrong_use: {message}; see {program} --help\n')


def parser(program: str, description: str) -> argparse.ArgumentParser:
    """Return a parser with the flags that all programs have."""
    program_parser = OneLineErrorParser(prog=program, description=description)
    program_parser.add_argument(
        '--version',
        action='version',
        version=f'{program} {version("primroserudder")}',
    )
    return program_parser


def settings_parser(
    program: str,
    description: str,
) -> argparse.ArgumentParser:
    """Return the parser of a program that runs from a settings file."""
    program_parser = parser(program, description)
    program_parser.add_argument(
        '--settings',
        type=pathlib.Path,
        required=True,
        metavar='FILE.json',
        help='settings of the process',
    )
    program_parser.add_argument(
        '--check',
        action='store_true',
        help='check the settings and exit',
    )
    return program_parser


def write_error(error: RudderError, reported_code: str = '') -> None:
    """Write one line to standard error that names the fault and the remedy.

    Parameters
    ==========
    reported_code
        The error code that another process reported; it replaces the code of
        the error's class.
    """
    code = reported_code or error.code
    sys.stderr.write(f'{code}: {error}; {error.remedy}\n')


def serve_from_settings(
    program: str,
    description: str,
    kind: type[_Settings],
    make_service: Callable[[_Settings], Service],
) -> int:
    """Run a service from its settings file and return the exit code.

    Explanation
    ===========
    The service runs until SIGTERM or SIGINT. With ``--check`` only the
    settings are checked.
    """
    arguments = settings_parser(program, description).parse_args()
    try:
        settings = read_settings(arguments.settings, kind)
    except RudderError as error:
        write_error(error)
        return EXIT_USAGE
    if arguments.check:
        sys.stdout.write(f'{arguments.settings}: ok\n')
        return EXIT_OK
    if isinstance(settings, NodeSettings):
        logs = settings.logs
        configure_logs(logs.level, as_json=logs.as_json)
    return run(serve_until_stopped(make_service(settings)))


async def serve_until_stopped(service: Service) -> int:
    """Run a service until SIGTERM or SIGINT and return the exit code."""
    try:
        await service.start()
    except RudderError as error:
        write_error(error)
        await service.stop()
        return EXIT_FAILED
    _reduce_garbage_collection()
    logger.info('started')
    await wait_until_stopped()
    logger.info('stopping')
    await service.stop()
    return EXIT_OK


def _reduce_garbage_collection() -> None:
    # The objects that exist now live as long as the process, so the garbage
    # collector need not scan them. A request leaves few reference cycles, so
    # collections can be rare.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)


async def wait_until_stopped() -> None:
    """Wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await stopped.wait()
