"""Several routers keep to the limit that an engine names, over loopback.

Explanation
===========
An engine that names a limit takes so many requests a second from all routers
together. It must not get more than one and a half times that in any window,
and five requests more.
"""

import asyncio

from ....standins.groupengine import GroupEngine
from ....testing.limitedload import SteadyLoad, most_received
from ....testing.platformsite import PlatformSite, platform_site

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
