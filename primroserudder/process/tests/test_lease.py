"""Tests of the acquisition, expiry and release of a lease."""

import asyncio
from dataclasses import dataclass, field

import pytest

from ...standins.memory import MemoryPlatform
from ..clock import LoopClock
from ..lease import Lease
from ..leaserows import tenure_key
from ..platform import Conflict, Row, Transaction, Write

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


@dataclass(slots=True)
class _RestoredPlatform:
    """A platform that comes back from a copy, as all candidates see it."""

    memory: MemoryPlatform
    era: int = 1
    copied_rows: dict[str, Row] = field(default_factory=dict)
    copied_writes: int = 0

    def copy(self) -> None:
        self.copied_rows = dict(self.memory.rows_by_key)
        self.copied_writes = self.memory.usage.writes

    def restore(self) -> None:
        self.memory.rows_by_key.clear()
        self.memory.rows_by_key.update(self.copied_rows)
        self.memory.usage.writes = self.copied_writes
        self.era += 1

    def lease(self, holder: str) -> Lease:
        return Lease(
            self.memory,
            LoopClock(),
            'site',
            holder,
            LIFETIME_S,
            order_lifetime_s=0,
            platform_era=lambda: self.era,
        )


async def test_holder_whose_claim_was_lost_in_a_restore_is_waited_for() -> None:
    # The copy names a holder that was replaced long ago.
    platform = _RestoredPlatform(MemoryPlatform())
    former, current, candidate = (platform.lease(name) for name in 'abc')
    assert await former.renew()
    platform.copy()
    await former.release()
    assert await current.renew()
    held_until = current.held_until
    platform.restore()
    while not await candidate.renew():
        await asyncio.sleep(0.1)
    assert candidate.clock.monotonic() >= held_until
    assert candidate.fencing > current.fencing


async def test_lease_released_only_in_the_copy_is_not_free_at_once() -> None:
    platform = _RestoredPlatform(MemoryPlatform())
    former, current, candidate = (platform.lease(name) for name in 'abc')
    assert await former.renew()
    await former.release()
    platform.copy()
    assert await current.renew()
    platform.restore()
    assert not await candidate.renew()


async def test_tenure_ends_with_the_era_and_its_holder_claims_again() -> None:
    platform = _RestoredPlatform(MemoryPlatform())
    holder = platform.lease('a')
    assert await holder.renew()
    platform.copy()
    fencing = holder.fencing
    platform.restore()
    assert not holder.is_held()
    assert await holder.renew()
    assert holder.has_survived_restore
    assert holder.fencing > fencing


async def test_fencing_tokens_lost_in_a_restore_are_not_given_out_again() -> (
    None
):
    platform = _RestoredPlatform(MemoryPlatform())
    used = set()
    first = platform.lease('first')
    assert await first.renew()
    platform.copy()
    await first.release()
    for number in range(20):
        lease = platform.lease(f'lost-{number}')
        assert await lease.renew()
        used.add(lease.fencing)
        await lease.release()
    platform.restore()
    successor = platform.lease('successor')
    while not await successor.renew():
        await asyncio.sleep(0.1)
    assert successor.fencing not in used


async def test_token_lost_in_a_second_restore_is_not_given_out_again() -> None:
    """Both restores are from one copy, which lacks the first one's claim."""
    platform = _RestoredPlatform(MemoryPlatform())
    holder, successor = (platform.lease(name) for name in 'ab')
    assert await holder.renew()
    platform.copy()
    platform.restore()
    assert await holder.renew()
    platform.restore()
    while not await successor.renew():
        await asyncio.sleep(0.1)
    assert successor.fencing > holder.fencing


async def test_condition_of_a_lost_tenure_never_holds_again() -> None:
    # The revision of the lost tenure's row is given out again.
    platform = _RestoredPlatform(MemoryPlatform())
    platform.copy()
    lost, successor = (platform.lease(name) for name in 'ab')
    assert await lost.renew()
    condition = lost.tenure
    assert condition is not None
    platform.restore()
    await successor.renew()
    await asyncio.sleep(LIFETIME_S * 1.05)
    assert await successor.renew()
    assert successor.tenure is not None
    assert successor.tenure.revision >= condition.revision
    with pytest.raises(Conflict):
        await platform.memory.commit(Transaction((condition,), ()))


def _late_claim(row: Row) -> Transaction:
    """Return a claim of an earlier era, whose condition holds once more."""
    fields = {**row.fields, 'fencing': 2, 'era': 1, 'claim': 'late'}
    writes = (
        Write(row.key, fields),
        Write(tenure_key('site', 2), fields),
        Write(tenure_key('site', 1), None),
    )
    return Transaction((), writes)


async def _take_in_next_era(platform: _RestoredPlatform) -> Lease:
    """Return a lease that was held before and after a restore."""
    former, holder = (platform.lease(name) for name in 'ab')
    assert await former.renew()
    platform.copy()
    await former.release()
    assert await holder.renew()
    platform.restore()
    assert await holder.renew()
    return holder


async def _row_of(platform: _RestoredPlatform, lease: Lease) -> Row:
    row = await platform.memory.read(lease.key)
    assert row is not None
    return row


async def test_late_claim_of_an_earlier_era_sets_no_token_back() -> None:
    """Else engines refuse the joins of all later holders."""
    platform = _RestoredPlatform(MemoryPlatform())
    holder = await _take_in_next_era(platform)
    fencing = holder.fencing
    late = _late_claim(await _row_of(platform, holder))
    await platform.memory.commit(late)
    assert await holder.renew()
    row = await _row_of(platform, holder)
    assert int(str(row.fields['fencing'])) >= fencing
    assert row.fields['fencing'] == holder.fencing
    await holder.release()
    successor = platform.lease('c')
    assert await successor.renew()
    assert successor.fencing > holder.fencing


async def test_late_claim_has_no_token_given_out_twice() -> None:
    platform = _RestoredPlatform(MemoryPlatform())
    holder = await _take_in_next_era(platform)
    used = {holder.fencing}
    for name in 'cd':
        await holder.release()
        holder = platform.lease(name)
        assert await holder.renew()
        used.add(holder.fencing)
    condition = holder.tenure
    assert condition is not None
    await platform.memory.commit(_late_claim(await _row_of(platform, holder)))
    successor = platform.lease('e')
    while not await successor.renew():
        await asyncio.sleep(0.1)
    assert successor.fencing > max(used)
    # Nor has what the holder sent before any effect now.
    with pytest.raises(Conflict):
        await platform.memory.commit(Transaction((condition,), ()))


async def test_holder_with_too_low_a_token_ends_its_tenure() -> None:
    lease = _lease(MemoryPlatform(), 'a')
    assert await lease.renew()
    lease.surpass(205)
    assert not lease.is_held()
    assert await lease.renew()
    assert lease.fencing == 206
