"""Only a request that never ran is refused with a status that says so."""

from collections.abc import Callable

import pytest

from ...standins.groupengine import GroupEngine
from ...testing.platformsite import PlatformSite, platform_site
from ...testing.rawcaller import raw_caller
from ..model import Target

# Statuses that promise that the request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


def _plain_targets(site: PlatformSite) -> list[Target]:
    targets_by_pool = site.routers[0].view.directory.targets_by_pool()
    return [
        target
        for targets in targets_by_pool.values()
        for target in targets
        if not target.group
    ]


def _back_off(site: PlatformSite) -> None:
    """All engines ask for no requests for longer than any deadline."""
    for target in _plain_targets(site):
        site.routers[0].server.health.note_back_off(target, 60)


def _take_all_slots(site: PlatformSite) -> None:
    for target in _plain_targets(site):
        for _ in range(target.slots):
            site.routers[0].in_flight_counts.begin(target.engine_id)


def _remove_all(site: PlatformSite) -> None:
    """All engines leave the list."""
    for engine in site.engines_by_id.values():
        engine.deregister()


@pytest.mark.parametrize(
    'change',
    [_back_off, _take_all_slots, _remove_all],
    ids=['back off', 'no slot', 'no engine'],
)
async def test_request_that_may_have_run_is_never_refused_as_not_run(
    change: Callable[[PlatformSite], None],
) -> None:
    # The engine resets the connection after it took the request, and no
    # engine can take the second attempt.
    async with platform_site(engines=0, plain=2) as site:
        await site.until(lambda: len(_plain_targets(site)) == 2)

        def reset(_engine: GroupEngine) -> None:
            change(site)

        for engine in site.engines_by_id.values():
            engine.faults.crashing_bodies = {b'text'}
            engine.end_process = reset
        async with raw_caller(site) as caller:
            limit = {'X-Primroserudder-Deadline-Ms': '700'}
            caller.request('one', '/lookups/1', fields=limit)
            response = await caller.response()
        assert site.arrivals('one')
        assert response.status not in NOT_RUN_STATUSES
        assert b'"ran":"no"' not in response.body


async def test_request_that_never_ran_is_refused_as_not_run() -> None:
    async with platform_site(engines=0, plain=2) as site:
        await site.until(lambda: len(_plain_targets(site)) == 2)
        _take_all_slots(site)
        async with raw_caller(site) as caller:
            caller.request('one', '/lookups/1')
            response = await caller.response()
        assert not site.arrivals('one')
        assert response.status == 503
        assert b'"ran":"no"' in response.body
