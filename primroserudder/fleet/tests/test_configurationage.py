"""A refusal tells on what configuration it rests."""

from collections.abc import Mapping
from typing import Any

import pytest

from ...testing.configchanges import with_route
from ...testing.platformsite import platform_site
from ..configurationage import ConfigurationAge, age_fields
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
