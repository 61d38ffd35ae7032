"""Groups whose claims are missing, as their members report them."""

from collections.abc import Iterable

from ...testing.fleetdata import formation, group
from ..listedgroups import UNKNOWN_HEAD, ListedGroup, listed_groups
from ..model import Engine, Formation, GroupState

CLAIMED = formation('small.7', ('a', 'b', 'c'))


def _only_group(engines: Iterable[Engine]) -> ListedGroup:
    found = listed_groups(engines)
    assert len(found) == 1
    return found[0]


def test_complete_group_is_found_with_its_members_in_order() -> None:
    engines = reversed(group(CLAIMED).values())
    listed = _only_group(engines)
    assert listed.formation() == CLAIMED
    assert listed.is_complete(3)
    assert listed.takes_requests()


def test_group_with_a_member_missing_is_incomplete() -> None:
    engines_by_id = group(CLAIMED)
    engines_by_id.pop('b')
    listed = _only_group(engines_by_id.values())
    assert not listed.is_complete(3)
    assert listed.formation().members == ('a', 'c')


def test_members_without_their_head_keep_a_place_for_it() -> None:
    # The head may be cut off from the store and still take requests.
    engines_by_id = group(CLAIMED)
    engines_by_id.pop('a')
    listed = _only_group(engines_by_id.values())
    assert listed.formation().members == (UNKNOWN_HEAD, 'b', 'c')
    assert not listed.takes_requests()


def test_head_that_is_ready_takes_no_requests() -> None:
    listed = _only_group(group(CLAIMED, GroupState.READY).values())
    assert not listed.takes_requests()


def test_standby_is_no_group() -> None:
    standby = Formation('small.8.standby', 8, 'small', ('a',))
    assert not listed_groups(group(standby).values())
