"""Tests that only complete groups open and members are released safely."""

from dataclasses import replace

import pytest

from ...testing.fleetdata import (
    STALL_S,
    engine,
    engine_snapshot,
    formation,
    group,
    group_progress,
    joined_engine,
)
from ..actions import Close, Join, Leave, Open, Release
from ..group_lifecycle import (
    MAX_CLOSING_S,
    MAX_ORDER_DELAY_S,
    MAX_SILENCE_S,
    STALL_MARGIN_S,
    next_actions,
)
from ..model import GroupState

FORMATION = formation()


def test_members_that_have_not_joined_are_ordered_to_join() -> None:
    engines = {member: engine(member) for member in FORMATION.members}
    actions = next_actions(group_progress(FORMATION), engine_snapshot(engines))
    assert actions == [Join(member) for member in engines.values()]


def test_head_does_not_open_while_a_member_still_joins() -> None:
    engines = group(FORMATION, GroupState.READY)
    engines['c'] = joined_engine(FORMATION, 'c', GroupState.JOINING)
    assert not next_actions(group_progress(FORMATION), engine_snapshot(engines))


def test_head_opens_once_every_member_is_ready() -> None:
    engines = group(FORMATION, GroupState.READY)
    actions = next_actions(group_progress(FORMATION), engine_snapshot(engines))
    assert actions == [Open(engines['a'])]


def test_member_ready_under_another_epoch_does_not_count() -> None:
    engines = group(FORMATION, GroupState.READY)
    other = formation('small.6')
    engines['c'] = joined_engine(other, 'c')
    actions = next_actions(group_progress(FORMATION), engine_snapshot(engines))
    assert actions == [Join(engines['c'])]


@pytest.mark.parametrize('is_listed', [False, True])
def test_loss_of_a_member_closes_the_head_at_once(*, is_listed: bool) -> None:
    engines = group(FORMATION)
    if is_listed:
        engines['c'] = replace(engines['c'], born_ms=2)
    else:
        engines.pop('c')
    actions = next_actions(group_progress(FORMATION), engine_snapshot(engines))
    assert actions == [Close(engines['a'], at_once=True)]


def test_head_of_a_silent_member_finishes_its_streams_for_a_second() -> None:
    engines = group(FORMATION)
    progress = group_progress(FORMATION)
    silent = {'c'}
    actions = next_actions(
        progress, engine_snapshot(engines, now=10, unreachable=silent)
    )
    assert actions == [Close(engines['a'], at_once=False)]
    assert progress.is_broken(10)
    progress.is_close_answered = True
    soon, late = 10 + MAX_SILENCE_S / 2, 10.1 + MAX_SILENCE_S
    assert not next_actions(
        progress, engine_snapshot(engines, now=soon, unreachable=silent)
    )
    actions = next_actions(
        progress, engine_snapshot(engines, now=late, unreachable=silent)
    )
    assert actions == [Close(engines['a'], at_once=True)]


def test_head_that_answers_again_may_finish_its_streams() -> None:
    engines = group(FORMATION)
    progress = group_progress(FORMATION)
    next_actions(progress, engine_snapshot(engines, now=10, unreachable={'a'}))
    for now in (10.5, 10 + MAX_SILENCE_S, 17):
        actions = next_actions(progress, engine_snapshot(engines, now=now))
        assert actions == [Close(engines['a'], at_once=False)]
    end = 10 + MAX_CLOSING_S
    assert next_actions(progress, engine_snapshot(engines, now=end)) == [
        Close(engines['a'], at_once=True)
    ]


def test_silent_member_that_proves_lost_closes_the_head_at_once() -> None:
    engines = group(FORMATION)
    progress = group_progress(FORMATION)
    next_actions(progress, engine_snapshot(engines, now=10, unreachable={'c'}))
    engines.pop('c')
    actions = next_actions(progress, engine_snapshot(engines, now=10))
    assert actions == [Close(engines['a'], at_once=True)]


def test_members_of_a_silent_head_stay_for_a_second() -> None:
    # A head whose members left ends its streams when it goes on.
    engines = group(FORMATION)
    progress = group_progress(FORMATION)
    silent = {'a'}
    assert not next_actions(
        progress, engine_snapshot(engines, now=10, unreachable=silent)
    )
    late = 10.1 + MAX_SILENCE_S
    assert next_actions(
        progress, engine_snapshot(engines, now=late, unreachable=silent)
    ) == [Leave(engines['b']), Leave(engines['c'])]


def test_stale_ready_state_does_not_free_members_after_an_open() -> None:
    engines = group(FORMATION, GroupState.READY)
    engines.pop('c')
    actions = next_actions(group_progress(FORMATION), engine_snapshot(engines))
    assert actions == [Close(engines['a'], at_once=True)]


def test_ready_head_that_answered_its_close_must_still_leave() -> None:
    # An opening in progress, or a late open order, would open it again.
    engines = group(FORMATION, GroupState.READY)
    engines.pop('c')
    progress = group_progress(FORMATION, is_close_answered=True)
    assert next_actions(progress, engine_snapshot(engines)) == [
        Leave(engines['a'])
    ]


@pytest.mark.parametrize('is_listed', [True, False])
def test_members_are_free_once_the_head_acknowledged_that_it_left(
    is_listed: bool,
) -> None:
    engines = group(FORMATION, GroupState.READY)
    engines.pop('c')
    if not is_listed:
        engines.pop('a')
    progress = group_progress(FORMATION, is_close_answered=True)
    next_actions(progress, engine_snapshot(engines))
    progress.note_left('a', 10)
    assert isinstance(
        next_actions(progress, engine_snapshot(engines))[0], Release
    )


def test_closing_head_keeps_its_members() -> None:
    engines = group(FORMATION, GroupState.CLOSING)
    engines.pop('c')
    progress = group_progress(FORMATION, is_close_answered=True)
    actions = next_actions(progress, engine_snapshot(engines))
    assert not any(isinstance(action, Release) for action in actions)


def test_lost_head_frees_members_only_after_the_stall_time() -> None:
    engines = group(FORMATION)
    engines.pop('a')
    progress = group_progress(FORMATION)
    actions = next_actions(progress, engine_snapshot(engines, now=10))
    assert actions == [Leave(engines['b']), Leave(engines['c'])]
    progress.note_left('b', 10)
    engines['b'] = engine('b')
    early = 10 + STALL_S
    assert next_actions(progress, engine_snapshot(engines, now=early)) == [
        Leave(engines['c'])
    ]
    late = early + STALL_MARGIN_S + 0.1
    actions = next_actions(progress, engine_snapshot(engines, now=late))
    assert isinstance(actions[0], Release)


def test_member_that_a_late_join_brings_back_keeps_the_lost_head_claimed() -> (
    None
):
    engines = group(FORMATION)
    engines.pop('a')
    engines.pop('c')
    gone = {'b': engine('b')}
    progress = group_progress(FORMATION)
    assert next_actions(progress, engine_snapshot(engines, now=10)) == [
        Leave(engines['b'])
    ]
    progress.note_left('b', 10)
    # The list may show it as a member for a moment.
    assert not next_actions(progress, engine_snapshot(engines, now=10.5))
    assert not next_actions(progress, engine_snapshot(gone, now=11))
    back = engine_snapshot(engines, now=10 + STALL_S - 0.1)
    assert next_actions(progress, back) == [Leave(engines['b'])]
    late = 10 + 2 * STALL_S - 0.2
    assert not any(
        isinstance(action, Release)
        for action in next_actions(progress, engine_snapshot(engines, now=late))
    )
    progress.note_left('b', late)
    stalled = late + STALL_S + STALL_MARGIN_S + 0.1
    actions = next_actions(progress, engine_snapshot(gone, now=stalled))
    assert isinstance(actions[0], Release)


def test_lost_head_that_may_still_open_late_keeps_its_members() -> None:
    """Its order to open was not answered, and it was never seen open."""
    progress = group_progress(FORMATION, may_open_until=10 + MAX_ORDER_DELAY_S)
    lost = {member: engine(member) for member in ('b', 'c')}
    next_actions(progress, engine_snapshot(lost, now=10))
    stalled = 10 + STALL_S + STALL_MARGIN_S + 0.1
    assert not next_actions(progress, engine_snapshot(lost, now=stalled))
    late = 10.1 + MAX_ORDER_DELAY_S
    actions = next_actions(progress, engine_snapshot(lost, now=late))
    assert isinstance(actions[0], Release)


def test_lost_head_that_was_seen_open_frees_members_after_the_stall() -> None:
    engines = group(FORMATION)
    progress = group_progress(FORMATION, may_open_until=10 + MAX_ORDER_DELAY_S)
    next_actions(progress, engine_snapshot(engines, now=10))
    lost = {member: engine(member) for member in ('b', 'c')}
    next_actions(progress, engine_snapshot(lost, now=10))
    stalled = 10 + STALL_S + STALL_MARGIN_S + 0.1
    actions = next_actions(progress, engine_snapshot(lost, now=stalled))
    assert isinstance(actions[0], Release)


def test_claim_is_kept_until_a_member_has_left_the_lost_head() -> None:
    progress = group_progress(FORMATION)
    assert not next_actions(progress, engine_snapshot({}, now=10))
    assert not next_actions(progress, engine_snapshot({}, now=1000))


def test_open_head_that_returns_is_closed_before_release() -> None:
    engines = group(FORMATION)
    without_head = {member: engines[member] for member in ('b', 'c')}
    progress = group_progress(FORMATION)
    next_actions(progress, engine_snapshot(without_head, now=10))
    actions = next_actions(progress, engine_snapshot(engines, now=11))
    assert actions == [Close(engines['a'], at_once=True)]


def test_restarted_head_frees_the_members() -> None:
    engines = group(FORMATION)
    engines['a'] = engine('a', born_ms=2)
    assert isinstance(
        next_actions(group_progress(FORMATION), engine_snapshot(engines))[0],
        Release,
    )


def test_group_never_ordered_to_open_is_released_at_once() -> None:
    engines = group(FORMATION, GroupState.READY)
    engines.pop('c')
    progress = group_progress(FORMATION, is_open_ordered=False)
    assert isinstance(
        next_actions(progress, engine_snapshot(engines))[0], Release
    )


def test_draining_member_closes_the_group_gracefully() -> None:
    engines = group(FORMATION)
    engines['c'] = replace(engines['c'], is_draining=True)
    progress = group_progress(FORMATION)
    actions = next_actions(progress, engine_snapshot(engines, now=10))
    assert actions == [Close(engines['a'], at_once=False)]
    progress.is_close_answered = True
    assert not next_actions(progress, engine_snapshot(engines, now=11))
    assert not progress.is_broken(11)
    # Streams that can't move may still finish.
    assert not next_actions(progress, engine_snapshot(engines, now=14))
    assert progress.is_broken(14)
    end = 10 + MAX_CLOSING_S
    actions = next_actions(progress, engine_snapshot(engines, now=end))
    assert actions == [Close(engines['a'], at_once=True)]


def test_members_that_all_left_by_themselves_free_the_lost_head() -> None:
    # No member is left that could be ordered to leave.
    engines = group(FORMATION)
    engines.pop('a')
    for member in 'bc':
        engines[member] = engine(member, born_ms=2)
    progress = group_progress(FORMATION)
    assert not next_actions(progress, engine_snapshot(engines, now=10))
    stalled = 10 + STALL_S + STALL_MARGIN_S
    assert not next_actions(progress, engine_snapshot(engines, now=stalled))
    actions = next_actions(progress, engine_snapshot(engines, now=stalled + 1))
    assert isinstance(actions[0], Release)


def test_member_whose_join_was_late_keeps_the_lost_head_claimed() -> None:
    engines = group(FORMATION)
    engines.pop('a')
    joined = dict(engines)
    for member in 'bc':
        engines[member] = engine(member)
    progress = group_progress(FORMATION)
    next_actions(progress, engine_snapshot(engines, now=10))
    assert next_actions(progress, engine_snapshot(joined, now=11))
    later = 10 + STALL_S + STALL_MARGIN_S + 0.5
    actions = next_actions(progress, engine_snapshot(engines, now=later))
    assert not actions


def test_silence_in_a_drain_does_not_end_the_streams_at_once() -> None:
    engines = group(FORMATION)
    engines['b'] = replace(engines['b'], is_draining=True)
    progress = group_progress(FORMATION)
    next_actions(progress, engine_snapshot(engines, now=10))
    progress.is_close_answered = True
    assert not next_actions(progress, engine_snapshot(engines, now=12))
    actions = next_actions(
        progress, engine_snapshot(engines, now=12.1, unreachable={'c'})
    )
    assert Close(engines['a'], at_once=True) not in actions


def test_second_silence_does_not_end_the_streams_at_once() -> None:
    engines = group(FORMATION)
    progress = group_progress(FORMATION)
    next_actions(progress, engine_snapshot(engines, now=10, unreachable={'c'}))
    progress.is_close_answered = True
    assert not next_actions(progress, engine_snapshot(engines, now=10.5))
    again = 10 + MAX_SILENCE_S + 1
    actions = next_actions(
        progress, engine_snapshot(engines, now=again, unreachable={'b'})
    )
    assert Close(engines['a'], at_once=True) not in actions


def test_second_silence_of_the_head_keeps_the_members() -> None:
    engines = group(FORMATION)
    progress = group_progress(FORMATION)
    next_actions(progress, engine_snapshot(engines, now=10, unreachable={'c'}))
    progress.is_close_answered = True
    assert not next_actions(progress, engine_snapshot(engines, now=10.5))
    again = 10 + MAX_SILENCE_S + 1
    assert not next_actions(
        progress, engine_snapshot(engines, now=again, unreachable={'a'})
    )


def test_unknown_state_of_a_closing_head_does_not_free_the_members() -> None:
    """Else they are ordered into another group while the head has streams."""
    claimed = formation()
    progress = group_progress(claimed)
    progress.dissolve('a member drains', 0)
    progress.is_close_answered = True
    engines = group(claimed, GroupState.UNKNOWN)
    actions = next_actions(progress, engine_snapshot(engines))
    assert not any(isinstance(action, Release) for action in actions)
