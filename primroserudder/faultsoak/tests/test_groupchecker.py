"""The checker reports incomplete groups that serve, and shared engines."""

import pytest

from ...standins.tablestore import TableStore
from ..engines import SoakEngine
from ..groupchecker import GroupChecker

STALL_S = 1.0


def _new_checker() -> GroupChecker:
    checker = GroupChecker(2, STALL_S)
    for engine_id in ('a', 'b', 'c'):
        checker.engines_by_id[engine_id] = SoakEngine(
            engine_id, '', TableStore(), observer=checker
        )
    return checker


def _join(
    checker: GroupChecker,
    engine_id: str,
    members: tuple[str, ...],
    state: str = 'ready',
    epoch: int = 1,
) -> None:
    engine = checker.engines_by_id[engine_id]
    engine.member.members = members
    engine.member.group = {'Name': 'g', 'epoch': epoch, 'State': state}
    checker.record_membership(engine)


def _open_group(checker: GroupChecker) -> None:
    for engine_id in ('a', 'b'):
        _join(checker, engine_id, ('a', 'b'))
    _join(checker, 'a', ('a', 'b'), 'open')


async def test_complete_group_may_serve() -> None:
    checker = _new_checker()
    _open_group(checker)
    checker.record_run(checker.engines_by_id['a'], 'r-1')
    assert not checker.violations


async def test_run_with_a_member_that_was_never_ready_is_found() -> None:
    checker = _new_checker()
    _join(checker, 'b', ('a', 'b'), 'joining')
    _join(checker, 'a', ('a', 'b'), 'open')
    checker.record_run(checker.engines_by_id['a'], 'r-1')
    assert checker.violations


async def test_run_in_a_group_of_the_wrong_size_is_found() -> None:
    checker = _new_checker()
    _join(checker, 'a', ('a',), 'open')
    checker.record_run(checker.engines_by_id['a'], 'r-1')
    assert checker.violations


@pytest.mark.parametrize('state', ['open', 'closing'])
async def test_join_while_the_old_head_takes_requests_is_found(
    state: str,
) -> None:
    checker = _new_checker()
    _open_group(checker)
    _join(checker, 'a', ('a', 'b'), state)
    _join(checker, 'b', ('c', 'b'), epoch=2)
    assert checker.violations


async def test_opening_after_a_member_joined_another_group_is_found() -> None:
    checker = _new_checker()
    for engine_id in ('a', 'b'):
        _join(checker, engine_id, ('a', 'b'))
    _join(checker, 'b', ('c', 'b'), epoch=2)
    assert not checker.violations
    _join(checker, 'a', ('a', 'b'), 'open')
    assert checker.violations


async def test_group_breaks_a_stall_after_it_lost_a_member() -> None:
    checker = _new_checker()
    _open_group(checker)
    checker.engines_by_id['b'].has_crashed = True
    head = checker.engines_by_id['a']
    checker.break_stalled_groups(10)
    checker.break_stalled_groups(10 + STALL_S)
    assert head.is_open()
    checker.break_stalled_groups(10.1 + STALL_S)
    assert not head.is_open()
    _join(checker, 'b', ('c', 'b'), epoch=2)
    assert not checker.violations
