"""Tests which regions a request is bound to, and what they leave out."""

import pytest

from ....platform import decode_configuration
from ....process.platform import Row
from ....testing.colddata import NotedLog
from ....testing.fleetdata import route, target
from ....testing.platformsite import KEY, configuration
from ...active_configuration import ActiveConfiguration
from ...model import Service, Workspace
from ...routes import NO_WORKSPACE, Destination
from ..rules import RegionMap, allowed_regions

SOUTH = frozenset(('south',))
BOTH = frozenset(('north', 'south'))
REGIONS = RegionMap({'fd-1': 'north', 'fd-2': 'south'}, 'fd-3', 'north')


def _destination(
    route_regions: frozenset[str] | None,
    workspace_regions: frozenset[str] | None,
) -> Destination:
    return Destination(
        route(regions=route_regions),
        Service('model', 1),
        Workspace('w', regions=workspace_regions),
    )


@pytest.mark.parametrize(
    ('of_route', 'of_workspace', 'allowed'),
    [
        (None, None, None),
        (SOUTH, None, SOUTH),
        (None, SOUTH, SOUTH),
        (BOTH, SOUTH, SOUTH),
        (SOUTH, frozenset(('north',)), frozenset()),
    ],
)
def test_regions_of_route_and_workspace_both_bind(
    of_route: frozenset[str] | None,
    of_workspace: frozenset[str] | None,
    allowed: frozenset[str] | None,
) -> None:
    bound = _destination(of_route, of_workspace)
    assert allowed_regions(bound.route, bound.workspace) == allowed


def test_targets_elsewhere_or_nowhere_are_left_out() -> None:
    targets = [
        target('a', domain='fd-1'),
        target('b', domain='fd-2'),
        target('c', domain='fd-3'),
        target('d', domain='unknown'),
    ]
    inside = REGIONS.inside(targets, frozenset(('north',)))
    assert [each.engine_id for each in inside] == ['a', 'c']
    assert not REGIONS.inside(targets, frozenset(('nowhere',)))
    assert not REGIONS.inside(targets, frozenset(('',)))
    assert REGIONS.inside(targets, None) is targets


@pytest.mark.parametrize(
    ('listed', 'regions', 'is_readable'),
    [
        (['south'], SOUTH, True),
        (['south', 'north', 'south'], BOTH, True),
        (['nowhere'], frozenset(('nowhere',)), True),
        ([], None, True),
        (None, None, True),
        ('south', None, False),
        ([7], None, False),
        (['south', None], None, False),
        ({'south': 1}, None, False),
    ],
)
def test_list_that_cannot_be_read_counts_as_missing_and_is_logged_once(
    listed: object, regions: frozenset[str] | None, *, is_readable: bool
) -> None:
    submitted = configuration()
    routes = submitted['Routes']
    assert isinstance(routes, list)
    fields = {
        **submitted,
        'Routes': [{**routes[0], 'AllowedRegions': listed}],
        'Tenants': [
            {'Name': 'north', 'ApiKeys': [KEY], 'AllowedRegions': listed}
        ],
    }
    log = NotedLog()
    active = ActiveConfiguration(decode_configuration, log)
    for _ in range(2):
        active.update(Row('op/config', 1, fields))
    assert active.current is not None
    decoded = active.current.routes_by_host['one.example'][0]
    assert decoded.regions == regions
    assert active.current.workspaces_by_key[KEY].regions == regions
    named = [line['name'] for line in log.named('regions_malformed')]
    assert named == ['notes', 'north'][: 2 * (not is_readable)]


def test_routes_and_workspaces_are_unrestricted_by_default() -> None:
    decoded = decode_configuration(configuration())
    routes = decoded.routes_by_host['one.example']
    assert {each.regions for each in routes} == {None}
    assert NO_WORKSPACE.regions is None
