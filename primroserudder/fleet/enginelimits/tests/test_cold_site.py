"""Several routers keep to what a cold engine takes, over loopback.

Explanation
===========
A balancer may send most requests to one router. The bound holds from the first
request on, as an engine that is listed as cold has never responded.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager

from ....standins.groupengine import GroupEngine
from ....testing.limitedload import SteadyLoad, most_received
from ....testing.platformsite import (
    PlatformSite,
    configuration,
    platform_site,
)
from ...router import Router

COLD_PER_S = 18.0
COLD_S = 3.0
MOST_IN_A_SECOND = 1.5 * COLD_PER_S + 5
LEAST_USED = 0.8
# The last router that the balancer knows is not there any more.
PARTS = (8, 4, 2)


def _cold_services() -> list[Mapping[str, object]]:
    services = configuration()['Services']
    assert isinstance(services, list)
    cold = {'ColdStartS': COLD_S, 'ColdPerS': COLD_PER_S}
    return [{**service, **cold} for service in services]


def _knows(plain: int) -> Callable[[Router], bool]:
    """Return whether a router knows the limits of all plain engines."""

    def check(router: Router) -> bool:
        targets = router.view.directory.targets_by_pool().get('ledger/', ())
        limits = [target.cold_per_s for target in targets]
        return len(limits) == plain and set(limits) == {COLD_PER_S}

    return check


@asynccontextmanager
async def _site(plain: int) -> AsyncIterator[PlatformSite]:
    """Run a site of three routers that hear each other."""
    async with platform_site(plain=plain, routers=3) as site:
        changed = configuration(2, Services=_cold_services())
        site.store.rows.put('op', 'config', changed)
        await site.until(lambda: all(map(_knows(plain), site.routers)))
        await site.until(
            lambda: all(
                router.in_flight_counts.others_vms == 2
                for router in site.routers
            )
        )
        yield site


def _turn_cold(site: PlatformSite, engine: GroupEngine) -> None:
    """Let an engine start again, cold, under its id."""
    engine.cold_remaining_ms = COLD_S * 1000
    engine.born += 1
    engine.register()


async def _until_known_as_cold(site: PlatformSite) -> None:
    await site.until(
        lambda: all(router.limits.cold.cold_by_key() for router in site.routers)
    )


async def test_uneven_balancer_keeps_to_what_a_cold_engine_takes() -> None:
    # The warm engines have slots for all that the cold one doesn't take.
    async with _site(plain=5) as site:
        cold = site.engines_by_id['i-7']
        _turn_cold(site, cold)
        await _until_known_as_cold(site)
        since = asyncio.get_running_loop().time()
        load = SteadyLoad(site, '/lookups/1', rate_per_s=120, parts=PARTS)
        await load.run(COLD_S - 0.6)
        received = most_received(cold, since, 1)
        assert 1 <= received <= MOST_IN_A_SECOND
        assert set(load.statuses) == {200}


async def test_only_engine_is_used_while_it_is_cold_and_not_beyond() -> None:
    async with _site(plain=1) as site:
        cold = site.engines_by_id['i-6']
        _turn_cold(site, cold)
        await _until_known_as_cold(site)
        since = asyncio.get_running_loop().time()
        load = SteadyLoad(site, '/refunds/1', rate_per_s=120, parts=PARTS)
        await load.run(2)
        assert most_received(cold, since, 1) <= MOST_IN_A_SECOND
        used = len(cold.received_requests) / 2
        assert used >= LEAST_USED * COLD_PER_S
        assert set(load.statuses) == {200, 503}
        dump = site.routers[0].dump()
        assert 'i-6' in str(dump['cold_engines'])
        assert site.routers[0].limits.cold.held_back
        # It is warm, and takes all requests again.
        await asyncio.sleep(COLD_S - 1.9)
        load = SteadyLoad(site, '/refunds/1', rate_per_s=20)
        await load.run(0.5)
        assert set(load.statuses) == {200}


async def test_head_that_is_cold_gets_no_more_than_it_takes() -> None:
    async with _site(plain=1) as site:
        await site.until(lambda: len(site.heads()) > 1)
        cold = site.heads()[0]
        cold.cold_remaining_ms = COLD_S * 1000
        cold.register()
        await _until_known_as_cold(site)
        since = asyncio.get_running_loop().time()
        load = SteadyLoad(site, '/notes/1', rate_per_s=100, parts=PARTS)
        await load.run(1.5)
        assert 1 <= most_received(cold, since, 1) <= MOST_IN_A_SECOND
