"""Engines that leave, or ask a router to wait, get no further requests.

Explanation
===========
An engine states in every response that it leaves, before the list shows it.
One that refuses requests may name a time in which it wants none.
"""

import asyncio

import pytest

from ...standins.groupengine import GroupEngine
from ...testing.platformsite import PlatformSite, platform_site

REPEATS = 6


async def _wait_until_serving(site: PlatformSite, heads: int = 1) -> None:
    directory = site.routers[0].view.directory
    await site.until(
        lambda: (
            len(directory.targets_by_pool().get('model/small', ())) >= heads
            and len(directory.targets_by_pool().get('ledger/', ())) > 1
        )
    )


def _plain(site: PlatformSite) -> list[GroupEngine]:
    return [engine for engine in site.engines_by_id.values() if engine.is_plain]


async def _send(site: PlatformSite, path: str, count: int = 1) -> list[int]:
    statuses = []
    for _ in range(count):
        async with site.request(path) as response:
            await response.read()
            statuses.append(response.status)
    return statuses


async def test_engine_that_announces_leaving_gets_no_new_requests() -> None:
    async with platform_site() as site:
        await _wait_until_serving(site)
        leaving = _plain(site)[0]
        leaving.faults.announces_leaving = True
        while not leaving.received_requests:
            assert await _send(site, '/lookups/1') == [200]
        received = len(leaving.received_requests)
        assert set(await _send(site, '/lookups/1', REPEATS)) == {200}
        assert len(leaving.received_requests) == received


async def test_entry_written_again_as_ready_does_not_bring_it_back() -> None:
    async with platform_site(plain=1) as site:
        await site.until(
            lambda: bool(
                site.routers[0].view.directory.targets_by_pool().get('ledger/')
            )
        )
        leaving = _plain(site)[0]
        leaving.faults.announces_leaving = True
        assert await _send(site, '/lookups/1') == [200]
        leaving.register()
        await asyncio.sleep(0.5)
        assert await _send(site, '/lookups/1') == [503]
        assert len(leaving.received_requests) == 1


async def test_new_start_time_is_a_new_engine() -> None:
    async with platform_site(plain=1) as site:
        directory = site.routers[0].view.directory
        await site.until(lambda: 'ledger/' in directory.targets_by_pool())
        leaving = _plain(site)[0]
        leaving.faults.announces_leaving = True
        assert await _send(site, '/lookups/1') == [200]
        assert not directory.targets_by_pool().get('ledger/')
        leaving.faults.announces_leaving = False
        leaving.born += 1
        leaving.register()
        await site.until(
            lambda: bool(directory.targets_by_pool().get('ledger/'))
        )
        assert await _send(site, '/lookups/1') == [200]


async def test_stream_of_a_leaving_head_ends_whole_and_is_its_last() -> None:
    async with platform_site(engines=8) as site:
        await _wait_until_serving(site, heads=2)
        for announcing in site.heads():
            announcing.faults.announces_leaving = True
        assert await _send(site, '/notes/1') == [200]
        reached = [head for head in site.heads() if head.received_requests]
        assert len(reached) == 1
        reached[0].faults.announces_leaving = False
        await _send(site, '/notes/1')
        assert len(reached[0].received_requests) == 1


async def test_refusing_engine_is_left_alone_for_as_long_as_it_says() -> None:
    async with platform_site() as site:
        await _wait_until_serving(site)
        refusing = _plain(site)[0]
        refusing.faults.refuses = True
        refusing.faults.retry_after = '30'
        while not refusing.refused:
            assert await _send(site, '/lookups/1') == [200]
        await asyncio.sleep(0.5)
        refused = refusing.refused
        assert set(await _send(site, '/lookups/1', REPEATS)) == {200}
        assert refusing.refused == refused


async def test_request_is_refused_at_once_while_all_engines_back_off() -> None:
    async with platform_site() as site:
        await _wait_until_serving(site)
        for refusing in _plain(site):
            refusing.faults.refuses = True
            refusing.faults.retry_after = '30'
        while not all(engine.refused for engine in _plain(site)):
            await _send(site, '/lookups/1')
        refused = [engine.refused for engine in _plain(site)]
        async with site.request('/lookups/1') as response:
            assert response.status == 503
            assert float(response.headers['Retry-After']) > 20
        assert [engine.refused for engine in _plain(site)] == refused


async def test_backing_off_ends_after_the_time() -> None:
    async with platform_site(plain=1) as site:
        directory = site.routers[0].view.directory
        await site.until(lambda: 'ledger/' in directory.targets_by_pool())
        engine = _plain(site)[0]
        engine.faults.refuses = True
        engine.faults.retry_after = '0.4'
        assert await _send(site, '/refunds/1') == [503]
        engine.faults.refuses = False
        await asyncio.sleep(0.5)
        assert await _send(site, '/refunds/1') == [200]


@pytest.mark.parametrize('retry_after', ['soon', '-3', 'nan', '1e400'])
async def test_malformed_time_is_ignored(retry_after: str) -> None:
    async with platform_site(plain=1) as site:
        directory = site.routers[0].view.directory
        await site.until(lambda: 'ledger/' in directory.targets_by_pool())
        engine = _plain(site)[0]
        engine.faults.refuses = True
        engine.faults.retry_after = retry_after
        assert await _send(site, '/refunds/1') == [503]
        engine.faults.refuses = False
        await asyncio.sleep(0.5)
        assert await _send(site, '/refunds/1') == [200]


async def test_late_refusal_without_a_time_is_retried_elsewhere() -> None:
    # The refusal comes after the time that a request may wait for a slot.
    async with platform_site() as site:
        await _wait_until_serving(site)
        refusing = _plain(site)[0]
        refusing.faults.refuses = True
        refusing.faults.refuses_after_s = 0.2
        while not refusing.refused:
            assert await _send(site, '/lookups/1') == [200]
