"""Groups are formed where they help most, and only of what is at hand."""

from collections import Counter

from ...testing.fleetdata import LARGE, SMALL, SPECS, free
from ..model import EngineSpec
from ..placement import Balance, FreeEngine, plan_groups, plan_staging
from ..preloading import plan_loads

WANTED = {'large': 1, 'small': 1}


def _all_settled(_domain: str) -> bool:
    return True


def _engines_with(model: str, count: int, domain: str = 'd0') -> list[FreeEngine]:
    return [
        free(f'{model}-{domain}-{number}', model, domain)
        for number in range(count)
    ]


def _balance(**groups: int) -> Balance:
    return Balance(Counter(groups), WANTED)


def _no_members(_domain: str) -> Counter[str]:
    return Counter()


def test_no_group_beyond_what_is_wanted() -> None:
    free_engines = _engines_with('small', 9)
    planned = plan_groups(free_engines, SPECS, _balance(large=1), _all_settled)
    assert [one.model.name for one in planned] == ['small']


def test_no_group_of_engines_that_would_have_to_load() -> None:
    free_engines = [*_engines_with('large', 5), free('empty')]
    assert not plan_groups(free_engines, SPECS, _balance(small=1), _all_settled)


def test_model_on_the_host_is_as_good_as_a_short_wait() -> None:
    free_engines = [*_engines_with('large', 5), free('host', 'small', staged=('large',))]
    planned = plan_groups(free_engines, SPECS, _balance(small=1), _all_settled)
    assert len(planned[0].members) == LARGE.group_size


def test_groups_lie_within_one_fabric_domain() -> None:
    free_engines = [*_engines_with('large', 3, 'd0'), *_engines_with('large', 3, 'd1')]
    assert not plan_groups(free_engines, SPECS, _balance(), _all_settled)


def test_domain_in_return_forms_only_the_model_that_is_shortest() -> None:
    free_engines = _engines_with('small', 3)
    planned = plan_groups(free_engines, SPECS, _balance(), lambda _: False)
    assert not planned or planned[0].model is SMALL
    short_of_large = Balance(Counter(small=1), {'large': 2, 'small': 2})
    assert not plan_groups(free_engines, SPECS, short_of_large, lambda _: False)


def test_load_that_completes_a_group_goes_before_a_spare() -> None:
    # Five engines that lost a member are idle until a sixth has loaded.
    free_engines = [*_engines_with('large', 5), free('x'), free('y', domain='d1')]
    loads = plan_loads(
        free_engines,
        lambda domain: Counter(small=3) if domain.endswith('d1') else Counter(),
        SPECS,
        _balance(small=1),
        has_traffic=True,
    )
    assert [(one.engine.engine_id, one.model.name) for one in loads[:2]] == [
        ('x', 'large'),
        ('y', 'small'),
    ]


def test_spare_beside_a_group_goes_before_a_group_of_many_loads() -> None:
    free_engines = [free('y', domain='d1'), *(free(f'e{one}') for one in range(6))]
    loads = plan_loads(
        free_engines,
        lambda domain: Counter(small=3) if domain.endswith('d1') else Counter(),
        SPECS,
        _balance(small=1),
        has_traffic=True,
    )
    assert loads[0].engine.engine_id == 'y'
    assert {one.model.name for one in loads[1:7]} == {'large'}


def test_before_traffic_groups_go_before_spares() -> None:
    free_engines = [free('y', domain='d1'), *(free(f'e{one}') for one in range(3))]
    loads = plan_loads(
        free_engines,
        lambda domain: Counter(small=3) if domain.endswith('d1') else Counter(),
        SPECS,
        Balance(Counter(small=1), {'small': 2}),
        has_traffic=False,
    )
    assert loads[-1].engine.engine_id == 'y'


def test_engines_that_appear_first_load_before_their_group_is_there() -> None:
    free_engines = [free('x'), free('y')]
    loads = plan_loads(free_engines, _no_members, SPECS, _balance(), has_traffic=False)
    # Both begin the group that lacks the fewest engines.
    assert [one.model for one in loads] == [SMALL, SMALL]


def test_engine_that_loads_already_is_not_ordered_again() -> None:
    busy = FreeEngine(free('x').engine, '', loading='large')
    free_engines = [*_engines_with('large', 5), busy]
    loads = plan_loads(free_engines, _no_members, SPECS, _balance(small=1), has_traffic=True)
    assert not loads


def test_engine_back_from_a_dark_domain_takes_the_model_on_its_host() -> None:
    free_engines = [free('x', staged=('large',))]
    loads = plan_loads(free_engines, _no_members, SPECS, _balance(), has_traffic=True)
    assert loads[0].model is LARGE


def test_spare_keeps_the_other_model_on_its_host() -> None:
    free_engines = [free('x', 'large', staged=('large',)), free('y')]
    assert [
        (one.engine_id, model.name) for one, model in plan_staging(free_engines, SPECS)
    ] == [('x', 'small')]


def test_spec_of_one_model_plans_nothing_to_stage() -> None:
    spec = EngineSpec(4, {'small': SMALL}, 0, 1, 1)
    specs = tuple(spec.models_by_name.values())
    assert not plan_staging([free('x', 'small')], specs)
