"""A content that crashes engines stops being sent after three crashes."""

import asyncio
from collections.abc import Iterable

import aiohttp
import xxhash

from ....standins.groupengine import GroupEngine
from ....testing.platformsite import WORKSPACE, PlatformSite, platform_site

CRASHING = b'this crashes each engine that runs it'
SENDS = 9
SLOTS = 4
# Three crashes are allowed; more only by requests that were already running.
MAX_CRASHES = 3


async def _wait_until_serving(site: PlatformSite, pools: int = 2) -> None:
    directories = [router.view.directory for router in site.routers]
    await site.until(
        lambda: all(
            len(directory.targets_by_pool()) == pools
            for directory in directories
        )
    )


def _crash_on_content(site: PlatformSite, *, silently: bool = False) -> None:
    for engine in site.engines_by_id.values():
        engine.faults.crashing_bodies.add(CRASHING)
        engine.faults.crashes_silently = silently


def _crashes(site: PlatformSite) -> int:
    return sum(engine.crashes for engine in site.engines_by_id.values())


def _plain_engines(site: PlatformSite) -> list[GroupEngine]:
    return [engine for engine in site.engines_by_id.values() if engine.is_plain]


def _digest(path: str = '/refunds/1') -> str:
    """Return the digest of the crashing content as a caller sends it."""
    hasher = xxhash.xxh3_64(path.encode())
    hasher.update(WORKSPACE.encode())
    hasher.update(CRASHING)
    return hasher.hexdigest()


async def _send(
    site: PlatformSite, path: str, router: int = 0, body: bytes = CRASHING
) -> int:
    """Send a content; return the status, zero if cut off."""
    try:
        async with site.request(path, body=body, router=router) as response:
            await response.read()
            return response.status
    except aiohttp.ClientError:
        return 0


async def _send_repeatedly(
    site: PlatformSite, path: str, routers: Iterable[int] = (0,)
) -> list[int]:
    """Send the content again and again, as a caller who never gives up."""
    numbers = tuple(routers)
    statuses = []
    for attempt in range(SENDS):
        await _wait_until_serving(site)
        router = numbers[attempt % len(numbers)]
        statuses.append(await _send(site, path, router))
    return statuses


async def test_content_that_crashes_plain_engines_is_stopped() -> None:
    async with platform_site(plain=4) as site:
        await _wait_until_serving(site)
        _crash_on_content(site)
        statuses = await _send_repeatedly(site, '/refunds/1')
        assert _crashes(site) <= MAX_CRASHES
        assert statuses[-1] == 503


async def test_content_that_crashes_heads_is_stopped() -> None:
    async with platform_site(engines=8) as site:
        await _wait_until_serving(site)
        _crash_on_content(site)
        statuses = await _send_repeatedly(site, '/notes/1')
        assert _crashes(site) <= MAX_CRASHES
        assert statuses[-1] == 503


async def test_content_whose_crash_shows_as_a_lost_group_is_stopped() -> None:
    # No connection breaks: only the list tells that the head has ended.
    async with platform_site(engines=8) as site:
        await _wait_until_serving(site)
        _crash_on_content(site, silently=True)
        await _send_repeatedly(site, '/notes/1')
        assert _crashes(site) <= MAX_CRASHES


async def test_content_whose_callers_leave_before_the_crash_is_stopped() -> (
    None
):
    async with platform_site(plain=4) as site:
        await _wait_until_serving(site)
        _crash_on_content(site, silently=True)
        for _ in range(SENDS):
            await _wait_until_serving(site)
            request = asyncio.ensure_future(_send(site, '/refunds/1'))
            await asyncio.wait((request,), timeout=0.3)
            request.cancel()
            await asyncio.sleep(0.1)
        assert _crashes(site) <= MAX_CRASHES


async def test_waiting_request_is_refused_once_its_content_is_quarantined() -> (
    None
):
    async with platform_site(plain=1) as site:
        await _wait_until_serving(site)
        router = site.routers[0]
        engine = _plain_engines(site)[0]
        engine.faults.never_answers = True
        fillers = [
            asyncio.ensure_future(_send(site, '/refunds/1', body=b'slow'))
            for _ in range(SLOTS)
        ]
        counts = router.in_flight_counts
        await site.until(lambda: counts.running(engine.engine_id) == SLOTS)
        waiting = asyncio.ensure_future(_send(site, '/refunds/1'))
        await site.until(lambda: bool(counts.own_waiting()))
        quarantine = router.server.quarantine
        quarantine.merge('vm-9', [f'{_digest()}={name}@1' for name in 'abc'])
        for filler in fillers:
            filler.cancel()
        assert await waiting == 503
        bodies = [arrival.body for arrival in engine.received_requests]
        assert CRASHING not in bodies


async def test_content_that_others_complete_survives_the_loss_of_engines() -> (
    None
):
    # Engines end for another reason under a content that many callers send.
    async with platform_site(plain=5) as site:
        await _wait_until_serving(site)
        engines = _plain_engines(site)
        assert await _send(site, '/lookups/1') == 200
        for engine in engines[:4]:
            engine.faults.crashing_bodies.add(CRASHING)
        for _ in range(SENDS):
            await _send(site, '/lookups/1')
        for engine in engines:
            engine.faults.crashing_bodies.clear()
        await _wait_until_serving(site)
        assert await _send(site, '/lookups/1') == 200


async def test_quarantine_outlives_all_routers() -> None:
    async with platform_site(plain=4) as site:
        await _wait_until_serving(site)
        _crash_on_content(site)
        await _send_repeatedly(site, '/refunds/1')
        crashes = _crashes(site)
        await asyncio.sleep(1.5)
        await site.restart_routers()
        await _send_repeatedly(site, '/refunds/1')
        assert _crashes(site) == crashes


async def test_quarantine_reaches_routers_that_hear_no_notices() -> None:
    async with platform_site(plain=4, routers=2) as site:
        await _wait_until_serving(site)
        for router in site.routers:
            router.exchange.listeners.clear()
        _crash_on_content(site)
        await _send_repeatedly(site, '/refunds/1')
        crashes = _crashes(site)
        await asyncio.sleep(1.5)
        await _wait_until_serving(site)
        assert await _send(site, '/refunds/1', router=1) == 503
        assert _crashes(site) == crashes
