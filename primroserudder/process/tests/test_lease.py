"""The lease passes on at its release, and by claims that were heard."""

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
    second.claim_expiry.note_claim(first.claim)
    await asyncio.sleep(LIFETIME_S * 1.05)
    assert await second.renew()
    assert not first.is_held()


async def test_claim_heard_again_does_not_prolong_the_wait() -> None:
    platform = MemoryPlatform()
    first, second = (_lease(platform, name) for name in 'ab')
    assert await first.renew()
    for _ in range(5):
        second.claim_expiry.note_claim('a/1')
        await asyncio.sleep(0.5)
    assert await second.renew()


@dataclass(slots=True)
class _StoreClock:
    """The platform's time, which all candidates see alike."""

    shift_s: float = 1000

    def now_s(self) -> float:
        """Return it."""
        return asyncio.get_running_loop().time() + self.shift_s


def _timed(platform: MemoryPlatform, holder: str, clock: _StoreClock) -> Lease:
    return Lease(
        platform,
        LoopClock(),
        'site',
        holder,
        LIFETIME_S,
        order_lifetime_s=0,
        platform_now_s=clock.now_s,
    )


async def test_new_candidate_sees_that_a_claim_lapsed_while_all_were_down() -> (
    None
):
    platform = MemoryPlatform()
    clock = _StoreClock()
    assert await _timed(platform, 'a', clock).renew()
    await asyncio.sleep(LIFETIME_S * 1.05)
    assert await _timed(platform, 'b', clock).renew()


async def test_new_candidate_leaves_a_claim_that_still_holds() -> None:
    platform = MemoryPlatform()
    clock = _StoreClock()
    first = _timed(platform, 'a', clock)
    assert await first.renew()
    await asyncio.sleep(LIFETIME_S * 0.98)
    assert first.is_held()
    assert not await _timed(platform, 'b', clock).renew()


async def test_lease_counts_from_before_the_time_that_it_carries() -> None:
    # A slow read: the platform's time is taken at its end.
    platform = MemoryPlatform()
    platform.faults.delay_s = 0.4
    clock = _StoreClock()
    first = _timed(platform, 'a', clock)
    assert await first.renew()
    row = await platform.read(first.key)
    assert row is not None
    lapses_s = float(str(row.fields['renewed_s'])) + LIFETIME_S - clock.shift_s
    assert first.held_until < lapses_s


async def test_lease_that_its_holder_gave_up_is_taken_at_once() -> None:
    platform = MemoryPlatform()
    first, second = (_lease(platform, name) for name in 'ab')
    assert await first.renew()
    first.give_up()
    assert not first.is_held()
    assert not await second.renew()
    second.claim_expiry.note_given_up(first.given_up)
    assert await second.renew()
    assert second.fencing == first.fencing + 1


async def test_word_of_an_earlier_tenure_gives_no_right_to_a_later_one() -> (
    None
):
    platform = MemoryPlatform()
    first, second = (_lease(platform, name) for name in 'ab')
    assert await first.renew()
    first.give_up()
    mark = first.given_up
    assert await first.renew()
    assert not first.given_up
    second.claim_expiry.note_given_up(mark)
    assert not await second.renew()
    assert first.is_held()


async def test_failed_renewals_are_counted_from_the_first() -> None:
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


async def test_lease_that_ends_before_the_work_does_is_no_right_to_it() -> None:
    lease = _lease(MemoryPlatform(), 'a')
    assert await lease.renew()
    assert lease.is_held(for_s=1.0)
    await asyncio.sleep(1.2)
    assert lease.is_held()
    assert not lease.is_held(for_s=1.0)
