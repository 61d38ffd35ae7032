"""Requests bound to a region over loopback: served there or refused."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from ....testing.enginecuts import CutKind, cut_off_from_engines
from ....testing.platformsite import (
    KEY,
    WORKSPACE,
    PlatformSite,
    configuration,
    platform_site,
)

SOUTH = ('i-3', 'i-4', 'i-5', 'i-7')
REQUESTS = 20


@asynccontextmanager
async def _site(
    route_regions: object = None,
    workspace_regions: object = None,
    routers: int = 1,
) -> AsyncIterator[PlatformSite]:
    """Run a site with engines in two regions and the router in the north."""
    async with platform_site(routers=routers) as site:
        for engine_id in SOUTH:
            site.engines_by_id[engine_id].failure_domain = 'fd-2'
            site.engines_by_id[engine_id].domain = 'd1'
            site.engines_by_id[engine_id].register()
        routes = configuration()['Routes']
        assert isinstance(routes, list)
        workspace = {
            'Name': WORKSPACE,
            'ApiKeys': [KEY],
            'AllowedRegions': workspace_regions,
        }
        changed = configuration(
            2,
            Routes=[
                {**route, 'AllowedRegions': route_regions} for route in routes
            ],
            Tenants=[workspace],
        )
        site.store.rows.put('op', 'config', changed)
        await site.until(lambda: _is_known(site))
        yield site


def _is_known(site: PlatformSite) -> bool:
    for router in site.routers:
        configured = router.view.configuration()
        targets = router.view.directory.targets_by_pool()
        domains = {
            target.failure_domain
            for pool in ('ledger/', 'model/small')
            for target in targets.get(pool, ())
        }
        south_heads = [
            target
            for target in targets.get('model/small', ())
            if target.failure_domain == 'fd-2'
        ]
        if configured is None or configured.version != 2:
            return False
        if domains != {'fd-1', 'fd-2'} or not south_heads:
            return False
    return True


def _reached(site: PlatformSite) -> set[str]:
    return {
        engine.engine_id
        for engine in site.engines_by_id.values()
        if engine.received_requests
    }


@pytest.mark.parametrize(
    ('of_route', 'of_workspace'),
    [(['south'], None), (None, ['south']), (['south', 'north'], ['south'])],
)
async def test_requests_reach_engines_of_the_region_alone(
    of_route: object, of_workspace: object
) -> None:
    async with _site(of_route, of_workspace) as site:
        for _ in range(REQUESTS):
            for path in ('/lookups/1', '/notes/1'):
                async with site.request(path) as response:
                    await response.read()
                    assert response.status == 200
        assert _reached(site) <= set(SOUTH)


async def test_retry_does_not_leave_the_region() -> None:
    async with _site(['south']) as site:
        site.engines_by_id['i-7'].faults.refuses = True
        async with site.request('/lookups/1') as response:
            assert response.status == 503
        assert not _reached(site)


async def test_stream_is_not_resumed_elsewhere() -> None:
    async with _site(['south']) as site:
        for engine_id in SOUTH:
            site.engines_by_id[engine_id].faults.cuts_after_events = 2
        async with site.request('/notes/1') as response:
            text = await response.content.read(200)
        assert text.startswith(b'id: 1')
        assert _reached(site) <= set(SOUTH)


async def test_unknown_region_is_refused_at_once() -> None:
    async with _site(['nowhere']) as site:
        for path in ('/lookups/1', '/notes/1'):
            async with site.request(path) as response:
                assert response.status == 503
                assert 'Retry-After' in response.headers
        assert not _reached(site)
        assert not site.routers[0].in_flight_counts.waiting_by_pool


@pytest.mark.parametrize(('region', 'status'), [('north', 200), ('south', 503)])
async def test_body_is_not_forwarded_to_a_router_elsewhere(
    region: str, status: int
) -> None:
    # Both routers are in the north.
    async with _site([region], routers=2) as site:
        first = site.routers[0]
        with cut_off_from_engines(site, first, CutKind.REFUSED):
            first.forwarder.reach.doubt()
            await site.until(lambda: bool(first.forwarder.peers.targets()))
            async with site.request('/refunds/1') as response:
                assert response.status == status
                text = await response.text()
        # It is refused without waiting for a slot.
        assert ('in the allowed regions' in text) == (status == 503)
        other = site.routers[1].dump()['requests']
        assert isinstance(other, dict)
        assert bool(other['read']) == (status == 200)
