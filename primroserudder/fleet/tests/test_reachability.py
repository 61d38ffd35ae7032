"""An engine that was silent is used again once it answers."""

import asyncio

from ...testing.platformsite import platform_site
from ..reachability import UNREACHABLE_S

# Less than the time for which an engine that stays silent is unreachable.
SOON_S = UNREACHABLE_S / 2


async def test_engine_that_answers_again_is_reachable_at_once() -> None:
    async with platform_site(engines=2, plain=0) as site:
        router = site.routers[0]
        await site.until(lambda: len(router.view.directory.engines_by_id) == 2)
        tracker = router.control_plane.reconciler.reachability
        silent = site.engines_by_id['i-0']
        silent.faults.is_silent = True
        tracker.probe('test', ['i-0'])
        await site.until(lambda: 'i-0' in tracker.unreachable())
        silent.faults.is_silent = False
        async with asyncio.timeout(SOON_S):
            await site.until(lambda: not tracker.unreachable())


async def test_engine_that_stays_silent_stays_unreachable() -> None:
    async with platform_site(engines=2, plain=0) as site:
        router = site.routers[0]
        await site.until(lambda: len(router.view.directory.engines_by_id) == 2)
        tracker = router.control_plane.reconciler.reachability
        site.engines_by_id['i-0'].faults.is_silent = True
        tracker.probe('test', ['i-0'])
        await site.until(lambda: 'i-0' in tracker.unreachable())
        await asyncio.sleep(SOON_S)
        assert tracker.unreachable() == {'i-0'}
