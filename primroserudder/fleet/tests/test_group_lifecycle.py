"""Groups open only whole, and their members are free only when proved so."""

from dataclasses import replace

import pytest

from ...testing.fleetdata import (
    STALL_S,
    engine,
    formation,
    group,
    joined,
    sight,
    standing,
)
from ..actions import Close, Join, Leave, Open, Release
from ..group_lifecycle import STALL_MARGIN_S, next_actions
from ..model import GroupState

MADE = formation()


def test_members_that_have_not_joined_are_ordered_to() -> None:
    engines = {one: engine(one) for one in MADE.members}
    needs = next_actions(standing(MADE), sight(engines))
    assert needs == [Join(one) for one in engines.values()]


def test_head_does_not_open_while_a_member_still_joins() -> None:
    engines = group(MADE, GroupState.READY)
    engines['c'] = joined(MADE, 'c', GroupState.JOINING)
    assert not next_actions(standing(MADE), sight(engines))


def test_head_opens_once_every_member_is_ready() -> None:
    engines = group(MADE, GroupState.READY)
    needs = next_actions(standing(MADE), sight(engines))
    assert needs == [Open(engines['a'])]


def test_member_ready_under_another_epoch_does_not_count() -> None:
    engines = group(MADE, GroupState.READY)
    other = formation('small.6')
    engines['c'] = joined(other, 'c')
    needs = next_actions(standing(MADE), sight(engines))
    assert needs == [Join(engines['c'])]


@pytest.mark.parametrize('how', ['unlisted', 'unreachable', 'reborn'])
def test_loss_of_a_member_closes_the_head_at_once(how: str) -> None:
    engines = group(MADE)
    lost: set[str] = set()
    if how == 'unlisted':
        engines.pop('c')
    elif how == 'unreachable':
        lost = {'c'}
    else:
        engines['c'] = replace(engines['c'], born_ms=2)
    needs = next_actions(standing(MADE), sight(engines, unreachable=lost))
    assert needs == [Close(engines['a'], at_once=True)]


def test_ready_in_an_old_list_does_not_free_members_after_an_open() -> None:
    engines = group(MADE, GroupState.READY)
    engines.pop('c')
    needs = next_actions(standing(MADE), sight(engines))
    assert needs == [Close(engines['a'], at_once=True)]


def test_ready_head_that_answered_its_close_must_still_leave() -> None:
    # An opening under way, or a late order to open, would open it again.
    engines = group(MADE, GroupState.READY)
    engines.pop('c')
    claimed = standing(MADE, is_close_answered=True)
    assert next_actions(claimed, sight(engines)) == [Leave(engines['a'])]


@pytest.mark.parametrize('is_listed', [True, False])
def test_members_are_free_once_the_head_acknowledged_that_it_left(
    is_listed: bool,
) -> None:
    engines = group(MADE, GroupState.READY)
    engines.pop('c')
    if not is_listed:
        engines.pop('a')
    claimed = standing(MADE, is_close_answered=True)
    next_actions(claimed, sight(engines))
    claimed.note_left('a', 10)
    assert isinstance(next_actions(claimed, sight(engines))[0], Release)


def test_closing_head_keeps_its_members() -> None:
    engines = group(MADE, GroupState.CLOSING)
    engines.pop('c')
    claimed = standing(MADE, is_close_answered=True)
    needs = next_actions(claimed, sight(engines))
    assert not any(isinstance(need, Release) for need in needs)


def test_lost_head_frees_members_only_after_it_stood_still() -> None:
    engines = group(MADE)
    engines.pop('a')
    claimed = standing(MADE)
    needs = next_actions(claimed, sight(engines, now=10))
    assert needs == [Leave(engines['b']), Leave(engines['c'])]
    claimed.note_left('b', 10)
    early = 10 + STALL_S
    assert next_actions(claimed, sight(engines, now=early)) == [
        Leave(engines['c'])
    ]
    late = early + STALL_MARGIN_S + 0.1
    needs = next_actions(claimed, sight(engines, now=late))
    assert isinstance(needs[0], Release)


def test_lost_head_that_no_member_left_keeps_the_claim() -> None:
    claimed = standing(MADE)
    assert not next_actions(claimed, sight({}, now=10))
    assert not next_actions(claimed, sight({}, now=1000))


def test_head_that_is_back_while_open_is_closed_before_members_are_free() -> (
    None
):
    engines = group(MADE)
    away = {one: engines[one] for one in ('b', 'c')}
    claimed = standing(MADE)
    next_actions(claimed, sight(away, now=10))
    needs = next_actions(claimed, sight(engines, now=11))
    assert needs == [Close(engines['a'], at_once=True)]


def test_head_started_anew_frees_the_members() -> None:
    engines = group(MADE)
    engines['a'] = engine('a', born_ms=2)
    assert isinstance(next_actions(standing(MADE), sight(engines))[0], Release)


def test_group_that_was_never_ordered_to_open_is_dropped_at_once() -> None:
    engines = group(MADE, GroupState.READY)
    engines.pop('c')
    claimed = standing(MADE, is_open_ordered=False)
    assert isinstance(next_actions(claimed, sight(engines))[0], Release)


def test_draining_member_ends_the_group_after_its_work() -> None:
    engines = group(MADE)
    engines['c'] = replace(engines['c'], is_draining=True)
    claimed = standing(MADE)
    needs = next_actions(claimed, sight(engines, now=10))
    assert needs == [Close(engines['a'], at_once=False)]
    claimed.is_close_answered = True
    assert not next_actions(claimed, sight(engines, now=11))
    needs = next_actions(claimed, sight(engines, now=14))
    assert needs == [Close(engines['a'], at_once=True)]
