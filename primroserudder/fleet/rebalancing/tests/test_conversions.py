"""Tests which groups are dissolved for a model that is short."""

from collections.abc import Iterable, Mapping

from ....testing.fleetdata import LARGE, SMALL, SPECS, free
from ....testing.rebalancingdata import balance, serving_group, serving_groups
from ...placement import FreeEngine
from ..conversions import ConversionPlanner, ServingGroup, shortest_model


def _plan(
    groups: list[ServingGroup],
    wanted: Mapping[str, float],
    ready: Iterable[FreeEngine] = (),
    small_groups: int = 1,
) -> list[str]:
    existing = {'large': len(groups), 'small': small_groups}
    planner = ConversionPlanner(
        SMALL, balance(existing, wanted), ready, lambda name: int(name[-1])
    )
    return [group.name for group in planner.plan(groups)]


def test_idle_groups_of_another_model_are_converted_first() -> None:
    """A model short of groups answers late while those of another idle."""
    groups = serving_groups(LARGE, ('d0', 'd1', 'd2'))
    assert _plan(list(reversed(groups)), {'large': 1, 'small': 5}) == [
        'large.0',
        'large.1',
    ]


def test_model_keeps_the_groups_that_it_needs() -> None:
    groups = serving_groups(LARGE, ('d0', 'd1', 'd2'))
    assert _plan(groups, {'large': 2.5, 'small': 9}) == []
    assert len(_plan(groups, {'large': 2, 'small': 9})) == 1


def test_no_group_is_converted_beyond_the_need() -> None:
    # A group of six engines makes up two groups of three.
    groups = serving_groups(LARGE, ('d0', 'd1', 'd2'))
    assert len(_plan(groups, {'large': 0, 'small': 3})) == 1


def test_engines_that_are_free_already_are_counted() -> None:
    """Engines of groups that still dissolve must not be replaced again."""
    groups = serving_groups(LARGE, ('d0', 'd1', 'd2'))
    ready = [free(f'r{number}', 'small', 'd9') for number in range(6)]
    assert not _plan(groups, {'large': 0, 'small': 3}, ready)


def test_engines_that_need_a_load_are_not_converted() -> None:
    """A load takes longer than most bursts, and the group would be gone."""
    groups = [serving_group('large.0', LARGE, is_prepared=False)]
    assert not _plan(groups, {'large': 0, 'small': 9})


def test_free_engines_of_a_domain_complete_the_groups() -> None:
    # Two small groups would leave one engine over; it is added to what is free.
    groups = [
        serving_group('small.0', SMALL, 'd0'),
        serving_group('small.1', SMALL, 'd1'),
    ]
    ready = [free(f'r{number}', 'large', 'd1') for number in range(3)]
    planner = ConversionPlanner(
        LARGE,
        balance({'small': 2, 'large': 0}, {'small': 0, 'large': 1}),
        ready,
        lambda _name: 0,
    )
    assert [group.name for group in planner.plan(groups)] == ['small.1']


def test_two_small_groups_of_a_domain_make_up_a_large_one() -> None:
    """Each alone makes up none, and the large model would stay short."""
    groups = serving_groups(SMALL, ('d0', 'd1', 'd1'))
    planner = ConversionPlanner(
        LARGE,
        balance({'small': 3, 'large': 0}, {'small': 1, 'large': 1}),
        (),
        lambda _name: 0,
    )
    chosen = planner.plan(groups)
    assert [group.domain for group in chosen] == ['model/d1', 'model/d1']


def test_model_that_lacks_the_largest_part_is_served_first() -> None:
    short = balance({'large': 4, 'small': 1}, {'large': 5, 'small': 4})
    assert shortest_model(SPECS, short) is SMALL
    enough = balance({'large': 5, 'small': 4}, {'large': 5, 'small': 4})
    assert shortest_model(SPECS, enough) is None
