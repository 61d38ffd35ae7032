"""Tests of evidence shared among the entries of a failure domain."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

import pytest

from ...standins.engine import Engine
from ...testing import builders
from ...testing.entries import DigestServers, EntryControl
from ...testing.fakes import FakeEngines, group_of_engines
from ...testing.network import Network
from ..clock import LoopClock
from ..groups import GroupRecord, GroupState
from ..membership import Node
from ..probing import Prober

pytestmark = pytest.mark.looptime
LIFETIME_S = 3


@dataclass(slots=True)
class Domain:
    """Entries and groups of one failure domain, and one remote entry."""

    entries: list[EntryControl]
    engines: FakeEngines
    groups: list[GroupRecord]
    network: Network
    remote: EntryControl

    def serving(self, at: EntryControl) -> int:
        """Return how many groups an entry may send to."""
        return sum(map(at.book.is_serving, self.groups))

    def engine(self, group: int, rank: int) -> Engine:
        """Return the engine of a member."""
        member = self.groups[group].members[rank]
        return self.engines.by_address[member.address]


@asynccontextmanager
async def _domain(
    entries: int,
    groups: int,
    size: int = 4,
) -> AsyncIterator[Domain]:
    clock = LoopClock()
    network = Network(random.Random(1))
    engines = FakeEngines(network=network)
    formed = [
        group_of_engines(engines, clock, index, size) for index in range(groups)
    ]
    digest_servers = DigestServers(network)
    names = [f'e{index}' for index in range(entries)]
    made = [
        _entry(name, builders.DOMAIN, engines, digest_servers) for name in names
    ]
    remote = _entry('remote', 'fd-2', engines, digest_servers)
    for entry in (*made, remote):
        entry.directory.replace_domain(builders.DOMAIN, formed)
        hear = _hears(entry, (*made, remote))
        await hear()
        entry.repeat(hear, 1)
        entry.start()
    await asyncio.sleep(5)
    yield Domain(made, engines, formed, network, remote)
    for entry in (*made, remote):
        entry.stop()


def _hears(
    entry: EntryControl,
    others: tuple[EntryControl, ...],
) -> Callable[[], Awaitable[None]]:
    async def hear() -> None:
        for other in others:
            pair = frozenset((entry.node.node_id, other.node.node_id))
            is_cut = pair in entry.digest_servers.network.cut_pairs
            if (
                not is_cut
                and other.node.node_id not in entry.digest_servers.network.dead
            ):
                entry.membership.note_contact(other.node)

    return hear


def _entry(
    name: str,
    domain: str,
    engines: FakeEngines,
    digest_servers: DigestServers,
) -> EntryControl:
    node = Node(name, f'{name}#1', domain, 'entry', name)
    return EntryControl(
        node, LoopClock(), engines.seen_by(name), digest_servers
    )


@pytest.mark.parametrize('entries', [3, 12])
async def test_each_entry_and_a_remote_one_see_all_groups_whole(
    entries: int,
) -> None:
    async with _domain(entries, 6) as domain:
        for _ in range(100):
            await asyncio.sleep(0.1)
            seen = {domain.serving(entry) for entry in domain.entries}
            assert seen == {6}
            assert domain.serving(domain.remote) == 6


async def test_each_vm_is_probed_about_once_a_second_in_all() -> None:
    async with _domain(12, 6) as domain:
        before = sum(domain.engines.asked_by_address.values())
        await asyncio.sleep(20)
        asked = sum(domain.engines.asked_by_address.values()) - before
        # 24 VMs; the second prober rarely asks besides the first.
        assert 24 * 20 * 0.9 <= asked <= 24 * 20 * 1.3


@pytest.mark.parametrize('entries', [3, 12])
async def test_no_entry_sends_three_seconds_after_a_vm_died(
    entries: int,
) -> None:
    async with _domain(entries, 6) as domain:
        domain.engine(0, 1).faults.is_dead = True
        await asyncio.sleep(LIFETIME_S)
        everyone = (*domain.entries, domain.remote)
        assert {domain.serving(entry) for entry in everyone} == {5}


async def test_a_silent_prober_takes_no_vm_with_it() -> None:
    async with _domain(12, 6) as domain:
        gone = domain.entries[0]
        gone.stop()
        domain.network.dead.add(gone.node.node_id)
        for _ in range(150):
            await asyncio.sleep(0.1)
            seen = {domain.serving(entry) for entry in domain.entries[1:]}
            assert seen == {6}


async def test_an_entry_cut_off_from_its_domain_sends_to_nobody() -> None:
    async with _domain(3, 2) as domain:
        lone = domain.entries[0]
        others = [entry.node.node_id for entry in domain.entries[1:]]
        vms = domain.engines.by_address
        domain.network.cut([lone.node.node_id], (*others, 'remote', *vms))
        await asyncio.sleep(LIFETIME_S)
        assert domain.serving(lone) == 0
        assert domain.serving(domain.entries[1]) == 2
        domain.network.mend()
        await asyncio.sleep(LIFETIME_S)
        assert domain.serving(lone) == 2


async def test_a_drain_at_the_vm_ends_the_right_of_a_cut_off_entry() -> None:
    async with _domain(3, 2) as domain:
        cut_off = domain.entries[0].node.node_id
        domain.network.cut([cut_off], ['e1', 'e2', 'remote'])
        group = domain.groups[0]
        order = replace(builders.order(group), drain=True)
        domain.engine(0, 0).take_order(order)
        await asyncio.sleep(LIFETIME_S)
        seen = {domain.serving(entry) for entry in domain.entries}
        assert seen == {1}
        assert domain.serving(domain.remote) == 1


async def test_an_empty_restart_under_the_same_address_ends_the_right() -> None:
    async with _domain(3, 2) as domain:
        domain.engine(1, 2).crash()
        await asyncio.sleep(LIFETIME_S)
        seen = {domain.serving(entry) for entry in domain.entries}
        assert seen == {1}


async def test_a_paused_entry_wakes_without_any_right() -> None:
    async with _domain(3, 2) as domain:
        sleeper = domain.entries[0]
        domain.network.paused.add(sleeper.node.node_id)
        await asyncio.sleep(30)
        assert domain.serving(sleeper) == 0


async def test_uses_of_a_leaving_group_reach_the_entries_asked() -> None:
    async with _domain(3, 2) as domain:
        domain.remote.in_flight_by_group['g0'] = 7
        leaving = replace(domain.groups[0], state=GroupState.DRAINING)
        for entry in (*domain.entries, domain.remote):
            entry.directory.update(leaving)
        await asyncio.sleep(1)
        told = [each.sharing.uses.in_flight('g0', 1) for each in domain.entries]
        # The remote entry asks one entry of the failure domain.
        assert sorted(told) == [0, 0, 7]


async def test_slow_probe_of_the_first_prober_is_no_death() -> None:
    async with _domain(3, 1) as domain:
        group = domain.groups[0]
        first = _first_prober(domain, group.members[0].vm_id)
        address = group.members[0].address
        domain.network.cut([first.node.node_id], [address])
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert {domain.serving(entry) for entry in domain.entries} == {1}


def _first_prober(domain: Domain, vm_id: str) -> EntryControl:
    def watches(prober: Prober) -> bool:
        return vm_id in prober.watched()

    return next(entry for entry in domain.entries if watches(entry.prober))
