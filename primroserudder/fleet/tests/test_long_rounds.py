"""Rounds whose claims and releases are more than a call of the store takes."""

import pytest

from ...process.platform import OutcomeUnknown
from ...testing.claimdata import claimed_names, tenure_on_standin
from ...testing.fleetdata import formation, group_progress
from ..actions import Release
from ..model import Formation

GROUPS = 145
SIZE = 6
RELEASE = Release('the head is broken')


def _formations(first_epoch: int, count: int = GROUPS) -> list[Formation]:
    return [_formation(first_epoch, number) for number in range(count)]


def _formation(first_epoch: int, number: int) -> Formation:
    first_member = number * SIZE
    members = list(map(str, range(first_member, first_member + SIZE)))
    epoch = first_epoch + number
    return formation(f'large.{epoch}', members, 'large')


async def test_all_groups_of_a_large_site_are_replaced_in_one_round() -> None:
    """Else the store refuses the round again and again: no group opens."""
    async with tenure_on_standin(SIZE) as (standin, tenure):
        lost, planned = _formations(1), _formations(1001)
        assert await tenure.replace([], lost, {})
        released = [
            (progress, RELEASE) for progress in tenure.groups_by_name.values()
        ]
        assert await tenure.replace(released, planned, {})
        names = {group.name for group in planned}
        assert claimed_names(standin) == set(tenure.groups_by_name) == names
        assert not standin.refused


async def test_restored_claims_of_a_large_site_are_written_again() -> None:
    async with tenure_on_standin(SIZE) as (standin, tenure):
        claimed = _formations(1)
        tenure.inherited = {
            group.name: group_progress(group) for group in claimed
        }
        tenure.lease.is_after_restore = True
        await tenure.load()
        assert claimed_names(standin) == {group.name for group in claimed}
        assert not standin.refused


async def test_engines_are_released_before_they_are_claimed() -> None:
    # A transaction fails: those that rely on it must not be sent.
    async with tenure_on_standin(SIZE) as (standin, tenure):
        assert await tenure.replace([], _formations(1), {})
        released = [
            (progress, RELEASE) for progress in tenure.groups_by_name.values()
        ]
        standin.faults.late_by_s = 0.3
        with pytest.raises(OutcomeUnknown):
            await tenure.replace(released, _formations(1001), {})
        assert claimed_names(standin) == {
            group.name for group in _formations(1)
        }
        assert set(tenure.groups_by_name) == claimed_names(standin)


async def test_claim_that_is_too_long_does_not_spoil_the_others() -> None:
    async with tenure_on_standin(SIZE) as (standin, tenure):
        model = 'x' * 200
        long = Formation(f'{model}.9', 9, model, ('j-1', 'j-2'))
        planned = _formations(1, count=3)
        assert await tenure.replace([], [long, *planned], {})
        assert claimed_names(standin) == {group.name for group in planned}
