"""Claims that share engines, whatever wrote them."""

import asyncio
from collections.abc import Mapping

import pytest

from ...testing.fleetdata import engine, formation, group, group_progress
from ...testing.platformsite import PlatformSite, platform_site
from ..claimconflicts import conflicting_groups, held_engines
from ..claims import encode_claim
from ..model import Engine, Formation, GroupState

SETTLED_S = 2.0
STANDING = formation('small.7', ('a', 'b', 'c'))
LATER = formation('small.9', ('d', 'b', 'e'))
FREE = {engine_id: engine(engine_id) for engine_id in 'abcde'}


def _ended(
    formations: tuple[Formation, ...], engines_by_id: Mapping[str, Engine]
) -> list[str]:
    groups = [group_progress(claimed) for claimed in formations]
    return [
        progress.formation.name
        for progress, _ in conflicting_groups(groups, engines_by_id)
    ]


@pytest.mark.parametrize('formations', [(STANDING, LATER), (LATER, STANDING)])
def test_earlier_of_two_groups_without_members_stands(
    formations: tuple[Formation, Formation],
) -> None:
    assert _ended(formations, FREE) == [LATER.name]


@pytest.mark.parametrize('state', list(GroupState))
def test_group_whose_head_has_joined_stands(state: GroupState) -> None:
    engines_by_id = {**FREE, **group(LATER, state)}
    assert _ended((STANDING, LATER), engines_by_id) == [STANDING.name]


def test_groups_of_different_engines_both_stand() -> None:
    other = formation('small.9', ('d', 'e', 'f'))
    assert not _ended((STANDING, other), FREE)


def test_engine_of_two_groups_joins_neither() -> None:
    groups = {
        claimed.name: group_progress(claimed) for claimed in (STANDING, LATER)
    }
    held = held_engines(groups)
    assert not held.may_join(FREE['b'], STANDING)
    assert not held.may_join(FREE['b'], LATER)
    assert held.may_join(FREE['a'], STANDING)


def test_engine_that_reports_a_known_group_joins_no_other() -> None:
    reporting = group(LATER)['b']
    groups = {LATER.name: group_progress(LATER)}
    held = held_engines(groups)
    assert not held.may_join(reporting, formation('small.11', ('b', 'x', 'y')))
    assert held.may_join(reporting, LATER)


def _claim_members_again(site: PlatformSite) -> Formation:
    """Put a claim of members of two open groups into the store."""
    members = tuple(head.member.members[1] for head in site.heads()[:2])
    claimed = formation('small.99000001', members)
    site.store.rows.put('groups', claimed.name, encode_claim(claimed, {}))
    return claimed


async def test_second_claim_of_an_open_groups_engines_tears_nothing() -> None:
    """Else the next holder orders the open group's members out of it."""
    async with platform_site(engines=8) as site:
        await site.until(lambda: len(site.heads()) > 1)
        open_groups = [head.group for head in site.heads()]
        claimed = _claim_members_again(site)
        await site.restart_routers()
        reconciler = site.routers[0].control_plane.reconciler
        await site.until(lambda: reconciler.tenure is not None)
        await asyncio.sleep(SETTLED_S)
        joined = [
            order['group']
            for listed in site.engines_by_id.values()
            for order in listed.orders
            if order['Operation'] == 'join'
        ]
        assert claimed.name not in joined
        assert [head.group for head in site.heads()] == open_groups
        assert claimed.name not in site.store.rows.copy().keys_of('groups')
