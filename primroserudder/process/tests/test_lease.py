"""Tests of the acquisition, expiry and release of a lease."""

import asyncio
from dataclasses import dataclass

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


async def test_released_lease_is_free_at_once_and_fencing_increases() -> None:
    platform = MemoryPlatform()
    first, second = (_lease(platform, name) for name in 'ab')
    assert await first.renew()
    assert not await second.renew()
    await first.release()
    assert not first.is_held()
    assert await second.renew()
    assert second.fencing == first.fencing + 1


async def test_claim_announced_by_its_holder_shortens_the_wait() -> None:
    platform = MemoryPlatform()
    first, second = (_lease(platform, name) for name in 'ab')
    assert await first.renew()
    second.claim_expiry.note_claim(first.claim)
    await asyncio.sleep(LIFETIME_S * 1.05)
    assert await second.renew()
    assert not first.is_held()


async def test_repeated_announcement_does_not_prolong_the_wait() -> None:
    platform = MemoryPlatform()
    first, second = (_lease(platform, name) for name in 'ab')
    assert await first.renew()
    for _ in range(5):
        second.claim_expiry.note_claim('a/1')
        await asyncio.sleep(0.5)
    assert await second.renew()


@dataclass(slots=True)
class _PlatformClock:
    """The platform's clock, shared by all candidates."""

    shift_s: float = 1000

    def now_s(self) -> float:
        """Return the platform's time in seconds."""
        return asyncio.get_running_loop().time() + self.shift_s


def _lease_with_platform_time(
    platform: MemoryPlatform, holder: str, clock: _PlatformClock
) -> Lease:
    return Lease(
        platform,
        LoopClock(),
        'site',
        holder,
        LIFETIME_S,
        order_lifetime_s=0,
        platform_now_s=clock.now_s,
    )


async def test_new_candidate_detects_a_claim_that_has_expired() -> None:
    platform = MemoryPlatform()
    clock = _PlatformClock()
    assert await _lease_with_platform_time(platform, 'a', clock).renew()
    await asyncio.sleep(LIFETIME_S * 1.05)
    assert await _lease_with_platform_time(platform, 'b', clock).renew()


async def test_new_candidate_does_not_take_an_unexpired_lease() -> None:
    platform = MemoryPlatform()
    clock = _PlatformClock()
    first = _lease_with_platform_time(platform, 'a', clock)
    assert await first.renew()
    await asyncio.sleep(LIFETIME_S * 0.98)
    assert first.is_held()
    assert not await _lease_with_platform_time(platform, 'b', clock).renew()


async def test_lease_ends_before_its_stored_renewal_time_expires() -> None:
    # The read is slow and the platform takes its time at the end of it.
    platform = MemoryPlatform()
    platform.faults.delay_s = 0.4
    clock = _PlatformClock()
    first = _lease_with_platform_time(platform, 'a', clock)
    assert await first.renew()
    row = await platform.read(first.key)
    assert row is not None
    expires_s = float(str(row.fields['renewed_s'])) + LIFETIME_S - clock.shift_s
    assert first.held_until < expires_s


async def test_lease_given_up_by_its_holder_can_be_taken_at_once() -> None:
    platform = MemoryPlatform()
    first, second = (_lease(platform, name) for name in 'ab')
    assert await first.renew()
    first.give_up()
    assert not first.is_held()
    assert not await second.renew()
    second.claim_expiry.note_given_up(first.given_up)
    assert await second.renew()
    assert second.fencing == first.fencing + 1


async def test_giving_up_an_earlier_tenure_does_not_free_a_later_one() -> None:
    platform = MemoryPlatform()
    first, second = (_lease(platform, name) for name in 'ab')
    assert await first.renew()
    first.give_up()
    released_tenure = first.given_up
    assert await first.renew()
    assert not first.given_up
    second.claim_expiry.note_given_up(released_tenure)
    assert not await second.renew()
    assert first.is_held()


async def test_failure_time_counts_from_the_first_failed_renewal() -> None:
    platform = MemoryPlatform()
    lease = _lease(platform, 'a')
    assert await lease.renew()
    platform.faults.is_down = True
    await lease.renew()
    await asyncio.sleep(0.6)
    await lease.renew()
    assert lease.has_failed_for(0.5)
    platform.faults.is_down = False
    await lease.renew()
    assert not lease.has_failed_for(0)


async def test_lease_is_not_held_for_longer_than_its_remaining_time() -> None:
    lease = _lease(MemoryPlatform(), 'a')
    assert await lease.renew()
    assert lease.is_held(for_s=1.0)
    await asyncio.sleep(1.2)
    assert lease.is_held()
    assert not lease.is_held(for_s=1.0)
