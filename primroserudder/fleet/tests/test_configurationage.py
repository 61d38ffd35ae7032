"""A refusal tells on what configuration it rests."""

from collections.abc import Mapping
from typing import Any

import pytest

from ...testing.configchanges import with_route
from ...testing.platformsite import PlatformSite, platform_site
from ..configurationage import (
    CONFIRMATION_LIMIT_S,
    ConfigurationAge,
    age_fields,
)
from ..cutoff import StoppedBeforeRun
from ..routes import UnknownKey, UnknownRoute

AGE = ConfigurationAge(7, 31, 0.25, 1.5)


@pytest.mark.parametrize('error', [UnknownRoute('none'), UnknownKey('none')])
def test_negative_answers_name_the_version_they_rest_on(
    error: UnknownRoute | UnknownKey,
) -> None:
    assert age_fields(error, lambda: AGE) == {
        'configuration': 7,
        'revision': 31,
        'confirmed_ms': 250,
        'newer_known_ms': 1500,
    }


def test_other_refusals_name_no_version() -> None:
    assert not age_fields(StoppedBeforeRun('stops'), lambda: AGE)


async def test_unknown_route_is_logged_with_its_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with platform_site(engines=0, plain=1) as site:
        site.store.rows.put('op', 'config', with_route(5, 'lookups'))
        view = site.routers[0].view
        await site.until(lambda: view.active.current_version == 5)
        lines: list[Mapping[str, Any]] = []
        monkeypatch.setattr(
            type(site.routers[0].log),
            'note',
            lambda _, decision, **inputs: lines.append(
                {'decision': decision, **inputs}
            ),
        )
        async with site.request('/nowhere/1') as response:
            assert response.status == 404
        refusals = [line for line in lines if line['decision'] == 'refuse']
        assert refusals[0]['configuration'] == 5
        assert refusals[0]['newer_known_ms'] is None
        assert refusals[0]['confirmed_ms'] < 2000


async def _status(site: PlatformSite, path: str = '/nowhere/1') -> int:
    async with site.request(path) as response:
        return response.status


async def test_vm_that_knows_of_a_newer_version_denies_no_route() -> None:
    async with platform_site(engines=0, plain=1) as site:
        await site.until(lambda: bool(site.routers[0].view.configuration()))
        assert await _status(site) == 404
        newer = site.store.rows.revision + 1
        site.routers[0].tables.note_peer_versions({'op': newer})
        async with site.request('/nowhere/1') as response:
            assert response.status == 503
            assert float(response.headers['Retry-After']) > 0
        unknown_key = {'Authorization': 'Bearer none'}
        async with site.request('/notes/1', headers=unknown_key) as response:
            assert response.status == 503
        # Once the newer version is in force, the answer is a statement again.
        site.store.rows.put('op', 'config', with_route(5, 'lookups'))
        view = site.routers[0].view
        await site.until(lambda: view.active.current_version == 5)
        assert await _status(site) == 404


async def test_vm_without_a_source_denies_no_route_for_long() -> None:
    async with platform_site(engines=0, plain=1) as site:
        follower = site.routers[0].view.configurations
        await site.until(lambda: follower.is_loaded)
        site.store.faults.is_down = True
        assert await _status(site) == 404
        await site.until(lambda: not follower.is_reachable)
        follower.confirmed_at -= CONFIRMATION_LIMIT_S
        assert await _status(site) == 503
        site.store.faults.is_down = False
        await site.until(lambda: follower.is_reachable)
        assert await _status(site) == 404
