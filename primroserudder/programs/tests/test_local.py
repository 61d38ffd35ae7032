"""End-to-end test with all roles in one process on loopback."""

import asyncio
import random

import aiohttp
import pytest

from ...process.clock import SystemClock
from ..demo import DEMO_KEY, EXAMPLE
from ..loadtool import LoadPlan, LoadTool
from ..local import LOCAL_TOKEN, Local
from ..operatorclient import OperatorClient


async def _wait_until_serving(client: OperatorClient, count: int) -> None:
    for _ in range(100):
        groups = (await client.get('/state'))['groups']
        serving = [
            group for group in groups.values() if group['state'] == 'serving'
        ]
        if len(serving) == count:
            return
        await asyncio.sleep(0.2)
    pytest.fail('the groups did not reach the state serving')


async def test_callers_get_whole_answers_in_every_failure_domain() -> None:
    local = Local()
    await local.start()
    async with aiohttp.ClientSession() as session:
        ports = local.ports()
        clients = [
            OperatorClient(
                session,
                f'http://127.0.0.1:{port}',
                LOCAL_TOKEN,
            )
            for port in ports['operators'].values()
        ]
        path = '/v1/config?base=0&submission=s1'
        await clients[0].post(path, EXAMPLE.read_bytes())
        for client in clients:
            await _wait_until_serving(client, 6)
        plan = LoadPlan(
            urls=tuple(
                f'http://127.0.0.1:{port}' for port in ports['callers'].values()
            ),
            keys=(DEMO_KEY,),
            model='ledger',
            requests=60,
            rate=100,
            concurrency=60,
            prompt_words=20,
            max_tokens=20,
            is_streamed=True,
            seed=1,
        )
        tool = LoadTool(session, plan, SystemClock(), random.Random(1))
        report = await tool.run()
    await local.stop()
    assert report.outcomes_by_code == {'ok': 60}
    assert report.tokens == 60 * 20
