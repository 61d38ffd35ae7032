"""Evacuated domains get no requests on any path, without a network."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any, cast

import pytest

from ....platform import decode_configuration, decode_evacuations
from ....process.decisions import DecisionLog
from ....process.metrics import Metrics
from ....process.platform import Row
from ....testing.defaults import no_costs, no_regions, unlimited_gate
from ....testing.fleetdata import ManualClock, call, engine, route
from ....testing.platformsite import configuration
from ...attempt import AttemptResult
from ...attemptlog import AttemptLog
from ...balancing import Balancer
from ...call import Call
from ...directory import Directory
from ...forwarding import EngineReach, Forwarder
from ...health import TargetHealth
from ...membership import InFlightCounts
from ...model import Engine, Service, Target
from ...poolmeter import PoolMeter
from ...retries import Ending
from ...routes import NO_WORKSPACE, Destination
from ...serving import Server
from ...slotqueues import SlotQueues
from ...streammoves import StreamMoves
from ...target_selector import TargetSelector
from ...waitqueue import NoFreeSlot
from ..evacuations import Evacuations
from ..guard import EvacuationGuard

SERVICE = Service('ledger', 50)
SLOTS = 4
# A request of these tests may wait 0.49 s for a slot.
AT_ONCE_S = 0.1


@dataclass(slots=True)
class _Vm:
    """The parts of a router that choose targets and give out slots."""

    directory: Directory
    clock: ManualClock = field(default_factory=ManualClock)
    counts: InFlightCounts = field(default_factory=InFlightCounts)
    metrics: Metrics = field(default_factory=Metrics)
    health: TargetHealth = field(init=False)
    evacuations: Evacuations = field(init=False)
    selector: TargetSelector = field(init=False)
    slots: SlotQueues = field(init=False)
    server: Server = field(init=False)

    def __post_init__(self) -> None:
        log = DecisionLog('vm', self.clock)
        self.health = TargetHealth(self.clock)
        self.evacuations = Evacuations(decode_evacuations, self.clock, log)
        limits = unlimited_gate(self.counts, self.clock)
        no_part = cast(Any, None)
        reach = EngineReach(no_part, self.directory, self.clock, log, 'fd-1')
        self.selector = TargetSelector(
            'fd-1',
            self.directory,
            Balancer(self.counts.running),
            self.health,
            limits,
            Forwarder(reach, no_part, 'fd-1'),
            tuple,
            self.evacuations,
            no_regions(),
            no_costs(),
        )
        self.slots = SlotQueues(
            self.counts, self.clock, limits.note_send, no_costs()
        )
        self.server = Server(
            self.selector,
            no_part,
            self.clock,
            self.slots,
            self.health,
            no_part,
            AttemptLog(log, self.metrics),
            no_part,
            EvacuationGuard(self.selector, self.slots, self.metrics),
        )

    def evacuate(self, *domains: str) -> None:
        """Read the rows of exactly these domains, as a router does."""
        keys = [f'op/evacuate/{domain}' for domain in domains]
        self.evacuations.update({key: Row(key, 7, {}) for key in keys})
        self.slots.refuse_waiting()
        self.slots.grant_free_slots()

    def fill(self, *engine_ids: str) -> None:
        """Use all slots of some engines."""
        for engine_id in engine_ids:
            for _ in range(SLOTS):
                self.counts.begin(engine_id)


def _vm(*domains: str) -> _Vm:
    """Return a VM that knows a plain engine in each domain, named by it."""
    engines = {
        domain: engine(
            domain, service='ledger', failure_domain=domain, slots=SLOTS
        )
        for domain in domains
    }
    return _Vm(_directory(engines.values()))


def _directory(engines: Iterable[Engine]) -> Directory:
    by_id = {entry.engine_id: entry for entry in engines}
    directory = Directory(lambda engine_id, _: by_id.get(engine_id))
    rows = {
        f'servers/{engine_id}': Row(f'servers/{engine_id}', 1, {})
        for engine_id in by_id
    }
    directory.update(rows, decode_configuration(configuration()))
    return directory


def _call(objective_s: float = 1.4) -> Call:
    request = call(route(objective_s=objective_s))
    request.destination = Destination(
        replace(route(), objective_s=objective_s), SERVICE, NO_WORKSPACE
    )
    return request


async def _acquire(vm: _Vm, request: Call) -> Target:
    return await vm.server._acquire_slot(request)


async def test_no_target_of_the_domain_is_found() -> None:
    vm = _vm('fd-1', 'fd-2')
    request = _call()
    vm.evacuate('fd-1')
    for _ in range(20):
        found = vm.selector.find(request)
        assert found is not None
        assert found.failure_domain == 'fd-2'
    vm.evacuate()
    found = vm.selector.find(request)
    assert found is not None
    assert found.failure_domain == 'fd-1'


async def test_full_other_domains_don_t_bring_the_domain_back() -> None:
    vm = _vm('fd-1', 'fd-2')
    vm.evacuate('fd-1')
    vm.fill('fd-2')
    assert vm.selector.find(_call()) is None


async def test_unreachable_other_domains_don_t_bring_the_domain_back() -> None:
    # Unreachable domains are used if there are no others; so are the engines
    # that a request has tried.
    vm = _vm('fd-1', 'fd-2')
    vm.evacuate('fd-1')
    for engine_id in ('x', 'y'):
        vm.health.note(
            Target(engine_id, '', 'fd-2', 1),
            AttemptResult(Ending.NOT_SENT),
            vm.clock.now,
        )
    assert vm.health.cut_off_domains() == {'fd-2'}
    request = _call()
    request.tried_engines.add('fd-2')
    found = vm.selector.find(request)
    assert found is not None
    assert found.failure_domain == 'fd-2'


async def test_back_off_of_the_other_domains_counts_alone() -> None:
    # A usable engine of the domain would let the request wait for a slot.
    vm = _vm('fd-1', 'fd-2')
    other = vm.directory.targets(SERVICE, '')[1]
    vm.health.note_back_off(other, 30)
    assert vm.selector.back_off_s(_call(), 0) == 0
    vm.evacuate('fd-1')
    assert vm.selector.back_off_s(_call(), 0) == pytest.approx(30)


async def test_request_without_another_target_is_refused_at_once() -> None:
    vm = _vm('fd-1')
    vm.evacuate('fd-1')
    request = _call()
    assert not vm.selector.has_targets(request)
    with pytest.raises(NoFreeSlot) as refused:
        await _acquire(vm, request)
    assert 'evacuated' in str(refused.value)
    assert refused.value.retry_after
    assert refused.value.status == 503
    assert _requests(vm, 'refused') == 1


async def test_other_routers_get_no_request_that_they_would_refuse() -> None:
    # Each of them would be asked in turn.
    vm = _vm('fd-1')
    vm.selector.forwarder.reach.is_cut_off = True
    vm.selector.forwarder.peers = cast(Any, _Peers())
    assert (await _acquire(vm, _call())).is_router
    vm.evacuate('fd-1')
    with pytest.raises(NoFreeSlot, match='evacuated'):
        await _acquire(vm, _call())


async def test_request_without_any_target_is_no_matter_of_evacuations() -> None:
    vm = _vm()
    vm.evacuate('fd-1')
    with pytest.raises(NoFreeSlot, match='no group serves the model'):
        await _acquire(vm, _call())
    assert not _requests(vm, 'refused')


async def test_granted_slot_is_given_back_before_the_request_is_sent() -> None:
    vm = _vm('fd-1', 'fd-2')
    vm.fill('fd-1', 'fd-2')
    waiting = asyncio.ensure_future(_acquire(vm, _call()))
    await asyncio.sleep(0)
    # The slot is granted and the domain evacuated before the request goes on.
    vm.slots.release(_call(), vm.directory.targets(SERVICE, '')[0])
    assert vm.counts.running('fd-1') == SLOTS
    vm.evacuate('fd-1')
    vm.slots.release(_call(), vm.directory.targets(SERVICE, '')[1])
    target = await waiting
    assert target.failure_domain == 'fd-2'
    assert vm.counts.running('fd-1') == SLOTS - 1
    assert vm.counts.running('fd-2') == SLOTS
    assert _requests(vm, 'replaced') == 1


async def test_granted_slot_without_another_target_ends_in_a_refusal() -> None:
    vm = _vm('fd-1')
    vm.fill('fd-1')
    waiting = asyncio.ensure_future(_acquire(vm, _call()))
    await asyncio.sleep(0)
    vm.slots.release(_call(), vm.directory.targets(SERVICE, '')[0])
    vm.evacuate('fd-1')
    with pytest.raises(NoFreeSlot, match='evacuated'):
        await waiting
    assert vm.counts.running('fd-1') == SLOTS - 1


async def test_reserved_slot_is_given_back_before_the_request_is_sent() -> None:
    vm = _vm('fd-1', 'fd-2')
    request = _call()
    request.reserved_target = vm.selector.find(request)
    assert request.reserved_target is not None
    assert request.reserved_target.failure_domain == 'fd-1'
    vm.counts.begin('fd-1')
    vm.evacuate('fd-1')
    target = await _acquire(vm, request)
    assert target.failure_domain == 'fd-2'
    assert not vm.counts.running('fd-1')


async def test_reserved_slot_of_a_domain_in_use_is_kept() -> None:
    vm = _vm('fd-1', 'fd-2')
    request = _call()
    reserved = vm.selector.find(request)
    assert reserved is not None
    request.reserved_target = reserved
    vm.evacuate('fd-2')
    assert await _acquire(vm, request) is reserved


async def test_stream_does_not_leave_for_a_domain_evacuated_meanwhile() -> None:
    """It would end its attempt although no slot elsewhere is secured."""
    vm = _vm('fd-1', 'fd-2')
    vm.fill('fd-1', 'fd-2')
    first, second = vm.directory.targets(SERVICE, '')
    paid: list[Call] = []
    moves = StreamMoves(
        vm.selector, cast(Any, _Charger(paid)), vm.slots, cast(Any, _Calm())
    )
    request = _call()
    running: asyncio.Future[AttemptResult] = (
        asyncio.get_running_loop().create_future()
    )
    leaving = asyncio.ensure_future(
        moves.try_reserve(request, second, cast(Any, running))
    )
    await asyncio.sleep(0.01)
    vm.slots.release(request, first)
    vm.evacuate('fd-1')
    assert not await leaving
    assert request.reserved_target is None
    assert not paid
    assert vm.counts.running('fd-1') == SLOTS - 1


async def test_waiting_requests_are_refused_once_no_target_is_left() -> None:
    vm = _vm('fd-1', 'fd-2')
    vm.fill('fd-1', 'fd-2')
    waiting = [asyncio.ensure_future(_acquire(vm, _call())) for _ in range(3)]
    await asyncio.sleep(0)
    vm.evacuate('fd-1')
    await asyncio.sleep(0)
    assert not any(request.done() for request in waiting)
    vm.evacuate('fd-1', 'fd-2')
    async with asyncio.timeout(AT_ONCE_S):
        errors = await asyncio.gather(*waiting, return_exceptions=True)
    assert all('evacuated' in str(error) for error in errors)
    assert not vm.counts.waiting('ledger/')


async def test_request_that_may_have_run_goes_on_waiting() -> None:
    # It can't be told that it has not run; the domain may return in time.
    vm = _vm('fd-1')
    request = _call()
    request.retry_state.runs = 1
    vm.evacuate('fd-1')
    waiting = asyncio.ensure_future(_acquire(vm, request))
    await asyncio.sleep(0)
    vm.evacuate('fd-1', 'fd-2')
    await asyncio.sleep(0.1)
    assert not waiting.done()
    vm.evacuate()
    assert (await waiting).failure_domain == 'fd-1'


async def test_caller_that_leaves_as_it_is_refused_is_cancelled() -> None:
    vm = _vm('fd-1')
    vm.fill('fd-1')
    waiting = asyncio.ensure_future(_acquire(vm, _call()))
    await asyncio.sleep(0)
    vm.evacuate('fd-1')
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert vm.counts.running('fd-1') == SLOTS


async def test_pools_count_usable_targets_only() -> None:
    vm = _vm('fd-1', 'fd-2')
    meter = PoolMeter(
        vm.directory,
        vm.counts,
        cast(Any, None),
        vm.clock,
        DecisionLog('vm', vm.clock),
        bool,
        vm.evacuations,
    )
    vm.counts.begin('fd-1')
    vm.evacuate('fd-1')
    use = meter.use_by_pool()['ledger/']
    assert (use.targets, use.slots, use.running) == (1, SLOTS, 0)
    vm.evacuate('fd-1', 'fd-2')
    assert meter.use_by_pool()['ledger/'].targets == 0


async def test_pool_is_split_again_only_on_a_change() -> None:
    # The cost of a request must not grow with evacuations.
    vm = _vm('fd-1', 'fd-2')
    request = _call()
    pool = vm.selector._pool(request)
    assert vm.selector._pool(request) is pool
    vm.evacuate('fd-1')
    without = vm.selector._pool(request)
    assert without is not pool
    assert vm.selector._pool(request) is without


def _requests(vm: _Vm, effect: str) -> float:
    return vm.metrics.value('evacuated_requests', effect=effect)


@dataclass(slots=True)
class _Charger:
    """Pays for any retry."""

    paid: list[Call]

    def try_reserve(self, request: Call) -> bool:
        """Record and reserve a retry."""
        self.paid.append(request)
        return True


class _Peers:
    """Another router, in an evacuated domain, reaches engines."""

    def __init__(self) -> None:
        """Create the router's target."""
        router = Target('router/1', '127.0.0.1:1', 'fd-1', 9, is_router=True)
        self._targets = (router,)

    def targets(self) -> tuple[Target, ...]:
        """Return the router."""
        return self._targets


class _Calm:
    """Refuses nothing."""

    def is_refused(self, _request: Call) -> bool:
        """Return whether a request is quarantined."""
        return False
