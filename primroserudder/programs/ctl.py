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
    complain,
    parser,
    run,
)
from .operatorclient import OperatorClient, ProcessUnreachable, Refused
from .outcome import show

EPILOG = """\
exit codes: 0 done; 1 internal fault; 2 wrong use; 3 refused, nothing
changed; 4 the process gave no answer; 5 not reached before --timeout;
6 not known whether it took effect: give the same command again with its id
"""

EXIT_UNDECIDED = 6


class InternalFault(RudderError):
    """A fault of ``rudderctl`` itself."""

    default_remedy = 'report this line with the command'


def main() -> None:
    """Run one operator's command."""
    arguments = make_parser().parse_args()
    sys.exit(run(_run(arguments)))


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    made = parser('rudderctl', 'Operates the serving system.')
    made.epilog = EPILOG
    made.formatter_class = argparse.RawDescriptionHelpFormatter
    made.add_argument(
        '--url',
        default=os.environ.get('RUDDER_URL', 'http://127.0.0.1:8081'),
        help="any process's operators' port (default: $RUDDER_URL)",
    )
    made.add_argument(
        '--token',
        default=os.environ.get('RUDDER_TOKEN', ''),
        help="the operators' token (default: $RUDDER_TOKEN)",
    )
    made.add_argument('--json', action='store_true', help='write JSON')
    commands = made.add_subparsers(required=True, metavar='COMMAND')
    ctlconfig.add_commands(commands)
    ctlstate.add_commands(commands)
    ctlstops.add_commands(commands)
    ctlkeys.add_commands(commands)
    return made


@singledispatch
def _ended_by(error: RudderError) -> int:
    complain(error)
    return EXIT_REFUSED


@_ended_by.register
def _(error: ProcessUnreachable) -> int:
    complain(error)
    return EXIT_UNREACHABLE


@_ended_by.register
def _(error: Refused) -> int:
    complain(error, error.told_code)
    return EXIT_UNDECIDED if error.is_undecided else EXIT_REFUSED


async def _run(arguments: argparse.Namespace) -> int:
    async with aiohttp.ClientSession() as session:
        client = OperatorClient(session, arguments.url, arguments.token)
        try:
            outcome = await arguments.command(client, arguments)
        except RudderError as error:
            return _ended_by(error)
        except Exception as fault:
            kind = type(fault).__name__
            complain(InternalFault(f'{kind}: {fault}'))
            return EXIT_FAILED
    show(outcome, as_json=arguments.json)
    return int(outcome.exit_code)
