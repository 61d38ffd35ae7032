"""Routers choose by cost where the configuration states engine times."""

import asyncio
from collections.abc import Mapping
from contextlib import AsyncExitStack
from types import MappingProxyType
from typing import Any

from ....testing.platformsite import (
    PlatformSite,
    configuration,
    platform_site,
)
from ...membership import short_key
from ..costs import RequestCosts

TIMES = {
    'step_ms': 6.07,
    'per_seq_ms': 0.482,
    'read_per_s': 46_000,
    'chunk': 2048,
    'Stride': 5,
    'usual': {'prompt': 900, 'answer': 60},
    'KvCapacity': 700_000,
}
SIZES = {
    'X-Primroserudder-Token-Usage': '1400,200',
    'X-Primroserudder-Length-Hint': '40',
}
BY_COST = MappingProxyType({'choose_by_cost': True})


def _with_times() -> Mapping[str, object]:
    document: dict[str, Any] = dict(configuration(2))
    model, ledger = document['Services']
    engine = {**model['Engine'], **TIMES}
    return {**document, 'Services': [{**model, 'Engine': engine}, ledger]}


async def _until_serving(site: PlatformSite) -> None:
    router = site.routers[0]
    await site.until(
        lambda: 'model/small' in router.view.directory.targets_by_pool()
    )


def _costs(site: PlatformSite) -> RequestCosts:
    server = site.routers[0].server
    return server.slots.costs.costs


def _is_left(site: PlatformSite) -> bool:
    counts = site.routers[0].in_flight_counts
    return bool(counts.own_reading() or counts.own_held())


async def test_streams_are_predicted_learned_and_leave_nothing() -> None:
    async with platform_site(router_changes=BY_COST) as site:
        site.store.rows.put('op', 'config', _with_times())
        await _until_serving(site)
        for engine in site.engines_by_id.values():
            engine.events = 20
        for number in range(10):
            path = f'/notes/{number}'
            async with site.request(path, headers=SIZES) as response:
                assert response.status == 200
                await response.read()
        costs = _costs(site)
        observed = costs.metrics.latency('first_event_observed').summary()
        predicted = costs.metrics.latency('first_event_predicted').summary()
        learned = costs.estimator.answers.lengths.size((('small',),))
        assert observed['count'] == predicted['count'] == 10
        assert learned is not None
        assert round(learned.median) in {19, 20}
        await site.until(lambda: not _is_left(site))


async def test_callers_that_leave_leave_no_work_behind() -> None:
    # Work that stays would keep requests away from an idle engine.
    async with platform_site(router_changes=BY_COST) as site:
        site.store.rows.put('op', 'config', _with_times())
        await _until_serving(site)
        for engine in site.engines_by_id.values():
            engine.faults.never_answers = True
        async with AsyncExitStack() as stack:
            # More than there are slots, so that some wait for one.
            requests = [
                asyncio.ensure_future(
                    stack.enter_async_context(
                        site.request(f'/notes/{number}', headers=SIZES)
                    )
                )
                for number in range(20)
            ]
            await site.until(lambda: _is_left(site))
            await asyncio.sleep(0.05)
            for request in requests:
                request.cancel()
            await asyncio.gather(*requests, return_exceptions=True)
        await site.until(lambda: not _is_left(site))
        assert not site.routers[0].in_flight_counts.running_by_engine


async def test_sites_without_engine_times_are_served_as_before() -> None:
    async with platform_site(router_changes=BY_COST) as site:
        await _until_serving(site)
        async with site.request('/notes/1', headers=SIZES) as response:
            await response.read()
        async with site.request('/lookups/1') as response:
            await response.read()
        costs = _costs(site)
        assert not _is_left(site)
        observed = costs.metrics.latency('first_event_observed').summary()
        assert observed['count'] == 0


async def test_targets_without_memory_get_no_requests() -> None:
    # An engine whose requests exceed its memory crashes.
    async with platform_site(router_changes=BY_COST) as site:
        site.store.rows.put('op', 'config', _with_times())
        await _until_serving(site)
        counts = site.routers[0].in_flight_counts
        for engine_id in site.engines_by_id:
            counts.others_held[short_key(engine_id)] = 1000
        async with site.request('/notes/1', headers=SIZES) as response:
            assert response.status == 503
        counts.others_held.clear()
        async with site.request('/notes/2', headers=SIZES) as response:
            assert response.status == 200
            await response.read()
