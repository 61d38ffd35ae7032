"""The program ``rudderctl``: the operators' command line."""

import argparse
import os
import sys
from functools import singledispatch

import aiohttp

from ..errors import RudderError
from . import ctlconfig, ctlkeys, ctlstate, ctlstops
from .common import (
    EXIT_FAILED,
    EXIT_REFUSED,
    EXIT_UNREACHABLE,
    parser,
    run,
    write_error,
)
from .operatorclient import OperatorClient, ProcessUnreachable, Refused
from .outcome import show

EPILOG = """\
exit codes: 0 success; 1 internal fault; 2 wrong usage; 3 refused, nothing
changed; 4 the process did not answer; 5 --timeout passed while waiting;
6 outcome unknown: repeat the same command with the same id
"""

EXIT_OUTCOME_UNKNOWN = 6


class InternalFault(RudderError):
    """A fault in ``rudderctl`` itself."""

    default_remedy = 'report this line together with the command that was run'


def main() -> None:
    """Run one command of an operator."""
    arguments = make_parser().parse_args()
    sys.exit(run(_run(arguments)))


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    command_parser = parser('rudderctl', 'Operates the serving system.')
    command_parser.epilog = EPILOG
    command_parser.formatter_class = argparse.RawDescriptionHelpFormatter
    command_parser.add_argument(
        '--url',
        default=os.environ.get('RUDDER_URL', 'http://127.0.0.1:8081'),
        help="URL of any process's operators' port (default: $RUDDER_URL)",
    )
    command_parser.add_argument(
        '--token',
        default=os.environ.get('RUDDER_TOKEN', ''),
        help="token of the operators' port (default: $RUDDER_TOKEN)",
    )
    command_parser.add_argument(
        '--json', action='store_true', help='write the outcome as JSON'
    )
    commands = command_parser.add_subparsers(required=True, metavar='COMMAND')
    ctlconfig.add_commands(commands)
    ctlstate.add_commands(commands)
    ctlstops.add_commands(commands)
    ctlkeys.add_commands(commands)
    return command_parser


@singledispatch
def _exit_code_after(error: RudderError) -> int:
    write_error(error)
    return EXIT_REFUSED


@_exit_code_after.register
def _(error: ProcessUnreachable) -> int:
    write_error(error)
    return EXIT_UNREACHABLE


@_exit_code_after.register
def _(error: Refused) -> int:
    write_error(error, error.reported_code)
    return EXIT_OUTCOME_UNKNOWN if error.is_outcome_unknown else EXIT_REFUSED


async def _run(arguments: argparse.Namespace) -> int:
    async with aiohttp.ClientSession() as session:
        client = OperatorClient(session, arguments.url, arguments.token)
        try:
            outcome = await arguments.command(client, arguments)
        except RudderError as error:
            return _exit_code_after(error)
        except Exception as fault:
            kind = type(fault).__name__
            write_error(InternalFault(f'{kind}: {fault}'))
            return EXIT_FAILED
    show(outcome, as_json=arguments.json)
    return int(outcome.exit_code)
