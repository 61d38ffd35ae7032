"""Tests of the evidence exchange between entries."""

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
EVIDENCE_LIFETIME_S = 3


@dataclass(slots=True)
class Domain:
    """Entries and groups of one failure domain, and one remote entry."""

    entries: list[EntryControl]
    engines: FakeEngines
    groups: list[GroupRecord]
    network: Network
    remote: EntryControl

    def serving(self, at: EntryControl) -> int:
        """Return the number of groups that an entry may send requests to."""
        return sum(map(at.book.is_serving, self.groups))

    def engine(self, group: int, rank: int) -> Engine:
        """Return the engine of a group's member."""
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
    records = [
        group_of_engines(engines, clock, index, size) for index in range(groups)
    ]
    digest_servers = DigestServers(network)
    names = [f'e{index}' for index in range(entries)]
    local_entries = [
        _entry(name, builders.DOMAIN, engines, digest_servers) for name in names
    ]
    remote = _entry('remote', 'fd-2', engines, digest_servers)
    for entry in (*local_entries, remote):
        entry.directory.replace_domain(builders.DOMAIN, records)
        receive_all = _heartbeats_from(entry, (*local_entries, remote))
        await receive_all()
        entry.repeat(receive_all, 1)
        entry.start()
    await asyncio.sleep(5)
    yield Domain(local_entries, engines, records, network, remote)
    for entry in (*local_entries, remote):
        entry.stop()


def _heartbeats_from(
    entry: EntryControl,
    others: tuple[EntryControl, ...],
) -> Callable[[], Awaitable[None]]:
    async def receive_all() -> None:
        for other in others:
            pair = frozenset((entry.node.node_id, other.node.node_id))
            is_cut = pair in entry.digest_servers.network.cut_pairs
            if (
                not is_cut
                and other.node.node_id not in entry.digest_servers.network.dead
            ):
                entry.membership.note_contact(other.node)

    return receive_all


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
async def test_all_entries_continuously_see_all_groups_as_serving(
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
        # There are 24 VMs, and the second prober rarely probes as well.
        assert 24 * 20 * 0.9 <= asked <= 24 * 20 * 1.3


@pytest.mark.parametrize('entries', [3, 12])
async def test_no_entry_sends_three_seconds_after_a_vm_died(
    entries: int,
) -> None:
    async with _domain(entries, 6) as domain:
        domain.engine(0, 1).faults.is_dead = True
        await asyncio.sleep(EVIDENCE_LIFETIME_S)
        everyone = (*domain.entries, domain.remote)
        assert {domain.serving(entry) for entry in everyone} == {5}


async def test_groups_stay_serving_when_their_prober_dies() -> None:
    async with _domain(12, 6) as domain:
        stopped = domain.entries[0]
        stopped.stop()
        domain.network.dead.add(stopped.node.node_id)
        for _ in range(150):
            await asyncio.sleep(0.1)
            seen = {domain.serving(entry) for entry in domain.entries[1:]}
            assert seen == {6}


async def test_entry_cut_off_from_its_domain_serves_no_group() -> None:
    async with _domain(3, 2) as domain:
        cut_off = domain.entries[0]
        others = [entry.node.node_id for entry in domain.entries[1:]]
        vms = domain.engines.by_address
        domain.network.cut([cut_off.node.node_id], (*others, 'remote', *vms))
        await asyncio.sleep(EVIDENCE_LIFETIME_S)
        assert domain.serving(cut_off) == 0
        assert domain.serving(domain.entries[1]) == 2
        domain.network.mend()
        await asyncio.sleep(EVIDENCE_LIFETIME_S)
        assert domain.serving(cut_off) == 2


async def test_drain_at_the_vm_ends_the_right_of_a_cut_off_entry() -> None:
    async with _domain(3, 2) as domain:
        cut_off = domain.entries[0].node.node_id
        domain.network.cut([cut_off], ['e1', 'e2', 'remote'])
        group = domain.groups[0]
        order = replace(builders.order(group), drain=True)
        domain.engine(0, 0).apply_order(order)
        await asyncio.sleep(EVIDENCE_LIFETIME_S)
        seen = {domain.serving(entry) for entry in domain.entries}
        assert seen == {1}
        assert domain.serving(domain.remote) == 1


async def test_restart_without_order_ends_the_routing_right() -> None:
    async with _domain(3, 2) as domain:
        domain.engine(1, 2).crash()
        await asyncio.sleep(EVIDENCE_LIFETIME_S)
        seen = {domain.serving(entry) for entry in domain.entries}
        assert seen == {1}


async def test_paused_entry_resumes_without_routing_rights() -> None:
    async with _domain(3, 2) as domain:
        paused_entry = domain.entries[0]
        domain.network.paused.add(paused_entry.node.node_id)
        await asyncio.sleep(30)
        assert domain.serving(paused_entry) == 0


async def test_in_flight_counts_of_a_leaving_group_reach_peers() -> None:
    async with _domain(3, 2) as domain:
        domain.remote.in_flight_by_group['g0'] = 7
        leaving = replace(domain.groups[0], state=GroupState.DRAINING)
        for entry in (*domain.entries, domain.remote):
            entry.directory.update(leaving)
        await asyncio.sleep(1)
        in_flight = [
            each.sharing.uses.in_flight('g0', 1) for each in domain.entries
        ]
        # The remote entry asks one entry of the failure domain.
        assert sorted(in_flight) == [0, 0, 7]


async def test_second_prober_takes_over_when_the_first_is_cut_off() -> None:
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
