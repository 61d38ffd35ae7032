"""Routers send nothing more to evacuated failure domains, over loopback."""

import asyncio
import itertools

import pytest

from ....standins.groupengine import event
from ....testing.enginecuts import CutKind, cut_off_from_engines
from ....testing.evacuatedsite import (
    DOMAINS,
    evacuate,
    received_by_domain,
    revoke,
    serving_domains,
    site_of_domains,
    statuses,
    until_heard,
)
from ....testing.platformsite import PlatformSite, configuration
from ...router import Router

# The bound is 5 s; within a failure domain VMs hear in 2 s.
HEARD_WITHIN_S = 2.0
AT_ONCE_S = 0.1
FORMED_WITHIN_S = 5.0
# A domain that a restored store lacks is kept for so long.
KEPT_S = 4.0
MARGIN_S = 0.3
PATHS = ('/notes/1', '/refunds/1', '/lookups/1')
STREAM = b''.join(event(number) for number in range(1, 6))


def _now() -> float:
    return asyncio.get_running_loop().time()


async def _assert_avoided(site: PlatformSite, *domains: str) -> None:
    since = _now()
    for number, path in itertools.product(range(len(site.routers)), PATHS):
        assert set(await statuses(site, path, 3, number)) == {200}
    assert not received_by_domain(site, since, domains)


async def test_evacuated_domain_gets_nothing_and_serves_again_after() -> None:
    async with site_of_domains() as site:
        evacuate(site, 'fd-1')
        await until_heard(site, 'fd-1')
        await _assert_avoided(site, 'fd-1')
        revoke(site, 'fd-1')
        await until_heard(site)
        since = _now()
        for _ in range(5):
            await statuses(site, '/refunds/1', 3)
        assert received_by_domain(site, since, {'fd-1'})


def _children(site: PlatformSite) -> list[Router]:
    """Return the routers that read tables from another one."""
    return [router for router in site.routers if router.tables.relays()]


async def test_evacuation_is_heard_through_a_relay() -> None:
    async with site_of_domains(routers=4) as site:
        # The routers are of one failure domain: only its root and the holder
        # of the lease read the store.
        await site.until(lambda: len(_children(site)) > 1)
        children = _children(site)
        reads = [router.tables.relayed_reads for router in children]
        evacuate(site, 'fd-2')
        async with asyncio.timeout(HEARD_WITHIN_S):
            await until_heard(site, 'fd-2')
        assert all(
            router.tables.relayed_reads > before
            for router, before in zip(children, reads, strict=True)
        )
        await _assert_avoided(site, 'fd-2')
        revoke(site, 'fd-2')
        async with asyncio.timeout(HEARD_WITHIN_S):
            await until_heard(site)


async def test_router_knows_the_evacuation_before_it_is_ready() -> None:
    async with site_of_domains(routers=2) as site:
        evacuate(site, 'fd-1')
        await until_heard(site, 'fd-1')
        since = _now()
        for number, router in enumerate(site.routers):
            await router.close()
            site.routers[number] = Router(router.settings)
            await site.routers[number].start()
            await site.until(site.routers[number].is_ready)
            evacuations = site.routers[number].view.evacuations
            assert evacuations.domains == {'fd-1'}
            await statuses(site, '/refunds/1', 6, number)
        assert not received_by_domain(site, since, {'fd-1'})


async def test_several_domains_are_evacuated_at_once() -> None:
    async with site_of_domains() as site:
        evacuate(site, 'fd-1', 'fd-3')
        await until_heard(site, 'fd-1', 'fd-3')
        await _assert_avoided(site, 'fd-1', 'fd-3')


@pytest.mark.parametrize('path', PATHS)
async def test_all_domains_evacuated_refuse_at_once(path: str) -> None:
    async with site_of_domains() as site:
        evacuate(site, *DOMAINS)
        await until_heard(site, *DOMAINS)
        since = _now()
        async with site.request(path) as response:
            await response.read()
            assert response.status == 503
            assert float(response.headers['Retry-After']) > 0
        assert _now() - since < AT_ONCE_S
        assert not received_by_domain(site, since, DOMAINS)
        metrics = site.routers[0].metrics
        assert metrics.value('evacuated_requests', effect='refused') == 1


async def test_unknown_domain_changes_nothing() -> None:
    async with site_of_domains() as site:
        evacuate(site, 'fd-9')
        await until_heard(site, 'fd-9')
        since = _now()
        for _ in range(5):
            assert set(await statuses(site, '/refunds/1', 3)) == {200}
        assert all(
            received_by_domain(site, since, {domain}) for domain in DOMAINS
        )
        dump = site.routers[0].dump()['evacuated']
        assert dump == {'fd-9': {'revision': _revision(site), 'engines': 0}}


def _revision(site: PlatformSite) -> int:
    return site.store.rows.rows_by_id['op', 'evacuate/fd-9'].revision


async def test_malformed_rows_change_nothing() -> None:
    async with site_of_domains() as site:
        evacuate(site, '', 'x' * 3000)
        site.store.rows.put_raw('op', 'evacuate/fd-1', b'\xff not json')
        await until_heard(site, 'fd-1')
        await _assert_avoided(site, 'fd-1')


async def test_stream_that_runs_in_the_domain_goes_on_to_its_end() -> None:
    async with site_of_domains(plain=3) as site:
        for engine in site.engines_by_id.values():
            engine.event_s = 0.3
        headers = {'X-Primroserudder-Attempt-Id': 'one'}
        async with site.request('/notes/1', headers=headers) as response:
            received = await response.content.readexactly(len(event(1)))
            evacuate(site, *DOMAINS)
            await until_heard(site, *DOMAINS)
            received += await response.content.read()
        assert received == STREAM
        assert len(site.arrivals('one')) == 1


async def test_waiting_requests_without_a_target_are_refused_at_once() -> None:
    async with site_of_domains() as site:
        await _let_requests_wait(site)
        server = site.routers[0].server
        counts = server.slots.in_flight_counts
        for engine_id in site.engines_by_id:
            for _ in range(50):
                counts.begin(engine_id)
        waiting = asyncio.ensure_future(statuses(site, '/refunds/1', 3))
        await site.until(lambda: counts.waiting('ledger/') == 3)
        evacuate(site, *DOMAINS)
        await until_heard(site, *DOMAINS)
        heard_at = _now()
        assert await waiting == [503, 503, 503]
        assert _now() - heard_at < AT_ONCE_S
        metrics = site.routers[0].metrics
        assert metrics.value('evacuated_requests', effect='refused') == 3


async def _let_requests_wait(site: PlatformSite) -> None:
    """Set objectives that let requests wait for half a second."""
    routes = configuration()['Routes']
    assert isinstance(routes, list)
    slow = [{**route, 'SloMs': 2000} for route in routes]
    site.store.rows.put('op', 'config', configuration(2, Routes=slow))
    active = site.routers[0].view.active
    await site.until(
        lambda: active.current is not None and active.current.version == 2
    )


async def test_forwarded_requests_avoid_the_domain_too() -> None:
    async with site_of_domains(routers=3) as site:
        evacuate(site, 'fd-1')
        await until_heard(site, 'fd-1')
        since = _now()
        with cut_off_from_engines(site, site.routers[2], CutKind.REFUSED):
            router = site.routers[2]
            while not router.forwarder.is_active:
                await statuses(site, '/lookups/1', 1, 2)
            assert set(await statuses(site, '/lookups/1', 10, 2)) == {200}
        assert not received_by_domain(site, since, {'fd-1'})


async def test_router_out_of_touch_with_the_store_keeps_what_it_knows() -> None:
    async with site_of_domains() as site:
        evacuate(site, 'fd-1')
        await until_heard(site, 'fd-1')
        site.store.faults.is_down = True
        router = site.routers[0]
        await site.until(lambda: not router.view.configurations.is_reachable)
        revoke(site, 'fd-1')
        await asyncio.sleep(1)
        await _assert_avoided(site, 'fd-1')
        site.store.faults.is_down = False
        await until_heard(site)


async def _send_to_all(site: PlatformSite) -> None:
    for number, _ in enumerate(site.routers):
        await statuses(site, '/refunds/1', 2, number)


async def test_domain_that_a_restored_store_lacks_stays_evacuated() -> None:
    # Operators write the row again within 4 s.
    async with site_of_domains(routers=3) as site:
        rows_copy = site.store.rows.copy()
        evacuate(site, 'fd-1')
        await until_heard(site, 'fd-1')
        since = _now()
        site.store.rows.restore(rows_copy)
        while _now() < since + KEPT_S - MARGIN_S:
            for engine in site.engines_by_id.values():
                engine.register()
            await _send_to_all(site)
            assert not received_by_domain(site, since, {'fd-1'})
            await asyncio.sleep(MARGIN_S)
        async with asyncio.timeout(HEARD_WITHIN_S + MARGIN_S):
            await until_heard(site)


async def test_row_written_again_after_a_restore_counts_on() -> None:
    async with site_of_domains(routers=3) as site:
        rows_copy = site.store.rows.copy()
        evacuate(site, 'fd-1')
        await until_heard(site, 'fd-1')
        since = _now()
        site.store.rows.restore(rows_copy)
        await asyncio.sleep(KEPT_S - 1)
        evacuate(site, 'fd-1')
        while _now() < since + KEPT_S + 2:
            for engine in site.engines_by_id.values():
                engine.register()
            await _send_to_all(site)
            await asyncio.sleep(MARGIN_S)
        assert not received_by_domain(site, since, {'fd-1'})


async def test_row_that_a_restored_store_has_again_counts_at_once() -> None:
    async with site_of_domains(routers=3) as site:
        evacuate(site, 'fd-1')
        await until_heard(site, 'fd-1')
        rows_copy = site.store.rows.copy()
        revoke(site, 'fd-1')
        await until_heard(site)
        site.store.rows.restore(rows_copy)
        async with asyncio.timeout(HEARD_WITHIN_S):
            await until_heard(site, 'fd-1')


async def test_groups_stay_and_serve_at_once_on_return() -> None:
    async with site_of_domains() as site:
        engines = [
            engine
            for engine in site.engines_by_id.values()
            if engine.failure_domain == 'fd-1'
        ]
        evacuate(site, 'fd-1')
        await until_heard(site, 'fd-1')
        groups = [engine.group for engine in engines]
        orders = [len(engine.orders) for engine in engines]
        await asyncio.sleep(1.5)
        assert [engine.group for engine in engines] == groups
        assert [len(engine.orders) for engine in engines] == orders
        revoke(site, 'fd-1')
        await until_heard(site)
        assert serving_domains(site.routers[0], 'model/small') == set(DOMAINS)
        since = _now()
        for _ in range(10):
            assert set(await statuses(site, '/notes/1', 3)) == {200}
        assert received_by_domain(site, since, {'fd-1'})


async def test_no_group_is_formed_in_the_domain() -> None:
    # What is left of the site has room for fewer groups than are wanted.
    async with site_of_domains() as site:
        evacuate(site, 'fd-1', 'fd-2')
        await until_heard(site, 'fd-1', 'fd-2')
        engines = [
            engine
            for engine in site.engines_by_id.values()
            if engine.failure_domain == 'fd-1' and not engine.is_plain
        ]
        # All engines of the domain start again and are free.
        for restarted in engines:
            restarted.member.group = None
            restarted.born += 1
            restarted.register()
        await asyncio.sleep(3)
        assert not any(engine.group for engine in engines)
        revoke(site, 'fd-1')
        async with asyncio.timeout(FORMED_WITHIN_S):
            await site.until(
                lambda: any(engine.is_open() for engine in engines)
            )


async def test_state_dump_and_pools_count_only_usable_targets() -> None:
    async with site_of_domains() as site:
        router = site.routers[0]
        assert not router.dump()['evacuated']
        before = router.pool_meter.use_by_pool()['ledger/']
        evacuate(site, 'fd-1')
        await until_heard(site, 'fd-1')
        after = router.pool_meter.use_by_pool()['ledger/']
        assert (before.targets, after.targets) == (3, 2)
        assert before.slots == after.slots * 3 / 2
        dump = router.dump()['evacuated']
        assert isinstance(dump, dict)
        assert dump['fd-1']['engines'] == 5
