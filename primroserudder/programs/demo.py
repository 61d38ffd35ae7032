"""The demonstration that ``bin/demo`` runs."""

import argparse
import asyncio
import pathlib
import sys
import uuid
from contextlib import AsyncExitStack

import aiohttp
import orjson

from ..process.logs import configure_logs
from .common import EXIT_FAILED, EXIT_OK, run, wait_until_stopped
from .ctlstate import status
from .local import FAILURE_DOMAINS, LOCAL_TOKEN, Local
from .operatorclient import OperatorClient
from .outcome import show

EXAMPLE = pathlib.Path('examples/local.json')
DEMO_KEY = 'north.demo-secret'
READY_TIMEOUT_S = 20
POLL_S = 0.2
PROMPT = 'How did batch 41 of the north kiln burn?'


def main() -> None:
    """Run the demonstration."""
    demo_parser = argparse.ArgumentParser(prog='bin/demo')
    demo_parser.add_argument(
        '--stay',
        action='store_true',
        help='keep running until SIGTERM or SIGINT',
    )
    arguments = demo_parser.parse_args()
    configure_logs('WARNING', as_json=False)
    sys.exit(run(_demonstrate(stay=arguments.stay)))


async def _demonstrate(*, stay: bool) -> int:
    local = Local()
    await local.start()
    async with AsyncExitStack() as stack:
        stack.push_async_callback(local.stop)
        is_successful = await _run_steps(local)
        if stay:
            ports = orjson.dumps(local.ports()).decode()
            sys.stdout.write(f'ports: {ports}\n')
            sys.stdout.flush()
            await wait_until_stopped()
    return EXIT_OK if is_successful else EXIT_FAILED


async def _run_steps(local: Local) -> bool:
    ports = local.ports()
    operators = ports['operators'][FAILURE_DOMAINS[0]]
    async with aiohttp.ClientSession() as session:
        client = OperatorClient(
            session,
            f'http://127.0.0.1:{operators}',
            LOCAL_TOKEN,
        )
        await _apply(client)
        is_ready = await _wait_for_groups(client)
        callers = ports['callers'][FAILURE_DOMAINS[0]]
        answer = await _stream(session, f'http://127.0.0.1:{callers}')
        sys.stdout.write(f'{PROMPT}\n{answer}\n\n')
        show(await status(client, argparse.Namespace()), as_json=False)
    return is_ready and bool(answer)


async def _apply(client: OperatorClient) -> None:
    submission = uuid.uuid4().hex
    path = f'/v1/config?base=0&submission={submission}'
    number = (await client.post(path, EXAMPLE.read_bytes()))['number']
    sys.stdout.write(f'configuration version {number}\n')


async def _wait_for_groups(client: OperatorClient) -> bool:
    for _ in range(int(READY_TIMEOUT_S / POLL_S)):
        state = await client.get('/state')
        states = [group['state'] for group in state['groups'].values()]
        if states and set(states) == {'serving'}:
            return True
        await asyncio.sleep(POLL_S)
    return False


async def _stream(session: aiohttp.ClientSession, url: str) -> str:
    body = {
        'model': 'ledger',
        'prompt': PROMPT,
        'stream': True,
        'max_tokens': 12,
    }
    async with session.post(
        f'{url}/v1/completions',
        json=body,
        headers={'Authorization': f'Bearer {DEMO_KEY}'},
    ) as response:
        raw = await response.text()
    events = [
        line.removeprefix('data: ')
        for line in raw.splitlines()
        if line.startswith('data: {')
    ]
    if not raw.endswith('data: [DONE]\n\n'):
        return ''
    return ''.join(
        orjson.loads(event)['choices'][0]['text'] for event in events
    )


if __name__ == '__main__':
    main()
