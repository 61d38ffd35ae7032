"""Commands of ``rudderctl`` about the state of processes."""

import argparse
from collections.abc import Mapping, Sequence

import orjson

from .operatorclient import OperatorClient
from .outcome import Commands, Outcome, table
from .sitestate import (
    UNREACHABLE,
    Sections,
    collect,
    merge_groups,
    sum_counters,
    violations,
)


def add_commands(
    commands: Commands,
) -> None:
    """Add the commands to a parser."""
    for name, command, text in (
        ('status', status, 'show all nodes and groups of the site'),
        ('dump', dump, 'show the whole state dump of one process'),
    ):
        command_parser = commands.add_parser(name, help=text)
        command_parser.set_defaults(command=command)


async def status(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> Outcome:
    """Show the nodes and the groups, merged from the state of all nodes."""
    nodes = await collect(client, 'node', 'version', 'groups', 'metrics')
    groups = merge_groups(nodes.values())
    rows = [_node_row(node_id, state) for node_id, state in nodes.items()]
    header = (
        'node', 'role', 'failure domain', 'version', 'violations', 'note',
    )  # fmt: skip
    lines = [*table([header, *rows]), '', *_group_lines(groups)]
    body = {
        'nodes': {
            node_id: {
                'node': state.get('node'),
                'version': state.get('version'),
                UNREACHABLE: state.get(UNREACHABLE),
                'violations': violations(state),
            }
            for node_id, state in nodes.items()
        },
        'groups': groups,
        'counters': sum_counters(nodes.values()),
    }
    return Outcome(body, lines)


def _node_row(node_id: str, state: Sections) -> Sequence[object]:
    node = state.get('node')
    if node is None:
        return [node_id, '-', '-', '-', '-', 'no answer']
    return [
        node_id,
        node['role'],
        node['failure_domain'],
        state['version']['number'],
        violations(state),
        'draining' if node['draining'] else '',
    ]


def _group_lines(groups: Mapping[str, Sections]) -> Sequence[str]:
    rows = [
        (
            group_id,
            group['deployment'],
            group['failure_domain'],
            group['generation'],
            group['model_version'],
            group['state'],
        )
        for group_id, group in groups.items()
    ]
    header = (
        'group', 'deployment', 'failure domain', 'generation', 'version',
        'state',
    )  # fmt: skip
    return table([header, *rows])


async def dump(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> Outcome:
    """Show the state dump."""
    state = await client.get('/state')
    text = orjson.dumps(state, option=orjson.OPT_INDENT_2).decode()
    return Outcome(state, text.splitlines())
