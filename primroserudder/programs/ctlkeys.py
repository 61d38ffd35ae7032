"""Commands of ``rudderctl`` about idempotency keys."""

import argparse
from urllib.parse import urlencode

from .operatorclient import OperatorClient
from .outcome import Commands, Outcome, table


def add_commands(commands: Commands) -> None:
    """Add the commands to a parser."""
    keys = commands.add_parser('key', help='idempotency keys')
    actions = keys.add_subparsers(required=True, metavar='ACTION')
    made = actions.add_parser('show', help="show the record of a caller's key")
    made.add_argument('workspace', metavar='WORKSPACE')
    made.add_argument('key', metavar='KEY')
    made.set_defaults(command=show_key)


async def show_key(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> Outcome:
    """Show the record of a caller's own key."""
    asked = {'workspace': arguments.workspace, 'key': arguments.key}
    query = urlencode(asked)
    record = await client.get(f'/v1/keys?{query}')
    return Outcome(record, table(sorted(record.items())))
