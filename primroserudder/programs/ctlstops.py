"""Commands of ``rudderctl`` about planned stops and roll-outs."""

import argparse
import asyncio
import time
import uuid
from collections.abc import Mapping, Sequence
from typing import Any

import orjson

from .ctlconfig import EXIT_TIMED_OUT
from .operatorclient import OperatorClient
from .outcome import Commands, Outcome, table

KINDS = ('vm', 'group', 'fabric-domain', 'failure-domain', 'entry')
SAFE = 'safe'
WAIT_POLL_S = 0.5
WAIT_TIMEOUT_S = 900
HEADER = ('stop', 'kind', 'target', 'failure domain', 'state', 'groups left')
ROLLOUT_ACTIONS = ('halt', 'resume', 'in-place')


def add_commands(commands: Commands) -> None:
    """Add the commands to a parser."""
    stop_parser = commands.add_parser(
        'stop', help='plan, list and cancel planned stops'
    )
    actions = stop_parser.add_subparsers(required=True, metavar='ACTION')
    _add_plan(actions.add_parser('plan', help='plan a stop'))
    list_parser = actions.add_parser('list', help='list the stops')
    list_parser.set_defaults(command=list_stops)
    cancel_parser = actions.add_parser('cancel', help='cancel or end a stop')
    cancel_parser.add_argument('id')
    cancel_parser.set_defaults(command=cancel)
    _add_rollout(commands)


def _add_plan(plan_parser: argparse.ArgumentParser) -> None:
    plan_parser.add_argument('kind', choices=KINDS)
    plan_parser.add_argument(
        'target', help='name of the VM, group, domain or entry to stop'
    )
    plan_parser.add_argument('--id', help='id of the stop; repeats are safe')
    plan_parser.add_argument(
        '--accept-loss',
        action='store_true',
        help='plan the stop although some groups cannot be replaced',
    )
    plan_parser.add_argument(
        '--dry-run',
        action='store_true',
        help='only show the effect on capacity',
    )
    plan_parser.add_argument(
        '--wait', action='store_true', help='wait until the stop is safe'
    )
    plan_parser.add_argument(
        '--timeout', type=float, default=WAIT_TIMEOUT_S, help='seconds to wait'
    )
    plan_parser.set_defaults(command=plan)


def _add_rollout(commands: Commands) -> None:
    rollout_parser = commands.add_parser(
        'rollout', help='halt or resume a roll-out, or allow it in place'
    )
    rollout_parser.add_argument('action', choices=ROLLOUT_ACTIONS)
    rollout_parser.add_argument('failure_domain')
    rollout_parser.add_argument('deployment')
    rollout_parser.set_defaults(command=rollout)


async def plan(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> Outcome:
    """Show the effect of a stop and, without ``--dry-run``, plan it."""
    order = {
        'stop_id': arguments.id or uuid.uuid4().hex,
        'kind': arguments.kind,
        'target': arguments.target,
        'accepts_loss': arguments.accept_loss,
    }
    trial = await client.post(
        '/v1/stops',
        orjson.dumps({**order, 'is_trial': True}),
    )
    lines = _effect_lines(trial['effect'])
    if arguments.dry_run:
        return Outcome(trial, lines)
    planned = await client.post('/v1/stops', orjson.dumps(order))
    stop_id = planned['stop']['stop_id']
    lines = [*lines, f'stop {stop_id} is planned']
    if not arguments.wait:
        return Outcome(planned, lines)
    return await _wait(client, stop_id, arguments.timeout, lines)


async def list_stops(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> Outcome:
    """List the stops."""
    stops = await client.get('/v1/stops')
    return Outcome(stops, table([HEADER, *map(_stop_row, stops)]))


async def cancel(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> Outcome:
    """Cancel or end a stop."""
    stop = await client.delete(f'/v1/stops/{arguments.id}')
    return Outcome(stop, (f'stop {arguments.id} is cancelled',))


async def rollout(
    client: OperatorClient,
    arguments: argparse.Namespace,
) -> Outcome:
    """Halt or resume a roll-out, or allow it in place."""
    order = {
        'is_halted': arguments.action == 'halt',
        'is_in_place': arguments.action == 'in-place',
    }
    path = f'/v1/rollouts/{arguments.failure_domain}/{arguments.deployment}'
    state = await client.post(path, orjson.dumps(order))
    line = f'roll-out of {arguments.deployment}: {arguments.action}'
    return Outcome(state, (line,))


async def _wait(
    client: OperatorClient,
    stop_id: str,
    timeout_s: float,
    lines: Sequence[str],
) -> Outcome:
    started_at = time.monotonic()
    stop = await _read_stop(client, stop_id)
    while stop['state'] != SAFE and time.monotonic() - started_at < timeout_s:
        await asyncio.sleep(WAIT_POLL_S)
        stop = await _read_stop(client, stop_id)
    state = stop['state']
    exit_code = 0 if state == SAFE else EXIT_TIMED_OUT
    return Outcome(stop, (*lines, f'stop {stop_id} is {state}'), exit_code)


async def _read_stop(client: OperatorClient, stop_id: str) -> Mapping[str, Any]:
    stops = await client.get('/v1/stops')
    by_id: dict[str, Mapping[str, Any]] = {
        stop['stop_id']: stop for stop in stops
    }
    return by_id.get(stop_id, {'stop_id': stop_id, 'state': 'cancelled'})


def _stop_row(stop: Mapping[str, Any]) -> Sequence[object]:
    columns = ('stop_id', 'kind', 'target', 'failure_domain', 'state', 'note')
    return [stop[column] for column in columns]


def _effect_lines(effect: Mapping[str, Any]) -> Sequence[str]:
    vms = len(effect['vms'])
    stopped = len(effect['groups'])
    serving = effect['serving']
    replaceable = effect['replaceable']
    lost = effect['lost']
    group_ids = ', '.join(effect['groups'])
    return [
        f'takes out {vms} VMs and {stopped} of {serving} groups: {group_ids}',
        f'{replaceable} groups can be replaced from spare VMs first',
        f'{lost} groups go without a replacement',
    ]
