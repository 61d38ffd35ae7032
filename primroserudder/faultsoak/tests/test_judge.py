"""Groups that serve though they are not whole, or share engines, are found."""

import pytest

from ...standins.tablestore import TableStore
from ..engines import SoakEngine
from ..judge import GroupJudge

STALL_S = 1.0


def _judge() -> GroupJudge:
    judge = GroupJudge(2, STALL_S)
    for engine_id in ('a', 'b', 'c'):
        judge.engines_by_id[engine_id] = SoakEngine(
            engine_id, '', TableStore(), observer=judge
        )
    return judge


def _join(
    judge: GroupJudge,
    engine_id: str,
    members: tuple[str, ...],
    state: str = 'ready',
    epoch: int = 1,
) -> None:
    engine = judge.engines_by_id[engine_id]
    engine.member.members = members
    engine.member.group = {'Name': 'g', 'epoch': epoch, 'State': state}
    judge.note_change(engine)


def _open(judge: GroupJudge) -> None:
    for engine_id in ('a', 'b'):
        _join(judge, engine_id, ('a', 'b'))
    _join(judge, 'a', ('a', 'b'), 'open')


async def test_whole_group_may_serve() -> None:
    judge = _judge()
    _open(judge)
    judge.note_run(judge.engines_by_id['a'], 'r-1')
    assert not judge.violations


async def test_run_beside_a_member_that_was_never_ready_is_found() -> None:
    judge = _judge()
    _join(judge, 'b', ('a', 'b'), 'joining')
    _join(judge, 'a', ('a', 'b'), 'open')
    judge.note_run(judge.engines_by_id['a'], 'r-1')
    assert judge.violations


async def test_run_in_a_group_of_the_wrong_size_is_found() -> None:
    judge = _judge()
    _join(judge, 'a', ('a',), 'open')
    judge.note_run(judge.engines_by_id['a'], 'r-1')
    assert judge.violations


@pytest.mark.parametrize('state', ['open', 'closing'])
async def test_join_while_the_old_head_takes_requests_is_found(
    state: str,
) -> None:
    judge = _judge()
    _open(judge)
    _join(judge, 'a', ('a', 'b'), state)
    _join(judge, 'b', ('c', 'b'), epoch=2)
    assert judge.violations


async def test_opening_after_a_member_went_elsewhere_is_found() -> None:
    judge = _judge()
    for engine_id in ('a', 'b'):
        _join(judge, engine_id, ('a', 'b'))
    _join(judge, 'b', ('c', 'b'), epoch=2)
    assert not judge.violations
    _join(judge, 'a', ('a', 'b'), 'open')
    assert judge.violations


async def test_head_breaks_a_stall_after_it_lost_a_member() -> None:
    judge = _judge()
    _open(judge)
    judge.engines_by_id['b'].is_dead = True
    head = judge.engines_by_id['a']
    judge.look(10)
    judge.look(10 + STALL_S)
    assert head.is_open()
    judge.look(10.1 + STALL_S)
    assert not head.is_open()
    _join(judge, 'b', ('c', 'b'), epoch=2)
    assert not judge.violations
