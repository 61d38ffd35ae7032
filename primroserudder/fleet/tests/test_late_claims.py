"""Writes of claims without an answer, which the store carries out late."""

import asyncio

import pytest

from ...process.platform import Conflict, OutcomeUnknown
from ...standins.tablestore import TableStore
from ...testing.claimdata import claimed_names, tenure_on_standin
from ...testing.fleetdata import formation
from ..actions import Release
from ..tenure import Tenure

FIRST = formation('small.7', ('a', 'b', 'c'))
SECOND = formation('small.8', ('a', 'b', 'd'))
ENGINES = 'abcd'


async def _claim_late(
    standin: TableStore, tenure: Tenure, late_s: float
) -> None:
    """Send a claim that has no answer, and read the claims again."""
    standin.faults.late_by_s = late_s
    with pytest.raises(OutcomeUnknown):
        await tenure.replace([], [FIRST], {})
    standin.faults.late_by_s = 0
    await tenure.load()
    assert not tenure.groups_by_name


async def test_late_claim_has_no_effect_after_the_next_one() -> None:
    """Else one engine is in two claims, and is ordered out of an open group."""
    async with tenure_on_standin() as (standin, tenure):
        await _claim_late(standin, tenure, late_s=0.2)
        assert await tenure.replace([], [SECOND], {})
        await asyncio.sleep(0.4)
        assert claimed_names(standin) == {SECOND.name}


@pytest.mark.parametrize('second_late_s', [0.1, 0.3])
async def test_of_two_late_claims_one_has_effect(second_late_s: float) -> None:
    async with tenure_on_standin() as (standin, tenure):
        await _claim_late(standin, tenure, late_s=0.2)
        standin.faults.late_by_s = second_late_s
        with pytest.raises(OutcomeUnknown):
            await tenure.replace([], [SECOND], {})
        await asyncio.sleep(0.5)
        assert len(claimed_names(standin)) == 1


async def test_claim_done_after_the_reading_is_read_before_the_next() -> None:
    async with tenure_on_standin() as (standin, tenure):
        await _claim_late(standin, tenure, late_s=0.1)
        await asyncio.sleep(0.2)
        with pytest.raises(Conflict):
            await tenure.replace([], [SECOND], {})
        await tenure.load()
        assert set(tenure.groups_by_name) == {FIRST.name}
        assert claimed_names(standin) == {FIRST.name}


async def test_late_release_does_not_remove_a_later_claim() -> None:
    async with tenure_on_standin() as (standin, tenure):
        assert await tenure.replace([], [FIRST], {})
        progress = tenure.groups_by_name[FIRST.name]
        release = Release('the head is broken')
        standin.faults.late_by_s = 0.2
        with pytest.raises(OutcomeUnknown):
            await tenure.replace([(progress, release)], [], {})
        standin.faults.late_by_s = 0
        await tenure.load()
        progress = tenure.groups_by_name[FIRST.name]
        assert await tenure.replace([(progress, release)], [SECOND], {})
        await asyncio.sleep(0.4)
        assert claimed_names(standin) == {SECOND.name}


async def test_late_claim_of_a_tenure_that_ended_has_no_effect() -> None:
    async with tenure_on_standin() as (standin, tenure):
        await _claim_late(standin, tenure, late_s=0.2)
        await tenure.lease.release()
        assert await tenure.lease.renew()
        await asyncio.sleep(0.4)
        assert not claimed_names(standin)


async def test_claims_of_a_copy_are_not_taken_for_those_of_the_tenure() -> None:
    """Else a tenure that ended dissolves groups that the copy lacks."""
    async with tenure_on_standin() as (standin, tenure):
        rows_copy = standin.rows.copy()
        assert await tenure.replace([], [FIRST], {})
        standin.rows.restore(rows_copy)
        with pytest.raises(Conflict):
            await tenure.load()
        assert set(tenure.groups_by_name) == {FIRST.name}


async def test_late_release_of_the_lease_does_not_end_the_next_tenure() -> None:
    async with tenure_on_standin() as (standin, tenure):
        lease = tenure.lease
        standin.faults.late_by_s = 0.2
        with pytest.raises(OutcomeUnknown):
            await lease.release()
        standin.faults.late_by_s = 0
        assert await lease.renew()
        await asyncio.sleep(0.4)
        row = standin.rows.fields('leases', 'site')
        assert row is not None and row['holder'] == lease.holder
