"""Streams that leave their engine although no attempt follows."""

import asyncio
import gc

from ...standins.groupengine import event
from ...testing.platformsite import PlatformSite, platform_site
from ..call import Call
from ..crashes.strikes import Strike
from .test_silent_engine import (
    WHOLE_STREAM,
    _silence,
    _start,
)


async def _two_groups(site: PlatformSite, **changes: object) -> None:
    await _start(site, **changes)
    await site.until(lambda: len(site.heads()) >= 2)
    directory = site.routers[0].view.directory
    await site.until(
        lambda: (
            len(directory.targets_by_pool().get('model/small', ()))
            == len(site.heads())
        )
    )


async def test_stream_waits_for_its_engine_if_all_other_slots_are_used() -> (
    None
):
    """The other group has no free slot until the deadline."""
    async with platform_site(engines=6) as site:
        await _two_groups(site)
        async with site.request('/notes/1') as response:
            received = await response.content.readexactly(len(event(1)))
            head = next(head for head in site.heads() if head.running)
            counts = site.routers[0].server.slots.in_flight_counts
            for engine_id in site.engines_by_id.keys() - {head.engine_id}:
                for _ in range(13):
                    counts.begin(engine_id)
            silence = asyncio.ensure_future(_silence([head]))
            received += await response.content.read()
            await silence
        assert received == WHOLE_STREAM


async def test_stream_of_a_dead_engine_moves_to_one_that_was_full() -> None:
    """An engine that refused the request before is no lost one."""
    async with platform_site(engines=6) as site:
        await _two_groups(site)
        counts = site.routers[0].server.slots.in_flight_counts
        first, second, *others = site.heads()
        for head in (second, *others):
            for _ in range(13):
                counts.begin(head.engine_id)
        first.faults.refuses = True
        request = asyncio.ensure_future(_read(site))
        await site.until(lambda: bool(first.refused))
        for _ in range(13):
            counts.end(second.engine_id)
        await site.until(lambda: bool(second.running))
        first.faults.refuses = False
        second.faults.is_unresponsive = True
        assert await request == WHOLE_STREAM


async def _read(site: PlatformSite) -> bytes:
    async with site.request('/notes/1') as response:
        return await response.content.read()


async def test_strike_for_a_silence_does_not_end_the_stream() -> None:
    async with platform_site(engines=6) as site:
        await _two_groups(site)
        server = site.routers[0].server
        async with site.request('/notes/1') as response:
            received = await response.content.readexactly(len(event(1)))
            head = next(head for head in site.heads() if head.running)
            digest = _digest_in_flight(site)
            for number in range(2):
                server.quarantine.strikes.add(Strike(digest, f'x-{number}', 1))
            silence = asyncio.ensure_future(_silence([head]))
            received += await response.content.read()
            await silence
        assert received == WHOLE_STREAM


def _digest_in_flight(site: PlatformSite) -> str:
    return next(
        each.digest for each in gc.get_objects() if isinstance(each, Call)
    )
