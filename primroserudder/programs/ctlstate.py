"""Commands of ``rudderctl`` about the state of processes."""

import argparse

import orjson

from .operatorclient import OperatorClient
from .outcome import Commands, Outcome, table


def add_commands(
    commands: Commands,
) -> None:
    """Add the commands to a parser."""
    for name, command, text in (
        ('status', status, 'show groups and peers as one process sees them'),
        ('dump', dump, 'show the whole state of one process'),
    ):
        made = commands.add_parser(name, help=text)
        made.set_defaults(command=command)


async def status(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> Outcome:
    """Show the groups that a process knows."""
    state = await client.get('/state')
    groups = state.get('groups', {})
    rows = [
        (
            group_id,
            group['deployment'],
            group['failure_domain'],
            group['generation'],
            group['model_version'],
            group['state'],
        )
        for group_id, group in sorted(groups.items())
    ]
    header = (
        'group', 'deployment', 'failure domain', 'generation', 'version',
        'state',
    )  # fmt: skip
    found = {
        'node': state['node'],
        'version': state['version'],
        'groups': groups,
        'peers': state['peers'],
    }
    return Outcome(found, table([header, *rows]))


async def dump(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> Outcome:
    """Show the state dump."""
    state = await client.get('/state')
    text = orjson.dumps(state, option=orjson.OPT_INDENT_2).decode()
    return Outcome(state, text.splitlines())
