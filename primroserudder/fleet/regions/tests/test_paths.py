"""Requests bound to regions reach no target elsewhere, on any path."""

import asyncio
from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any

import pytest

from ....process.metrics import Metrics
from ....testing.colddata import no_cold_engines
from ....testing.defaults import no_costs, no_evacuations
from ....testing.fleetdata import ManualClock, call, route, target
from ...balancing import Balancer, split_pool
from ...call import Call
from ...enginelimits import build_limit_gate
from ...health import TargetHealth
from ...membership import InFlightCounts
from ...model import Target
from ...slotqueues import SlotQueues
from ...target_selector import TargetSelector
from ...waitqueue import NoFreeSlot
from ..rules import RegionMap

NORTH = [target(f'n-{number}', 2, 'fd-1') for number in range(3)]
SOUTH = [target(f's-{number}', 2, 'fd-2') for number in range(2)]
REGIONS = RegionMap({'fd-1': 'north', 'fd-2': 'south'}, 'fd-1', 'north')
TRIES = 40


def _router(address: str, domain: str) -> Target:
    return Target(f'router/{address}', address, domain, 9, is_router=True)


ROUTERS = [_router('10.1.0.1:1', 'fd-1'), _router('10.2.0.1:1', 'fd-2')]


def _selector(
    counts: InFlightCounts,
    targets: Sequence[Target] = (*NORTH, *SOUTH),
    routers: Sequence[Target] = (),
) -> TargetSelector:
    clock = ManualClock()
    directory: Any = SimpleNamespace(targets=lambda _service, _model: targets)
    forwarder: Any = SimpleNamespace(
        is_active=bool(routers), pool=lambda: split_pool(routers, 'fd-1')
    )
    return TargetSelector(
        'fd-1',
        directory,
        Balancer(counts.running),
        TargetHealth(clock),
        build_limit_gate(
            counts, clock, lambda: 1, no_cold_engines(clock), Metrics()
        ),
        forwarder,
        tuple,
        no_evacuations(clock),
        REGIONS,
        no_costs(),
    )


def _bound_call(*regions: str) -> Call:
    return call(route(regions=frozenset(regions)))


def _found(
    selector: TargetSelector, request: Call, leaving: str = ''
) -> set[str]:
    found = [selector.find(request, leaving) for _ in range(TRIES)]
    return {each.engine_id for each in found if each is not None}


async def test_choice() -> None:
    selector = _selector(InFlightCounts())
    assert _found(selector, _bound_call('south')) == {'s-0', 's-1'}
    assert _found(selector, call()) & {'n-0', 'n-1', 'n-2'}


async def test_choice_when_all_slots_of_the_region_are_in_use() -> None:
    counts = InFlightCounts()
    for busy in (*SOUTH, *SOUTH):
        counts.begin(busy.engine_id)
    assert not _found(_selector(counts), _bound_call('south'))


async def test_retry_after_all_engines_of_the_region_were_tried() -> None:
    selector = _selector(InFlightCounts())
    request = _bound_call('south')
    request.tried_engines.update({'s-0', 's-1'})
    assert _found(selector, request) == {'s-0', 's-1'}


async def test_stream_that_leaves_an_engine_stays_in_the_region() -> None:
    selector = _selector(InFlightCounts())
    assert _found(selector, _bound_call('south'), 's-0') == {'s-1'}


async def test_region_that_seems_unreachable_is_not_left() -> None:
    selector = _selector(InFlightCounts())
    for lost in SOUTH:
        selector.health.note_unreachable_head(lost.engine_id, 'fd-2')
    assert not _found(selector, _bound_call('south'))


async def test_region_without_targets_has_none() -> None:
    selector = _selector(InFlightCounts())
    assert not selector.has_targets(_bound_call('nowhere'))
    assert not _found(selector, _bound_call('nowhere'))
    assert selector.has_targets(_bound_call('nowhere', 'north'))
    assert not _selector(InFlightCounts(), NORTH).has_targets(
        _bound_call('south')
    )


async def test_back_off_counts_engines_of_the_region_alone() -> None:
    selector = _selector(InFlightCounts())
    for pausing in SOUTH:
        selector.health.note_back_off(pausing, 3)
    assert selector.back_off_s(_bound_call('south'), 0) > 2
    assert not selector.back_off_s(_bound_call('north'), 0)


async def test_bodies_are_forwarded_to_routers_of_the_region_alone() -> None:
    selector = _selector(InFlightCounts(), routers=ROUTERS)
    assert _found(selector, _bound_call('south')) == {ROUTERS[1].engine_id}
    assert not _found(selector, _bound_call('nowhere'))
    assert selector.has_routers(_bound_call('north'))
    assert not selector.has_routers(_bound_call('nowhere'))


async def test_request_that_waits_for_a_region_holds_up_no_other() -> None:
    counts = InFlightCounts()
    for busy in (*SOUTH, *SOUTH):
        counts.begin(busy.engine_id)
    selector = _selector(counts)
    clock: Any = ManualClock()
    slots = SlotQueues(counts, clock, lambda _target: None, no_costs())
    bound, free = _bound_call('south'), call()

    async def acquire(request: Call) -> Target:
        return await slots.acquire(request, lambda: selector.find(request), 0.2)

    waiting = asyncio.ensure_future(acquire(bound))
    await asyncio.sleep(0.01)
    taken = await acquire(free)
    assert taken.failure_domain == 'fd-1'
    assert not waiting.done()
    assert counts.waiting(bound.pool) == 1
    with pytest.raises(NoFreeSlot):
        await waiting
