"""Tests of planned stops, in virtual time."""

import asyncio
import random
from dataclasses import dataclass

import pytest

from ...process.evidence import EvidenceBook
from ...testing import builders
from ...testing.faulty import Fault, FaultyPlatform
from ...testing.stopsites import StopSite
from ..drains import (
    LOAD_REPORT_LAG_S,
    MAX_SEND_S,
    SEND_PERMISSION_LIFETIME_S,
)
from ..groups import GroupRecord, GroupState
from ..stopplanner import (
    StopBeyondCapacity,
    StopPlanner,
    StopRequest,
    StopTargetUnknown,
    StopUndecided,
)
from ..stops import StopKind

GROUPS = 2
TOKEN_S = 0.01
STEP_S = 0.005
# The maximum time from the start of a drain to the last new request.
MAX_SEND_AFTER_DRAIN_S = 3


async def _site(vms: int, *, checks_generation: bool = True) -> StopSite:
    site = StopSite(checks_generation=checks_generation)
    site.add_vms(vms)
    site.configure(1, GROUPS)
    site.start('c1')
    await site.until_serving(GROUPS)
    return site


@pytest.mark.looptime
async def test_replacement_serves_before_the_group_is_drained() -> None:
    site = await _site(8)
    target = site.serving()[0].leader.vm_id
    await site.plan(target)
    await site.until(lambda: site.is_safe(target))
    assert site.least_serving == GROUPS
    # The VM stays excluded, although the new configuration needs it.
    site.configure(2, 4)
    await asyncio.sleep(30)
    held = {vm.vm_id for group in site.groups() for vm in group.members}
    assert target not in held
    await site.planner.cancel(target)
    await site.until_serving(4)


@pytest.mark.looptime
async def test_stop_beyond_the_spares_is_refused_until_loss_is_accepted() -> (
    None
):
    site = await _site(4)
    with pytest.raises(StopBeyondCapacity, match='takes out 1 of 2 groups'):
        await site.plan('vm0')
    assert not await site.planner.stops()
    await site.plan('vm0', accepts_loss=True)
    await site.until(lambda: site.is_safe('vm0'))
    assert len(site.serving()) == 1


@pytest.mark.looptime
@pytest.mark.parametrize('checks_generation', [True, False])
async def test_stop_does_not_cut_running_requests(
    checks_generation: bool,
) -> None:
    site = await _site(8, checks_generation=checks_generation)
    group = site.serving()[0]
    tokens = 3000
    began = site.clock.monotonic()
    running = site.generate(group, tokens)
    await asyncio.sleep(1)
    await site.plan(group.group_id, StopKind.GROUP)
    await site.until(lambda: site.is_safe(group.group_id))
    assert running.done()
    assert await running == tokens
    assert site.clock.monotonic() - began >= tokens * TOKEN_S


@pytest.mark.looptime
async def test_stop_is_not_safe_before_send_permissions_expire() -> None:
    site = await _site(8)
    group = site.serving()[0]
    await site.plan(group.group_id, StopKind.GROUP)
    await site.until(lambda: bool(site.groups(GroupState.DRAINING)))
    began = site.clock.monotonic()
    await site.until(lambda: site.is_safe(group.group_id))
    min_wait_s = SEND_PERMISSION_LIFETIME_S + MAX_SEND_S + LOAD_REPORT_LAG_S
    # The test polls the stop every half second.
    assert site.clock.monotonic() - began >= min_wait_s - 0.5


@pytest.mark.looptime
async def test_stop_is_not_safe_while_a_member_does_not_confirm() -> None:
    site = await _site(8)
    group = site.serving()[0]
    silent = site.engine(group.members[1].vm_id)
    silent.faults.cut_parties.add('c1')
    await site.plan(group.group_id, StopKind.GROUP)
    await asyncio.sleep(60)
    assert not site.is_safe(group.group_id)
    drains = site.controllers['c1'].drain_coordinator.drainer.dump()
    drain = drains[group.group_id]
    assert isinstance(drain, dict)
    assert drain['unconfirmed'] == [silent.vm_id]
    silent.faults.cut_parties.clear()
    await site.until(lambda: site.is_safe(group.group_id))


class _BusyEntry:
    """Reports one request in flight at each group."""

    count = 1

    def in_flight(self, group_id: str, generation: int) -> int:
        return self.count


@pytest.mark.looptime
async def test_stop_is_not_safe_while_an_entry_has_work_in_flight() -> None:
    busy = _BusyEntry()
    site = StopSite(uses=busy)
    site.add_vms(8)
    site.configure(1, GROUPS)
    site.start('c1')
    await site.until_serving(GROUPS)
    await site.plan('vm0')
    await asyncio.sleep(60)
    assert not site.is_safe('vm0')
    busy.count = 0
    await site.until(lambda: site.is_safe('vm0'))


@pytest.mark.looptime
async def test_stop_survives_the_controllers_replacement() -> None:
    site = await _site(8)
    group = site.serving()[0]
    running = site.generate(group, 2000)
    await site.plan(group.group_id, StopKind.GROUP)
    await site.until(lambda: bool(site.groups(GroupState.DRAINING)))
    site.kill('c1')
    site.start('c2')
    await site.until(lambda: site.is_safe(group.group_id))
    assert await running == 2000
    assert site.least_serving >= 1


@pytest.mark.looptime
async def test_cancelled_stop_returns_the_group_to_service() -> None:
    site = await _site(4)
    group = site.serving()[0]
    running = site.generate(group, 2000)
    await site.plan(group.group_id, StopKind.GROUP, accepts_loss=True)
    await site.until(lambda: bool(site.groups(GroupState.DRAINING)))
    await site.planner.cancel(group.group_id)
    await site.until_serving(GROUPS)
    assert group in site.serving()
    assert await running == 2000


@pytest.mark.looptime
async def test_overlapping_stops_proceed_in_the_order_of_planning() -> None:
    site = await _site(8)
    first, second = site.serving()
    running = site.generate(first, 2000)
    await site.plan(first.leader.vm_id)
    # This stop overlaps with the first and exceeds the budget.
    await site.plan('f0', StopKind.FABRIC_DOMAIN, accepts_loss=True)
    await site.until(lambda: site.state_of(first.leader.vm_id) == 'draining')
    assert site.state_of('f0') != 'safe'
    await site.until(lambda: site.is_safe('f0'))
    assert site.is_safe(first.leader.vm_id)
    assert await running == 2000
    held = {vm.vm_id for group in site.groups() for vm in group.members}
    assert not held & {'vm0', 'vm1', 'vm2', 'vm3'}
    assert second.group_id


@pytest.mark.looptime
async def test_stop_of_a_whole_failure_domain() -> None:
    site = await _site(8)
    with pytest.raises(StopBeyondCapacity):
        await site.plan(builders.DOMAIN, StopKind.FAILURE_DOMAIN)
    await site.plan(
        builders.DOMAIN,
        StopKind.FAILURE_DOMAIN,
        accepts_loss=True,
    )
    await site.until(lambda: site.is_safe(builders.DOMAIN))
    assert not site.groups()


async def test_unknown_target_is_refused() -> None:
    with pytest.raises(StopTargetUnknown, match="got vm 'vm9'"):
        await StopSite().plan('vm9')


@pytest.mark.looptime
@pytest.mark.parametrize('fault', [Fault.LOST, Fault.DROPPED, Fault.LATE])
async def test_lost_answer_plans_a_stop_once(fault: Fault) -> None:
    site = StopSite()
    site.add_vms(4)
    platform = FaultyPlatform(site.memory)
    # The planner first reads groups, VMs, claims, stops, sequence and the stop.
    platform.fail((*[Fault.NONE for _ in range(6)], fault))
    desk = StopPlanner(platform, tuple)
    request = StopRequest('s1', StopKind.VM, 'vm0')
    planned = await desk.plan(request)
    await platform.settle()
    assert planned.stop.stop_id == 's1'
    assert [stop.sequence for stop in await desk.stops()] == [1]


@pytest.mark.looptime
async def test_stop_whose_answers_are_all_lost_is_undecided() -> None:
    site = StopSite()
    site.add_vms(4)
    platform = FaultyPlatform(site.memory)
    reads = [Fault.NONE for _ in range(6)]
    platform.fail((*reads, *[Fault.DROPPED for _ in range(5)]))
    desk = StopPlanner(platform, tuple)
    with pytest.raises(StopUndecided):
        await desk.plan(StopRequest('s1', StopKind.VM, 'vm0'))


@dataclass(slots=True)
class _CutOffEntry:
    """An entry that gets no status once the group drains, but still sends."""

    site: StopSite
    group: GroupRecord
    period_s: float
    drained_at: float = 0
    sent_at: float = 0
    _probed_at: float = 0

    async def run(self, seconds: float) -> None:
        book = EvidenceBook(self.site.clock)
        while not self.drained_at or self._since(self.drained_at) < seconds:
            await asyncio.sleep(STEP_S)
            leader = self.site.engine(self.group.leader.vm_id)
            if leader.status().draining:
                self.drained_at = self.drained_at or self.site.clock.monotonic()
            elif self._since(self._probed_at) > self.period_s:
                self._probe(book)
            if book.is_serving(self.group):
                self.sent_at = self.site.clock.monotonic()

    def _since(self, start: float) -> float:
        return self.site.clock.monotonic() - start

    def _probe(self, book: EvidenceBook) -> None:
        self._probed_at = self.site.clock.monotonic()
        for member in self.group.members:
            status = self.site.engine(member.vm_id).status()
            book.note(status, self._probed_at)


@pytest.mark.looptime
@pytest.mark.parametrize('seed', range(20))
async def test_cut_off_entry_soon_stops_sending_to_a_draining_group(
    seed: int,
) -> None:
    rng = random.Random(seed)
    site = await _site(8, checks_generation=False)
    group = site.serving()[0]
    entry = _CutOffEntry(site, group, period_s=rng.uniform(0.5, 1.5))
    running = asyncio.create_task(entry.run(5))
    await asyncio.sleep(2 + rng.random())
    await site.plan(group.group_id, StopKind.GROUP)
    await running
    assert entry.sent_at - entry.drained_at < MAX_SEND_AFTER_DRAIN_S
    assert not site.is_safe(group.group_id)
