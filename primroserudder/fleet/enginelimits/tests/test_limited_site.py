"""Several routers keep to the limit that an engine names, over loopback.

Explanation
===========
An engine that names a limit takes so many requests a second from all routers
together. It must not get more than one and a half times that in any window,
and five requests more.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from ....standins.groupengine import GroupEngine
from ....testing.limitedload import SteadyLoad, most_received
from ....testing.platformsite import PlatformSite, platform_site
from ...router import Router

LIMIT_PER_S = 4
WINDOW_S = 2.0
MOST_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
# A site may take this long to act on a limit that is named for the first time.
REACTION_S = 1.0
LOAD_S = 4.0


async def _wait_until_serving(site: PlatformSite, pool: str) -> None:
    directories = [router.view.directory for router in site.routers]
    await site.until(
        lambda: all(
            len(directory.targets_by_pool().get(pool, ())) > 1
            for directory in directories
        )
    )


@asynccontextmanager
async def _site_of_one_engine() -> AsyncIterator[
    tuple[PlatformSite, GroupEngine]
]:
    """Run a site whose only plain engine is in use."""
    async with platform_site(plain=1) as site:
        directory = site.routers[0].view.directory
        await site.until(lambda: 'ledger/' in directory.targets_by_pool())
        yield site, site.engines_by_id['i-6']


async def _most_received(
    site: PlatformSite, limited: GroupEngine, path: str
) -> int:
    load = SteadyLoad(site, path, rate_per_s=60)
    since = asyncio.get_running_loop().time() + REACTION_S
    limited.faults.limit = str(LIMIT_PER_S)
    await load.run(LOAD_S)
    assert set(load.statuses) == {200}
    return most_received(limited, since, WINDOW_S)


async def test_plain_engine_gets_no_more_than_it_names() -> None:
    async with platform_site(routers=3) as site:
        await _wait_until_serving(site, 'ledger/')
        limited = site.engines_by_id['i-7']
        received = await _most_received(site, limited, '/lookups/1')
        assert LIMIT_PER_S <= received <= MOST_IN_WINDOW


async def test_head_gets_no_more_than_it_names() -> None:
    async with platform_site(engines=10, routers=3) as site:
        await _wait_until_serving(site, 'model/small')
        limited = site.heads()[0]
        received = await _most_received(site, limited, '/notes/1')
        assert LIMIT_PER_S <= received <= MOST_IN_WINDOW


async def test_requests_over_all_limits_are_refused_at_once() -> None:
    async with _site_of_one_engine() as (site, limited):
        limited.faults.limit = '0.2'
        statuses = []
        # The first answer names the limit; one request more fits in it.
        for _ in range(2):
            async with site.request('/refunds/1') as response:
                statuses.append(response.status)
        async with site.request('/refunds/1') as response:
            assert response.status == 503
            assert 1 < float(response.headers['Retry-After']) <= 5
        assert statuses == [200, 200]
        assert not site.routers[0].in_flight_counts.waiting_by_pool
        assert len(limited.received_requests) == 2


async def test_limit_of_one_engine_refuses_nothing_that_others_take() -> None:
    async with platform_site(routers=3) as site:
        await _wait_until_serving(site, 'ledger/')
        site.engines_by_id['i-7'].faults.limit = '0'
        load = SteadyLoad(site, '/refunds/1', rate_per_s=40)
        await load.run(2.0)
        assert set(load.statuses) == {200}


async def test_limit_holds_no_longer_than_the_engine_says_so() -> None:
    async with _site_of_one_engine() as (site, limited):
        limited.faults.limit = '2'
        await SteadyLoad(site, '/refunds/1', rate_per_s=20).run(0.5)
        limited.faults.limit = ''
        await asyncio.sleep(2.1)
        load = SteadyLoad(site, '/refunds/1', rate_per_s=20)
        await load.run(0.5)
        assert set(load.statuses) == {200}


async def test_limit_ends_with_the_incarnation() -> None:
    async with _site_of_one_engine() as (site, limited):
        limited.faults.limit = '0.2'
        await SteadyLoad(site, '/refunds/1', rate_per_s=20).run(0.3)
        limited.faults.limit = ''
        limited.born += 1
        limited.register()
        directory = site.routers[0].view.directory
        await site.until(
            lambda: (
                directory.targets_by_pool()['ledger/'][0].born_ms
                == limited.born
            )
        )
        load = SteadyLoad(site, '/refunds/1', rate_per_s=20)
        await load.run(0.5)
        assert set(load.statuses) == {200}


async def test_router_that_starts_again_is_told_before_it_sends() -> None:
    async with platform_site(plain=2, routers=2) as site:
        await _wait_until_serving(site, 'ledger/')
        site.engines_by_id['i-7'].faults.limit = '2'
        await SteadyLoad(site, '/lookups/1', rate_per_s=40).run(1.0)
        assert not site.routers[1].limits.registry.is_empty()
        settings = site.routers[1].settings
        await site.routers[1].close()
        site.routers[1] = Router(settings)
        await site.routers[1].start()
        registry = site.routers[1].limits.registry
        await site.until(lambda: bool(registry.rates_by_key()))
        assert set(registry.rates_by_key().values()) == {2}


@pytest.mark.parametrize('text', ['soon', '-3', 'nan', '1e400', ' '])
async def test_malformed_limit_is_ignored(text: str) -> None:
    async with _site_of_one_engine() as (site, limited):
        limited.faults.limit = text
        load = SteadyLoad(site, '/refunds/1', rate_per_s=20)
        await load.run(0.5)
        assert set(load.statuses) == {200}
        assert site.routers[0].limits.registry.is_empty()
