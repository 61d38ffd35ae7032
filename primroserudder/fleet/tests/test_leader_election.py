"""Tests which VM reads the store for the lease, and who gives it up."""

import asyncio
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import pytest

from ...process.clock import LoopClock
from ...process.decisions import DecisionLog
from ...process.lease import Lease
from ...standins.memory import MemoryPlatform
from ..leader_election import LEASE_LIFETIME_S, LeaderElection
from ..notice import Notice

pytestmark = pytest.mark.looptime


@dataclass(slots=True)
class FakePeers:
    """The other VMs, as set by a test."""

    notices: list[Notice] = field(default_factory=list)
    before: int = 0

    def living(self) -> Iterable[Notice]:
        """Return all notices."""
        return self.notices

    def neighbours_before(self) -> Sequence[str]:
        """Return ``before`` addresses."""
        return [f'address-{rank}' for rank in range(self.before)]


def _election(
    platform: MemoryPlatform, name: str, peers: FakePeers
) -> LeaderElection:
    clock = LoopClock()
    lease = Lease(
        platform,
        clock,
        'site',
        name,
        LEASE_LIFETIME_S,
        order_lifetime_s=0,
    )
    log = DecisionLog(name, clock)
    return LeaderElection(lease, clock, log, asyncio.Event(), peers)


def _notice(election: LeaderElection, *, reaches_store: bool) -> Notice:
    lease = election.lease
    return Notice(
        node=lease.holder,
        address='address',
        sequence=1,
        lease_claim=lease.claim,
        lease_given_up=lease.given_up,
        reaches_store=reaches_store,
    )


@pytest.mark.parametrize('reaches_store', [True, False])
async def test_holder_cut_off_from_the_store_gives_up_if_a_peer_reaches_it(
    *, reaches_store: bool
) -> None:
    platform = MemoryPlatform()
    peers = FakePeers()
    holder = _election(platform.seen_by('a'), 'a', peers)
    peers.notices = [_notice(holder, reaches_store=reaches_store)]
    running = asyncio.ensure_future(holder.run())
    await asyncio.sleep(1)
    assert holder.lease.is_held()
    platform.faults.cut_parties.add('a')
    await asyncio.sleep(LEASE_LIFETIME_S * 0.7)
    assert bool(holder.lease.given_up) is reaches_store
    assert holder.lease.is_held() is not reaches_store
    running.cancel()


async def test_lease_given_up_is_taken_within_350_ms() -> None:
    platform = MemoryPlatform()
    holder = _election(platform, 'a', FakePeers())
    successor = _election(platform, 'b', FakePeers())
    assert await holder.lease.renew()
    successor.on_notice(_notice(holder, reaches_store=True))
    running = asyncio.ensure_future(successor.run())
    await asyncio.sleep(0.1)
    holder.lease.give_up()
    successor.on_notice(_notice(holder, reaches_store=False))
    await asyncio.sleep(0.35)
    assert successor.lease.is_held()
    running.cancel()


async def _reads_in_10_s(
    platform: MemoryPlatform, *elections: LeaderElection
) -> int:
    before = platform.usage.reads
    running = [asyncio.ensure_future(election.run()) for election in elections]
    await asyncio.sleep(10)
    for task in running:
        task.cancel()
    return platform.usage.reads - before


async def test_low_ranked_candidates_rarely_read_the_store() -> None:
    # Neither candidate receives notices of the holder, which keeps renewing.
    platform = MemoryPlatform()
    holder = _election(platform, 'a', FakePeers())
    first = _election(platform, 'b', FakePeers())
    last = _election(platform, 'c', FakePeers(before=25))
    holder_reads = await _reads_in_10_s(platform, holder)
    assert await holder.lease.renew()
    first_reads = await _reads_in_10_s(platform, holder, first) - holder_reads
    last_reads = await _reads_in_10_s(platform, holder, last) - holder_reads
    assert holder.lease.is_held()
    assert first_reads >= 30
    assert last_reads <= 3
