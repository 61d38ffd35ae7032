"""A content that ended its engine is struck though its stream can't move."""

import asyncio

from ...standins.groupengine import GroupEngine
from ...testing.platformsite import PlatformSite, platform_site
from .test_silent_engine import ONE_ATTEMPT, _start

BODY = b'ends its engine'
SOON_S = 2.0


async def test_silent_crash_is_a_strike_before_the_caller_leaves() -> None:
    async with platform_site(engines=4, routers=2) as site:
        await _start(site, **ONE_ATTEMPT)
        engines = site.engines_by_id.values()
        for engine in engines:
            engine.faults.crashing_bodies.add(BODY)
            engine.faults.crashes_silently = True
        request = asyncio.ensure_future(_send(site))
        await site.until(lambda: any(map(_has_crashed, engines)))
        await _wait_for_strike(site)
        request.cancel()
        await asyncio.wait((request,))


async def test_engine_that_falls_silent_for_good_is_a_strike_soon() -> None:
    async with platform_site(engines=4) as site:
        await _start(site, **ONE_ATTEMPT)
        request = asyncio.ensure_future(_send(site))
        await site.until(lambda: any(head.running for head in site.heads()))
        head = next(head for head in site.heads() if head.running)
        head.faults.is_unresponsive = True
        await _wait_for_strike(site)
        request.cancel()
        await asyncio.wait((request,))


def _has_crashed(engine: GroupEngine) -> bool:
    return bool(engine.crashes)


async def _send(site: PlatformSite) -> None:
    async with site.request('/notes/1', body=BODY) as response:
        await response.read()


async def _wait_for_strike(site: PlatformSite) -> None:
    strikes = site.routers[0].server.quarantine.strikes
    async with asyncio.timeout(SOON_S):
        await site.until(lambda: bool(tuple(strikes.records())))
