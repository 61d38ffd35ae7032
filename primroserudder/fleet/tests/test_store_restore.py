"""The store comes back from a copy that is some seconds old."""

import asyncio
from collections.abc import Iterable

from ...standins.groupengine import GroupEngine
from ...testing.platformsite import PlatformSite, configuration, platform_site
from ..membership.nodes import NODES_PREFIX
from ..router import Router

# Both routers of a site follow four tables, and one of them the lease.
MAX_CALLS_PER_S = 40
SETTLED_S = 4.0


async def _wait_until_serving(site: PlatformSite) -> None:
    await site.until(
        lambda: all(
            len(router.view.directory.targets_by_pool()) == 2
            for router in site.routers
        )
    )


def _write_again(engines: Iterable[GroupEngine]) -> None:
    """Write entries as living engines do after a restore."""
    for engine in engines:
        engine.register()


def _raise_revision(site: PlatformSite, count: int = 40) -> None:
    for number in range(count):
        site.store.rows.put('elsewhere', 'row', {'number': number})


def _holder(site: PlatformSite) -> Router | None:
    held = (router for router in site.routers if router.lease.is_held())
    return next(held, None)


async def test_change_after_a_restore_is_seen_with_few_calls() -> None:
    async with platform_site(routers=2) as site:
        await _wait_until_serving(site)
        rows_copy = site.store.rows.copy()
        _raise_revision(site)
        site.store.rows.put('op', 'config', configuration(2))
        await site.until(lambda: _versions(site) == {2})
        site.store.rows.restore(rows_copy)
        _write_again(site.engines_by_id.values())
        await asyncio.sleep(0.5)
        calls = site.store.calls
        site.store.rows.put('op', 'config', configuration(3))
        await asyncio.sleep(1)
        assert _versions(site) == {3}
        assert site.store.calls - calls < MAX_CALLS_PER_S


async def test_change_is_seen_if_the_revision_was_given_out_again() -> None:
    # The store's revision is past the router's again before its next call.
    async with platform_site(routers=2) as site:
        await _wait_until_serving(site)
        rows_copy = site.store.rows.copy()
        site.store.rows.put('op', 'config', configuration(2))
        await site.until(lambda: _versions(site) == {2})
        site.store.faults.is_down = True
        await asyncio.sleep(0.2)
        site.store.rows.restore(rows_copy)
        _write_again(site.engines_by_id.values())
        site.store.rows.put('op', 'config', configuration(3))
        _raise_revision(site)
        site.store.faults.is_down = False
        await asyncio.sleep(1.5)
        assert _versions(site) == {3}


def _versions(site: PlatformSite) -> set[int]:
    configurations = (router.view.configuration() for router in site.routers)
    return {known.version if known else 0 for known in configurations}


async def test_fencing_tokens_and_epochs_are_never_given_out_again() -> None:
    async with platform_site() as site:
        rows_copy = site.store.rows.copy()
        await _wait_until_serving(site)
        await site.until(lambda: _holder(site) is not None)
        lost_fencing = site.routers[0].lease.fencing
        lost_epochs = _epochs(site)
        site.store.rows.restore(rows_copy)
        _write_again(site.engines_by_id.values())
        await site.restart_routers()
        await site.until(lambda: _holder(site) is not None)
        await asyncio.sleep(SETTLED_S)
        assert site.routers[0].lease.fencing > lost_fencing
        new_epochs = _epochs(site) - lost_epochs
        assert all(epoch > max(lost_epochs) for epoch in new_epochs)


def _epochs(site: PlatformSite) -> set[int]:
    return {
        int(str(order['epoch']))
        for engine in site.engines_by_id.values()
        for order in engine.orders
        if order['Operation'] == 'join'
    }


async def test_groups_formed_in_the_lost_seconds_serve_on() -> None:
    async with platform_site(engines=6) as site:
        rows_copy = site.store.rows.copy()
        await _wait_until_serving(site)
        await asyncio.sleep(SETTLED_S)
        groups = [head.group for head in site.heads()]
        site.store.rows.restore(rows_copy)
        _write_again(site.engines_by_id.values())
        orders = sum(len(engine.orders) for engine in _engines(site))
        await asyncio.sleep(SETTLED_S)
        assert [head.group for head in site.heads()] == groups
        assert sum(len(engine.orders) for engine in _engines(site)) == orders
        assert len(site.store.rows.copy().keys_of('groups')) == len(groups)


def _engines(site: PlatformSite) -> Iterable[GroupEngine]:
    return site.engines_by_id.values()


async def test_router_writes_its_address_again() -> None:
    async with platform_site() as site:
        router = site.routers[0]
        key = router.settings.exchange_endpoint
        await asyncio.sleep(SETTLED_S / 2)
        rows_copy = site.store.rows.copy().without('nodes')
        follower = router.view.nodes
        await site.until(lambda: NODES_PREFIX + key in follower.rows_by_key)
        site.store.rows.restore(rows_copy)
        await asyncio.sleep(SETTLED_S)
        assert site.store.rows.fields('nodes', key)


async def test_strikes_are_written_again() -> None:
    async with platform_site() as site:
        await _wait_until_serving(site)
        rows_copy = site.store.rows.copy()
        strikes = ('digest=a@1', 'digest=b@1', 'digest=c@1')
        site.routers[0].server.quarantine.merge('vm-9', strikes)
        await site.until(
            lambda: len(site.store.rows.copy().keys_of('strikes')) == 3
        )
        site.store.rows.restore(rows_copy)
        await asyncio.sleep(SETTLED_S)
        assert set(site.store.rows.copy().keys_of('strikes')) == set(strikes)


async def test_engine_that_drains_stays_without_requests() -> None:
    # The copy shows the engine as ready; its own news is written later.
    async with platform_site(plain=2) as site:
        await _wait_until_serving(site)
        rows_copy = site.store.rows.copy()
        leaving = _plain_engine(site)
        leaving.is_draining = True
        leaving.register()
        await site.until(lambda: _targets(site) == 1)
        site.store.rows.restore(rows_copy)
        for _ in range(20):
            await asyncio.sleep(0.05)
            assert _targets(site) == 1


async def test_engine_that_left_stays_without_requests() -> None:
    async with platform_site(plain=2) as site:
        await _wait_until_serving(site)
        rows_copy = site.store.rows.copy()
        gone = _plain_engine(site)
        gone.deregister()
        await site.until(lambda: _targets(site) == 1)
        site.store.rows.restore(rows_copy)
        for _ in range(20):
            await asyncio.sleep(0.05)
            assert _targets(site) == 1
        gone.register()
        await site.until(lambda: _targets(site) == 2)


async def test_engine_that_came_in_the_lost_seconds_keeps_its_requests() -> (
    None
):
    async with platform_site(plain=2) as site:
        engine = _plain_engine(site)
        engine.deregister()
        await _wait_until_serving(site)
        rows_copy = site.store.rows.copy()
        engine.register()
        await site.until(lambda: _targets(site) == 2)
        site.store.rows.restore(rows_copy)
        for _ in range(20):
            await asyncio.sleep(0.05)
            assert _targets(site) == 2
        engine.register()
        await asyncio.sleep(SETTLED_S)
        assert _targets(site) == 2


def _plain_engine(site: PlatformSite) -> GroupEngine:
    return next(engine for engine in _engines(site) if engine.is_plain)


def _targets(site: PlatformSite) -> int:
    pools = site.routers[0].view.directory.targets_by_pool()
    return len(pools.get('ledger/', ()))
