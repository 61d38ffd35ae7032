"""Tests which groups are formed and which models spares load."""

from collections import Counter

from ...testing.fleetdata import LARGE, SMALL, SPECS, free
from ..model import EngineSpec
from ..placement import Balance, FreeEngine, plan_groups, plan_staging
from ..preloading import plan_loads

WANTED = {'large': 1, 'small': 1}


def _all_settled(_domain: str) -> bool:
    return True


def _engines_with(
    model: str, count: int, domain: str = 'd0'
) -> list[FreeEngine]:
    return [
        free(f'{model}-{domain}-{number}', model, domain)
        for number in range(count)
    ]


def _balance(**groups: int) -> Balance:
    return Balance(Counter(groups), WANTED)


def _no_members(_domain: str) -> Counter[str]:
    return Counter()


def test_no_more_groups_than_wanted_are_planned() -> None:
    free_engines = _engines_with('small', 9)
    planned = plan_groups(free_engines, SPECS, _balance(large=1), _all_settled)
    assert [group.model.name for group in planned] == ['small']


def test_engines_that_need_a_load_form_no_group() -> None:
    free_engines = [*_engines_with('large', 5), free('empty')]
    assert not plan_groups(free_engines, SPECS, _balance(small=1), _all_settled)


def test_engine_with_the_model_on_its_host_may_join() -> None:
    free_engines = [
        *_engines_with('large', 5),
        free('host', 'small', staged=('large',)),
    ]
    planned = plan_groups(free_engines, SPECS, _balance(small=1), _all_settled)
    assert len(planned[0].members) == LARGE.group_size


def test_groups_lie_within_one_fabric_domain() -> None:
    free_engines = [
        *_engines_with('large', 3, 'd0'),
        *_engines_with('large', 3, 'd1'),
    ]
    assert not plan_groups(free_engines, SPECS, _balance(), _all_settled)


def test_unsettled_domain_forms_only_the_scarcest_model() -> None:
    free_engines = _engines_with('small', 3)
    planned = plan_groups(free_engines, SPECS, _balance(), lambda _: False)
    assert not planned or planned[0].model is SMALL
    short_of_large = Balance(Counter(small=1), {'large': 2, 'small': 2})
    assert not plan_groups(free_engines, SPECS, short_of_large, lambda _: False)


def test_load_that_completes_a_group_comes_before_a_spare() -> None:
    # Five engines of a group of six are idle until a sixth has loaded.
    free_engines = [
        *_engines_with('large', 5),
        free('x'),
        free('y', domain='d1'),
    ]
    loads = plan_loads(
        free_engines,
        lambda domain: Counter(small=3) if domain.endswith('d1') else Counter(),
        SPECS,
        _balance(small=1),
        has_traffic=True,
    )
    assert [(load.engine.engine_id, load.model.name) for load in loads[:2]] == [
        ('x', 'large'),
        ('y', 'small'),
    ]


def test_spare_for_a_group_comes_before_a_group_of_many_loads() -> None:
    free_engines = [
        free('y', domain='d1'),
        *(free(f'e{number}') for number in range(6)),
    ]
    loads = plan_loads(
        free_engines,
        lambda domain: Counter(small=3) if domain.endswith('d1') else Counter(),
        SPECS,
        _balance(small=1),
        has_traffic=True,
    )
    assert loads[0].engine.engine_id == 'y'
    assert {load.model.name for load in loads[1:7]} == {'large'}


def test_before_traffic_groups_come_before_spares() -> None:
    free_engines = [
        free('y', domain='d1'),
        *(free(f'e{number}') for number in range(3)),
    ]
    loads = plan_loads(
        free_engines,
        lambda domain: Counter(small=3) if domain.endswith('d1') else Counter(),
        SPECS,
        Balance(Counter(small=1), {'small': 2}),
        has_traffic=False,
    )
    assert loads[-1].engine.engine_id == 'y'


def test_first_engines_load_before_their_group_is_complete() -> None:
    free_engines = [free('x'), free('y')]
    loads = plan_loads(
        free_engines, _no_members, SPECS, _balance(), has_traffic=False
    )
    # Both load the model whose group lacks the fewest engines.
    assert [load.model for load in loads] == [SMALL, SMALL]


def test_loading_engine_is_not_ordered_again() -> None:
    busy = FreeEngine(free('x').engine, '', loading='large')
    free_engines = [*_engines_with('large', 5), busy]
    loads = plan_loads(
        free_engines, _no_members, SPECS, _balance(small=1), has_traffic=True
    )
    assert not loads


def test_returned_engine_loads_the_model_on_its_host() -> None:
    free_engines = [free('x', staged=('large',))]
    loads = plan_loads(
        free_engines, _no_members, SPECS, _balance(), has_traffic=True
    )
    assert loads[0].model is LARGE


def test_spare_stages_the_other_model_on_its_host() -> None:
    free_engines = [free('x', 'large', staged=('large',)), free('y')]
    assert [
        (engine.engine_id, model.name)
        for engine, model in plan_staging(free_engines, SPECS)
    ] == [('x', 'small')]


def test_single_model_needs_no_staging() -> None:
    spec = EngineSpec(4, {'small': SMALL}, 0, 1, 1)
    specs = tuple(spec.models_by_name.values())
    assert not plan_staging([free('x', 'small')], specs)


def test_small_groups_leave_room_for_large_ones() -> None:
    # d0 has room for a large group, d1 never had.
    free_engines = [
        *_engines_with('small', 7, 'd0'),
        *_engines_with('small', 4, 'd1'),
    ]
    planned = plan_groups(free_engines, SPECS, _balance(large=1), _all_settled)
    assert [group.model.name for group in planned] == ['small']
    assert {member.fabric_domain for member in planned[0].members} == {'d1'}
