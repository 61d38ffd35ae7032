"""Tests that secrets are not exposed and that credentials are separate."""

import asyncio
import io
from typing import Any

import aiohttp
import pytest
from loguru import logger

from ...testing import builders
from ...testing.nodes import TOKEN, running_entry
from ..entrynode import EntryNode
from ..operatorclient import OperatorClient, Refused

PROMPT = 'a-prompt-that-must-not-be-seen'
IDEMPOTENCY_KEY = 'a-key-that-must-not-be-seen'


async def _complete(entry: EntryNode, session: aiohttp.ClientSession) -> None:
    async with session.post(
        f'http://127.0.0.1:{entry.callers_port}/v1/completions',
        json={'model': builders.SERVICE, 'prompt': PROMPT},
        headers={
            'Authorization': f'Bearer {builders.KEY}',
            'Idempotency-Key': IDEMPOTENCY_KEY,
        },
    ) as response:
        await response.read()


async def _state_and_metrics(entry: EntryNode) -> str:
    url = f'http://127.0.0.1:{entry.operators_port}'
    headers = {'Authorization': f'Bearer {TOKEN}'}
    async with aiohttp.ClientSession(headers=headers) as session:
        await _complete(entry, session)
        async with session.get(f'{url}/state') as state:
            state_text = await state.text()
        async with session.get(f'{url}/metrics') as metrics:
            return state_text + await metrics.text()


async def test_no_secret_in_logs_dumps_and_metrics() -> None:
    lines = io.StringIO()
    sink = logger.add(lines, level='DEBUG')
    async with running_entry() as entry:
        state_and_metrics = await _state_and_metrics(entry)
    logger.remove(sink)
    exposed = state_and_metrics + lines.getvalue()
    assert 'entry-0' in exposed
    for secret in (PROMPT, IDEMPOTENCY_KEY, TOKEN, builders.SECRET):
        assert secret not in exposed


@pytest.mark.parametrize('token', ['', 'wrong', builders.KEY])
async def test_operators_port_requires_the_operators_token(token: str) -> None:
    async with running_entry() as entry, aiohttp.ClientSession() as session:
        url = f'http://127.0.0.1:{entry.operators_port}'
        client = OperatorClient(session, url, token)
        answers = await asyncio.gather(
            *(client.get(path) for path in ('/state', '/v1/config')),
            return_exceptions=True,
        )
    assert [type(answer) for answer in answers] == [Refused, Refused]


async def test_callers_port_refuses_the_operators_token() -> None:
    async with running_entry() as entry, aiohttp.ClientSession() as session:
        url = f'http://127.0.0.1:{entry.callers_port}/v1/models'
        headers = {'Authorization': f'Bearer {TOKEN}'}
        async with session.get(url, headers=headers) as response:
            assert response.status == 401


async def test_other_workspaces_services_are_unknown() -> None:
    other = {
        'keys': {},
        'services': {'secret-service': {'template': 'ledger'}},
    }
    document: dict[str, Any] = builders.document()
    workspaces = {**document['workspaces'], 'yard-south': other}
    async with running_entry() as entry, aiohttp.ClientSession() as session:
        version = builders.version(2, workspaces=workspaces)
        entry.runtime.holder.offer(version)
        url = f'http://127.0.0.1:{entry.callers_port}'
        headers = {'Authorization': f'Bearer {builders.KEY}'}
        async with session.get(f'{url}/v1/models', headers=headers) as listed:
            models = await listed.text()
        body = {'model': 'secret-service', 'prompt': 'p'}
        async with session.post(
            f'{url}/v1/completions',
            json=body,
            headers=headers,
        ) as response:
            assert response.status == 404
    assert 'secret-service' not in models
