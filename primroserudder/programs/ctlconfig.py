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
        command_parser = commands.add_parser(name, help=text)
        command_parser.add_argument('file', type=pathlib.Path)
        command_parser.set_defaults(command=command)
    _add_apply(commands)
    _add_queries(commands)


def _add_apply(commands: Commands) -> None:
    command_parser = commands.add_parser(
        'apply', help='submit a configuration file'
    )
    command_parser.add_argument('file', type=pathlib.Path)
    command_parser.add_argument(
        '--base',
        type=int,
        help='number of the version that the file is based on',
    )
    command_parser.add_argument(
        '--submission', help='id of the submission; repeats are safe'
    )
    command_parser.add_argument(
        '--wait', action='store_true', help='wait until the version is in force'
    )
    command_parser.add_argument(
        '--timeout', type=float, default=WAIT_TIMEOUT_S, help='seconds to wait'
    )
    command_parser.set_defaults(command=apply)


def _add_queries(commands: Commands) -> None:
    command_parser = commands.add_parser(
        'versions', help='show the version in force on each node'
    )
    command_parser.add_argument(
        '--history',
        type=int,
        metavar='COUNT',
        help='show this many of the last accepted versions instead',
    )
    command_parser.set_defaults(command=versions)
    command_parser = commands.add_parser(
        'submission', help='show whether a submission was accepted'
    )
    command_parser.add_argument('submission', metavar='ID')
    command_parser.set_defaults(command=submission)


async def check(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> Outcome:
    """Check a file without submitting it."""
    _read_version(arguments.file)
    line = f'{arguments.file}: ok'
    return Outcome({'file': str(arguments.file), 'ok': True}, (line,))


async def render(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> Outcome:
    """Show the services of each workspace."""
    version = _read_version(arguments.file)
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
    """Submit a file and, with ``--wait``, wait until all nodes use it."""
    body = _read_version(arguments.file).body
    base = arguments.base
    if base is None:
        base = (await client.get('/v1/config'))['number']
    submission_id = arguments.submission or uuid.uuid4().hex
    path = f'/v1/config?base={base}&submission={submission_id}'
    number = (await client.post(path, body))['number']
    accepted = {'number': number, 'submission': submission_id}
    line = f'version {number} accepted (submission {submission_id})'
    if not arguments.wait:
        return Outcome(accepted, (line,))
    return await _wait(client, number, arguments.timeout, line)


async def versions(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> Outcome:
    """Show the version in force on each node and which nodes lag."""
    if arguments.history is not None:
        return await _history(client, arguments.history)
    known_versions = await node_versions(client)
    newest = max(version.number or 0 for version in known_versions)
    rows = [
        (version.node_id, _number_text(version.number), version.note(newest))
        for version in known_versions
    ]
    body = {
        version.node_id: {
            'number': version.number,
            'lags': version.lags(newest),
            'note': version.note(newest),
        }
        for version in known_versions
    }
    return Outcome(body, table([('node', 'version', 'note'), *rows]))


async def submission(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> Outcome:
    """Show whether a submission was accepted."""
    submission_id = arguments.submission
    record = await client.get(f'/v1/config/submissions/{submission_id}')
    number = record['number']
    line = (
        f'submission {submission_id} is not accepted; '
        'apply it again under this id'
        if number is None
        else f'submission {submission_id} was accepted as version {number}'
    )
    return Outcome(record, (line,))


async def _history(client: OperatorClient, limit: int) -> Outcome:
    history = await client.get(f'/v1/config/history?limit={limit}')
    rows = [
        (accepted['number'], accepted['submission'], accepted['digest'])
        for accepted in history
    ]
    return Outcome(history, table([('version', 'submission', 'digest'), *rows]))


async def _wait(
    client: OperatorClient,
    number: int,
    timeout_s: float,
    line: str,
) -> Outcome:
    started_at = time.monotonic()
    lagging = await _lagging_nodes(client, number)
    while lagging and time.monotonic() - started_at < timeout_s:
        await asyncio.sleep(WAIT_POLL_S)
        lagging = await _lagging_nodes(client, number)
    if not lagging:
        body = {'number': number, 'lagging': []}
        return Outcome(body, (line, 'in force on all known nodes'))
    node_ids = ', '.join(lagging)
    return Outcome(
        {'number': number, 'lagging': lagging},
        (line, f'not yet in force on {node_ids}; see rudderctl versions'),
        EXIT_TIMED_OUT,
    )


async def _lagging_nodes(client: OperatorClient, number: int) -> list[str]:
    nodes = await node_versions(client)
    return [version.node_id for version in nodes if version.lags(number)]


def _number_text(number: int | None) -> str:
    return '-' if number is None else str(number)


def _read_version(path: pathlib.Path) -> Version:
    try:
        body = path.read_bytes()
    except OSError as error:
        raise ConfigurationError(
            f'{path}: cannot be read: {error.strerror}',
            remedy='name a readable configuration file',
        ) from error
    return make_version(1, body, str(path))
