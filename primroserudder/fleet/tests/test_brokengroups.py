"""All VMs hear of a broken group, however soon it is released."""

from ..brokengroups import REPORTED_AFTER_RELEASE_S, BrokenGroups

RELEASED_AT_S = 10.06


def test_broken_group_that_is_released_is_reported_for_a_while() -> None:
    groups = BrokenGroups()
    groups.update({'a', 'b'}, ['a'], 10)
    for later_s in (0, 0.3, 0.6, 0.9):
        groups.update({'b'}, [], RELEASED_AT_S + later_s)
        assert groups.names == ('a',)
    groups.update({'b'}, [], RELEASED_AT_S + REPORTED_AFTER_RELEASE_S)
    assert not groups.names


def test_group_that_is_sound_again_is_not_reported() -> None:
    groups = BrokenGroups()
    groups.update({'a'}, ['a'], 10)
    groups.update({'a'}, [], 11)
    assert not groups.names


def test_sound_group_that_is_released_is_not_reported() -> None:
    groups = BrokenGroups()
    groups.update({'a'}, [], 10)
    groups.update((), [], 11)
    assert not groups.names
