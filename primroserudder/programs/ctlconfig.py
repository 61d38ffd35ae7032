"""Commands of ``rudderctl`` about the configuration."""

import argparse
import asyncio
import pathlib
import time
import uuid

from ..version.document import ConfigurationError
from ..version.holder import Version, make_version
from .operatorclient import OperatorClient
from .outcome import Commands, Outcome, table

EXIT_TIMED_OUT = 5
WAIT_POLL_S = 0.2
WAIT_TIMEOUT_S = 30


def add_commands(commands: Commands) -> None:
    """Add the commands to a parser."""
    for name, command, text in (
        ('check', check, 'check a configuration file'),
        ('render', render, 'show the services that a file renders to'),
    ):
        made = commands.add_parser(name, help=text)
        made.add_argument('file', type=pathlib.Path)
        made.set_defaults(command=command)
    _add_apply(commands)
    made = commands.add_parser('versions', help='versions in force by node')
    made.set_defaults(command=versions)


def _add_apply(commands: Commands) -> None:
    made = commands.add_parser('apply', help='submit a configuration file')
    made.add_argument('file', type=pathlib.Path)
    made.add_argument('--base', type=int, help='version that was changed')
    made.add_argument('--submission', help='id under which to ask again')
    made.add_argument('--wait', action='store_true', help='until in force')
    made.add_argument(
        '--timeout', type=float, default=WAIT_TIMEOUT_S, help='seconds'
    )
    made.set_defaults(command=apply)


async def check(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> Outcome:
    """Check a file without submitting it."""
    _read(arguments.file)
    line = f'{arguments.file}: ok'
    return Outcome({'file': str(arguments.file), 'ok': True}, (line,))


async def render(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> Outcome:
    """Show the services of each workspace."""
    version = _read(arguments.file)
    by_workspace = version.rendered.services_by_workspace
    rendered = {
        workspace: {
            name: service.model_dump() for name, service in services.items()
        }
        for workspace, services in by_workspace.items()
    }
    lines = [
        f'{workspace}/{name}: {service}'
        for workspace, services in rendered.items()
        for name, service in services.items()
    ]
    return Outcome(rendered, lines)


async def apply(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> Outcome:
    """Submit a file and, if asked, wait until it is in force everywhere."""
    body = _read(arguments.file).body
    base = arguments.base
    if base is None:
        base = (await client.get('/v1/config'))['number']
    submission = arguments.submission or uuid.uuid4().hex
    path = f'/v1/config?base={base}&submission={submission}'
    number = (await client.post(path, body))['number']
    found = {'number': number, 'submission': submission}
    line = f'version {number} accepted (submission {submission})'
    if not arguments.wait:
        return Outcome(found, (line,))
    return await _wait(client, number, arguments.timeout, line)


async def versions(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> Outcome:
    """Show the version in force on each node and which nodes lag."""
    numbers = await _numbers(client)
    newest = max(numbers.values())
    rows = [
        (node, number, '' if number == newest else 'lags')
        for node, number in sorted(numbers.items())
    ]
    return Outcome(numbers, table([('node', 'version', ''), *rows]))


async def _wait(
    client: OperatorClient,
    number: int,
    timeout_s: float,
    line: str,
) -> Outcome:
    began = time.monotonic()
    while time.monotonic() - began < timeout_s:
        numbers = await _numbers(client)
        if min(numbers.values()) >= number:
            return Outcome(
                {'number': number, 'nodes': numbers},
                (line, f'in force on {len(numbers)} nodes'),
            )
        await asyncio.sleep(WAIT_POLL_S)
    behind = sorted(node for node, held in numbers.items() if held < number)
    named = ', '.join(behind)
    return Outcome(
        {'number': number, 'lagging': behind},
        (line, f'not yet in force on {named}'),
        EXIT_TIMED_OUT,
    )


async def _numbers(client: OperatorClient) -> dict[str, int]:
    state = await client.get('/state')
    peers = {
        node: peer['version']
        for node, peer in state['peers'].items()
        if peer['heard_s_ago'] is not None
    }
    return {state['node']['node_id']: state['version']['number'], **peers}


def _read(path: pathlib.Path) -> Version:
    try:
        body = path.read_bytes()
    except OSError as error:
        raise ConfigurationError(
            f'{path}: cannot be read: {error.strerror}',
            remedy='name a readable configuration file',
        ) from error
    return make_version(1, body, str(path))
