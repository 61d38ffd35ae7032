"""The lease passes on at its release, and by claims that were heard."""

import asyncio

import pytest

from ...standins.memory import MemoryPlatform
from ..clock import LoopClock
from ..lease import Lease

pytestmark = pytest.mark.looptime
LIFETIME_S = 2.0


def _lease(platform: MemoryPlatform, holder: str) -> Lease:
    return Lease(
        platform,
        LoopClock(),
        'site',
        holder,
        LIFETIME_S,
        order_lifetime_s=0,
    )


async def test_released_lease_is_free_at_once_and_fencing_still_rises() -> None:
    platform = MemoryPlatform()
    first, second = (_lease(platform, name) for name in 'ab')
    assert await first.renew()
    assert not await second.renew()
    await first.release()
    assert not first.is_held()
    assert await second.renew()
    assert second.fencing == first.fencing + 1


async def test_claim_heard_from_its_holder_shortens_the_wait() -> None:
    platform = MemoryPlatform()
    first, second = (_lease(platform, name) for name in 'ab')
    assert await first.renew()
    second.note_claim(first.claim)
    await asyncio.sleep(LIFETIME_S * 1.05)
    assert await second.renew()
    assert not first.is_held()


async def test_claim_heard_again_does_not_prolong_the_wait() -> None:
    platform = MemoryPlatform()
    first, second = (_lease(platform, name) for name in 'ab')
    assert await first.renew()
    for _ in range(5):
        second.note_claim('a/1')
        await asyncio.sleep(0.5)
    assert await second.renew()


async def test_lease_that_ends_before_the_work_does_is_no_right_to_it() -> None:
    lease = _lease(MemoryPlatform(), 'a')
    assert await lease.renew()
    assert lease.is_held(for_s=1.0)
    await asyncio.sleep(1.2)
    assert lease.is_held()
    assert not lease.is_held(for_s=1.0)
