"""Callers of a router that lost its links to all engines are served.

Explanation
===========
Callers, the store and the other routers still reach such a router. Its callers
must be served at the first try about as often as those of the others.
"""

import asyncio
import itertools

import pytest

from ....standins.groupengine import event
from ....testing.enginecuts import CutKind, cut_off_from_engines
from ....testing.platformsite import PlatformSite, platform_site

ATTEMPT_ID = 'X-Primroserudder-Attempt-Id'
# A cut may take so long to be noticed; the users allow three seconds.
REACTION_S = 1.5
REQUESTS = 20


async def _wait_until_serving(site: PlatformSite) -> None:
    directories = [router.view.directory for router in site.routers]
    await site.until(
        lambda: all(
            {'ledger/', 'model/small'} <= directory.targets_by_pool().keys()
            for directory in directories
        )
    )


async def _statuses(site: PlatformSite, path: str, count: int) -> list[int]:
    statuses = []
    for _ in range(count):
        async with site.request(path) as response:
            await response.read()
            statuses.append(response.status)
        await asyncio.sleep(0.02)
    return statuses


async def _send_until_noticed(site: PlatformSite) -> None:
    loop = asyncio.get_running_loop()
    noticed_at = loop.time() + REACTION_S
    while loop.time() < noticed_at:
        await _statuses(site, '/lookups/1', 1)


@pytest.mark.parametrize('kind', CutKind)
@pytest.mark.parametrize('path', ['/notes/1', '/refunds/1', '/lookups/1'])
async def test_callers_of_a_router_without_links_to_engines_are_served(
    kind: CutKind, path: str
) -> None:
    async with platform_site(routers=3) as site:
        await _wait_until_serving(site)
        with cut_off_from_engines(site, site.routers[0], kind):
            await _send_until_noticed(site)
            statuses = await _statuses(site, path, REQUESTS)
        assert set(statuses) == {200}


@pytest.mark.parametrize('kind', [CutKind.REFUSED, CutKind.SILENT])
async def test_stream_that_runs_as_the_links_are_lost_ends_whole(
    kind: CutKind,
) -> None:
    async with platform_site(engines=8, routers=3) as site:
        await _wait_until_serving(site)
        for engine in site.engines_by_id.values():
            engine.events = 60
        async with site.request(
            '/notes/1', headers={ATTEMPT_ID: 'one'}
        ) as response:
            await response.content.readany()
            with cut_off_from_engines(site, site.routers[0], kind):
                noise = asyncio.ensure_future(_send_until_noticed(site))
                rest = await response.read()
                await noise
        assert rest.endswith(event(60))
        assert response.status == 200


async def test_refund_of_a_router_without_links_runs_once() -> None:
    async with platform_site(routers=3) as site:
        await _wait_until_serving(site)
        ids = map('refund-{0}'.format, itertools.count())
        with cut_off_from_engines(site, site.routers[0], CutKind.REFUSED):
            await _send_until_noticed(site)
            for attempt_id in itertools.islice(ids, REQUESTS):
                headers = {ATTEMPT_ID: attempt_id}
                async with site.request(
                    '/refunds/1', headers=headers
                ) as response:
                    await response.read()
                assert response.status == 200
                assert len(site.arrivals(attempt_id)) == 1


async def test_second_of_silence_of_all_engines_is_no_loss_of_links() -> None:
    # They accept connections, as sound engines do that pause.
    async with platform_site(routers=2) as site:
        await _wait_until_serving(site)
        reach = site.routers[0].forwarder.reach
        for engine in site.engines_by_id.values():
            engine.faults.is_silent = True
        reach.doubt()
        async with asyncio.timeout(1):
            await reach.settled()
        assert not reach.is_cut_off
        for engine in site.engines_by_id.values():
            engine.faults.is_silent = False
        statuses = await _statuses(site, '/refunds/1', REQUESTS)
        assert set(statuses) == {200}
