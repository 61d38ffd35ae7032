"""Tests of roll-outs of model versions, in virtual time."""

import asyncio
from collections.abc import Sequence

import pytest

from ...testing import builders
from ...testing.stopsites import StopSite
from ..rolloutrows import ROLLOUT_TIMEOUT_S, RolloutControl, rollout_key

GROUPS = 2


async def _site(vms: int) -> StopSite:
    site = StopSite()
    site.add_vms(vms)
    site.configure(1, GROUPS)
    site.start('c1')
    await site.until_serving(GROUPS)
    return site


def _versions(site: StopSite) -> Sequence[str]:
    return sorted(group.model_version for group in site.serving())


def _is_rolled_out(site: StopSite) -> bool:
    return _versions(site) == ['v2', 'v2'] and len(site.groups()) == GROUPS


@pytest.mark.looptime
async def test_old_groups_are_kept_until_new_ones_serve() -> None:
    site = await _site(8)
    running = [site.generate(group, 2000) for group in site.serving()]
    site.configure(2, GROUPS, 'v2')
    await site.until(lambda: _is_rolled_out(site))
    assert site.least_serving == GROUPS
    assert await asyncio.gather(*running) == [2000, 2000]


@pytest.mark.looptime
async def test_rollout_without_spares_waits_until_allowed_in_place() -> None:
    site = await _site(4)
    site.configure(2, GROUPS, 'v2')
    await asyncio.sleep(60)
    assert _versions(site) == ['v1', 'v1']
    notes = site.controllers['c1'].drain_coordinator.dump()['rollouts']
    assert notes == {
        builders.DEPLOYMENT: 'roll-out of v2 waits for spare VMs',
    }
    control = RolloutControl(site.memory, site.holder)
    await control.set_flags(
        builders.DOMAIN,
        builders.DEPLOYMENT,
        is_halted=False,
        is_in_place=True,
    )
    await site.until(lambda: _is_rolled_out(site))
    assert site.least_serving == GROUPS - 1


@pytest.mark.looptime
async def test_failed_rollout_halts_and_keeps_the_old_version() -> None:
    site = await _site(8)
    # The spares never load the new version.
    for index in range(4, 8):
        site.engine(f'vm{index}').speed = builders.speed(load_s=10**6)
    site.configure(2, GROUPS, 'v2')
    key = rollout_key(builders.DOMAIN, builders.DEPLOYMENT)
    await site.until(
        lambda: key in site.memory.rows_by_key,
        ROLLOUT_TIMEOUT_S + 60,
    )
    await site.until(lambda: len(site.groups()) == GROUPS)
    await asyncio.sleep(60)
    assert _versions(site) == ['v1', 'v1']
    assert len(site.groups()) == GROUPS
    # The next version starts a new roll-out.
    for index in range(4, 8):
        site.engine(f'vm{index}').speed = builders.speed(load_s=1)
    site.configure(3, GROUPS, 'v3')
    await site.until(lambda: _versions(site) == ['v3', 'v3'])
    assert site.least_serving == GROUPS


@pytest.mark.looptime
async def test_halted_rollout_continues_after_it_is_resumed() -> None:
    site = await _site(8)
    control = RolloutControl(site.memory, site.holder)
    site.configure(2, GROUPS, 'v2')
    await control.set_flags(
        builders.DOMAIN,
        builders.DEPLOYMENT,
        is_halted=True,
        is_in_place=False,
    )
    await asyncio.sleep(60)
    assert 'v1' in _versions(site)
    await control.set_flags(
        builders.DOMAIN,
        builders.DEPLOYMENT,
        is_halted=False,
        is_in_place=False,
    )
    await site.until(lambda: _is_rolled_out(site))


@pytest.mark.looptime
async def test_rollout_survives_the_controllers_replacement() -> None:
    site = await _site(8)
    site.configure(2, GROUPS, 'v2')
    await site.until(lambda: 'v2' in _versions(site))
    site.kill('c1')
    site.start('c2')
    await site.until(lambda: _is_rolled_out(site))
    assert site.least_serving == GROUPS


@pytest.mark.looptime
async def test_groups_of_a_removed_deployment_are_retired() -> None:
    site = await _site(4)
    site.holder.offer(
        builders.version(2, deployments={}, templates={}, workspaces={}),
    )
    await site.until(lambda: not site.groups())
    keys = site.memory.rows_by_key
    assert not any(key.startswith('claims/') for key in keys)


@pytest.mark.looptime
async def test_smaller_number_of_groups_drains_the_surplus() -> None:
    site = await _site(8)
    running = [site.generate(group, 2000) for group in site.serving()]
    site.configure(2, 1)
    await site.until(lambda: len(site.groups()) == 1)
    assert await asyncio.gather(*running) == [2000, 2000]
