"""Who asks the store for the lease, how often, and who gives it up."""

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
    """The other VMs, as a test puts them."""

    notices: list[Notice] = field(default_factory=list)
    before: int = 0

    def living(self) -> Iterable[Notice]:
        """Return all notices."""
        return self.notices

    def neighbours_before(self) -> Sequence[str]:
        """Return as many addresses."""
        return [f'address-{one}' for one in range(self.before)]


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
async def test_holder_that_the_store_fails_gives_up_to_those_it_serves(
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


async def test_lease_given_up_passes_on_within_a_moment() -> None:
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
    running = [asyncio.ensure_future(one.run()) for one in elections]
    await asyncio.sleep(10)
    for task in running:
        task.cancel()
    return platform.usage.reads - before


async def test_candidates_far_down_ask_the_store_seldom() -> None:
    # Neither hears the holder, which goes on to renew.
    platform = MemoryPlatform()
    holder = _election(platform, 'a', FakePeers())
    first = _election(platform, 'b', FakePeers())
    last = _election(platform, 'c', FakePeers(before=25))
    of_holder = await _reads_in_10_s(platform, holder)
    assert await holder.lease.renew()
    of_first = await _reads_in_10_s(platform, holder, first) - of_holder
    of_last = await _reads_in_10_s(platform, holder, last) - of_holder
    assert holder.lease.is_held()
    assert of_first >= 30
    assert of_last <= 3
