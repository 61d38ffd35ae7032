"""Tests of requests with idempotency keys: entries, platform, service."""

import argparse
from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack
from dataclasses import dataclass

import aiohttp
import pytest

from ...connection.drain import DrainStage
from ...process.settings import EntrySettings
from ...standins.fleet import Standins
from ...standins.settings import PlainService
from ...testing import builders, nodes
from ..ctlkeys import show_key
from ..entrynode import EntryNode
from ..operatorclient import OperatorClient, Refused

PLAIN = 'refunds'
PATH = '/services/refunds/pay'


@dataclass(slots=True)
class Site:
    """Two entries that forward requests to one plain service."""

    standins: Standins
    entries: list[EntryNode]
    session: aiohttp.ClientSession

    async def post(
        self,
        index: int,
        headers: Mapping[str, str],
        path: str = PATH,
        body: bytes = b'refund 41',
    ) -> tuple[int, str, bytes]:
        """Return the status, the header ``Rudder-Ran`` and the body."""
        port = self.entries[index].callers_port
        async with self.session.post(
            f'http://127.0.0.1:{port}{path}',
            data=body,
            headers={'Authorization': f'Bearer {builders.KEY}', **headers},
        ) as response:
            ran = response.headers.get('Rudder-Ran', '')
            return response.status, ran, await response.read()

    async def mint(self, index: int) -> str:
        """Return an idempotency key that an entry mints."""
        port = self.entries[index].callers_port
        async with self.session.post(
            f'http://127.0.0.1:{port}/v1/idempotency-keys',
            headers={'Authorization': f'Bearer {builders.KEY}'},
        ) as response:
            return str((await response.json())['idempotency_key'])

    def runs(self, body: str = 'refund 41') -> int:
        """Return how often the service ran the request with this body."""
        return self.standins.plain_by_name[PLAIN].runs_by_body[body]

    def operator(self, index: int) -> OperatorClient:
        """Return a client of an entry's operators' port."""
        port = self.entries[index].operators_port
        url = f'http://127.0.0.1:{port}'
        return OperatorClient(self.session, url, nodes.TOKEN)


def _settings(platform_port: int, index: int) -> EntrySettings:
    settings = nodes.entry_settings(platform_port, index)
    return settings.model_copy(update={'minting_secret': 'x' * 16})


@pytest.fixture
async def site() -> AsyncIterator[Site]:
    async with AsyncExitStack() as stack:
        plain = PlainService(name=PLAIN, port=0)
        settings = nodes.standin_settings(1)
        standins = Standins(settings.model_copy(update={'plain': (plain,)}))
        await standins.start()
        stack.push_async_callback(standins.stop)
        ports = standins.ports_by_name
        url = f'http://127.0.0.1:{ports[PLAIN]}'
        version = builders.version(**builders.with_plain([url]))
        entries = [
            EntryNode(_settings(ports['platform'], index)) for index in (0, 1)
        ]
        for entry in entries:
            await entry.start()
            stack.push_async_callback(entry.stop)
            entry.runtime.holder.offer(version)
            # No load balancer needs time to notice that the entry drains.
            entry.drain.notice_s = 0
        session = await stack.enter_async_context(aiohttp.ClientSession())
        yield Site(standins, entries, session)


async def test_own_key_runs_once_with_one_answer_at_both_entries(
    site: Site,
) -> None:
    key = {'Idempotency-Key': 'refund-41'}
    first = await site.post(0, key)
    repeated = await site.post(0, key)
    await site.entries[0].keyed.wait_until_idle()
    at_other_entry = await site.post(1, key)
    assert first[:2] == (200, 'yes')
    assert first == at_other_entry
    # The repeated request may arrive before the outcome is written.
    assert repeated == first or repeated[0] == 409
    assert site.runs() == 1


async def test_minted_key_is_forwarded_to_its_entry_in_an_outage(
    site: Site,
) -> None:
    key = {'Idempotency-Key': await site.mint(0)}
    site.standins.platform.faults.is_down = True
    first = await site.post(1, key)
    assert first[:2] == (200, 'yes')
    assert await site.post(0, key) == first
    assert await site.post(1, key) == first
    assert site.runs() == 1


async def test_own_key_in_an_outage_is_refused_without_running(
    site: Site,
) -> None:
    site.standins.platform.faults.is_down = True
    status, ran, body = await site.post(0, {'Idempotency-Key': 'k'})
    assert (status, ran) == (503, 'unknown')
    assert b'"key_not_checked"' in body
    site.standins.platform.faults.is_down = False
    assert site.runs() == 0


@pytest.mark.parametrize(
    ('headers', 'expected'),
    [({}, 'no'), ({'Idempotency-Key': 'k'}, 'unknown')],
)
async def test_refused_repeat_of_a_keyed_request_may_have_run(
    site: Site,
    headers: dict[str, str],
    expected: str,
) -> None:
    await site.post(0, headers)
    site.entries[0].drain.stage = DrainStage.FINISHING
    status, ran, body = await site.post(0, headers)
    assert (status, b'"entry_stopping"' in body) == (503, True)
    assert ran == expected


async def test_other_body_under_the_key_is_refused_through_a_peer(
    site: Site,
) -> None:
    key = {'Idempotency-Key': await site.mint(0)}
    await site.post(1, key)
    status, _, body = await site.post(1, key, body=b'refund 42')
    assert status == 422
    assert b'refund 41' not in body
    assert site.runs('refund 42') == 0


async def test_request_without_a_key_is_forwarded(site: Site) -> None:
    status, ran, body = await site.post(0, {'Rudder-Idempotent': 'false'})
    assert (status, ran) == (200, 'yes')
    assert b'"path":"/pay"' in body


async def test_operator_looks_up_a_key(site: Site) -> None:
    await site.post(0, {'Idempotency-Key': 'refund-41'})
    await site.entries[0].keyed.wait_until_idle()
    arguments = argparse.Namespace(
        workspace=builders.WORKSPACE, key='refund-41'
    )
    outcome = await show_key(site.operator(1), arguments)
    assert isinstance(outcome.body, dict)
    assert outcome.body['state'] == 'done'
    assert outcome.body['node_id'] == 'entry-0'
    assert 'answer' not in outcome.body
    with pytest.raises(Refused, match='no record'):
        await show_key(
            site.operator(1),
            argparse.Namespace(workspace=builders.WORKSPACE, key='other'),
        )
