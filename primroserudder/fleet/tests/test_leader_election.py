"""Tests which VM reads the store for the lease, and who gives it up."""

import asyncio
from dataclasses import dataclass, field

import pytest

from ...process.clock import LoopClock
from ...process.decisions import DecisionLog
from ...process.lease import Lease
from ...standins.memory import MemoryPlatform
from ..leader_election import LEASE_LIFETIME_S, LeaderElection
from ..membership import Facts

pytestmark = pytest.mark.looptime


@dataclass(slots=True)
class FakePeers:
    """The other VMs, as set by a test."""

    facts: list[Facts] = field(default_factory=list)
    before: int = 0
    settled: bool = True

    def any_reaches_store(self) -> bool:
        """Return whether any of the facts say so."""
        return any(facts.reaches_store for facts in self.facts)

    def is_settled(self) -> bool:
        """Return what the test set."""
        return self.settled

    def rank(self) -> int:
        """Return ``before``."""
        return self.before


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


def _facts(election: LeaderElection, *, reaches_store: bool) -> Facts:
    lease = election.lease
    return Facts(
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
    peers.facts = [_facts(holder, reaches_store=reaches_store)]
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
    successor.on_facts(_facts(holder, reaches_store=True))
    running = asyncio.ensure_future(successor.run())
    await asyncio.sleep(0.1)
    holder.lease.give_up()
    successor.on_facts(_facts(holder, reaches_store=False))
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


async def test_unsettled_vm_never_competes() -> None:
    platform = MemoryPlatform()
    unsettled = _election(platform, 'a', FakePeers(settled=False))
    assert not await _reads_in_10_s(platform, unsettled)


async def test_first_vms_compete_before_the_others() -> None:
    # All VMs of a large site start at the same time, and nobody holds a lease.
    platform = MemoryPlatform()
    first = _election(platform, 'a', FakePeers())
    others = [
        _election(platform, f'b{rank}', FakePeers(before=rank))
        for rank in range(1, 40)
    ]
    running = [
        asyncio.ensure_future(election.run()) for election in (first, *others)
    ]
    await asyncio.sleep(0.25)
    assert first.lease.is_held()
    assert platform.usage.reads <= 3
    for task in running:
        task.cancel()


async def test_lease_given_up_is_noted_once() -> None:
    # The VM that gave the lease up repeats it until it holds one again.
    platform = MemoryPlatform()
    successor = _election(platform, 'b', FakePeers())
    given_up = Facts(lease_given_up='a@1')
    successor.on_facts(given_up)
    successor.on_facts(Facts(lease_claim='c/1'))
    seen_at = successor.holder_seen_at
    successor.on_facts(given_up)
    assert successor.holder_seen_at == seen_at
