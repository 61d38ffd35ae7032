"""Commands of ``rudderctl`` about idempotency keys."""

import argparse
from urllib.parse import urlencode

from .operatorclient import OperatorClient
from .outcome import Commands, Outcome, table


def add_commands(commands: Commands) -> None:
    """Add the commands to a parser."""
    keys = commands.add_parser('key', help='show idempotency keys')
    actions = keys.add_subparsers(required=True, metavar='ACTION')
    show_parser = actions.add_parser(
        'show', help="show the record of a caller's key"
    )
    show_parser.add_argument('workspace', metavar='WORKSPACE')
    show_parser.add_argument('key', metavar='KEY')
    show_parser.set_defaults(command=show_key)


async def show_key(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> Outcome:
    """Show the record of an idempotency key that a caller chose."""
    query_fields = {'workspace': arguments.workspace, 'key': arguments.key}
    query = urlencode(query_fields)
    record = await client.get(f'/v1/keys?{query}')
    return Outcome(record, table(sorted(record.items())))
