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
from .sitestate import node_versions

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
    _add_questions(commands)


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


def _add_questions(commands: Commands) -> None:
    made = commands.add_parser('versions', help='versions in force by node')
    made.add_argument(
        '--history',
        type=int,
        metavar='COUNT',
        help='show the last accepted versions instead',
    )
    made.set_defaults(command=versions)
    made = commands.add_parser('submission', help='what a submission became')
    made.add_argument('submission', metavar='ID')
    made.set_defaults(command=submission)


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
    name = arguments.submission or uuid.uuid4().hex
    path = f'/v1/config?base={base}&submission={name}'
    number = (await client.post(path, body))['number']
    found = {'number': number, 'submission': name}
    line = f'version {number} accepted (submission {name})'
    if not arguments.wait:
        return Outcome(found, (line,))
    return await _wait(client, number, arguments.timeout, line)


async def versions(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> Outcome:
    """Show the version in force on each node and which nodes lag."""
    if arguments.history is not None:
        return await _history(client, arguments.history)
    held = await node_versions(client)
    newest = max(version.number or 0 for version in held)
    rows = [
        (version.node_id, _shown(version.number), version.note(newest))
        for version in held
    ]
    body = {
        version.node_id: {
            'number': version.number,
            'lags': version.lags(newest),
            'note': version.note(newest),
        }
        for version in held
    }
    return Outcome(body, table([('node', 'version', 'note'), *rows]))


async def submission(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> Outcome:
    """Tell whether a submission was accepted."""
    name = arguments.submission
    found = await client.get(f'/v1/config/submissions/{name}')
    number = found['number']
    line = (
        f'submission {name} is not accepted; apply it again under this id'
        if number is None
        else f'submission {name} was accepted as version {number}'
    )
    return Outcome(found, (line,))


async def _history(client: OperatorClient, limit: int) -> Outcome:
    found = await client.get(f'/v1/config/history?limit={limit}')
    rows = [
        (accepted['number'], accepted['submission'], accepted['digest'])
        for accepted in found
    ]
    return Outcome(found, table([('version', 'submission', 'digest'), *rows]))


async def _wait(
    client: OperatorClient,
    number: int,
    timeout_s: float,
    line: str,
) -> Outcome:
    began = time.monotonic()
    behind = await _behind(client, number)
    while behind and time.monotonic() - began < timeout_s:
        await asyncio.sleep(WAIT_POLL_S)
        behind = await _behind(client, number)
    if not behind:
        found = {'number': number, 'lagging': []}
        return Outcome(found, (line, 'in force on all known nodes'))
    named = ', '.join(behind)
    return Outcome(
        {'number': number, 'lagging': behind},
        (line, f'not yet in force on {named}; see rudderctl versions'),
        EXIT_TIMED_OUT,
    )


async def _behind(client: OperatorClient, number: int) -> list[str]:
    held = await node_versions(client)
    return [version.node_id for version in held if version.lags(number)]


def _shown(number: int | None) -> str:
    return '-' if number is None else str(number)


def _read(path: pathlib.Path) -> Version:
    try:
        body = path.read_bytes()
    except OSError as error:
        raise ConfigurationError(
            f'{path}: cannot be read: {error.strerror}',
            remedy='name a readable configuration file',
        ) from error
    return make_version(1, body, str(path))
