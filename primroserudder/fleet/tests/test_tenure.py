"""Claims of a tenure that begins after the store came back from a copy."""

import asyncio
from collections.abc import Iterable, Mapping

import pytest

from ...process.clock import LoopClock
from ...process.decisions import DecisionLog
from ...process.lease import Lease
from ...process.metrics import Metrics
from ...process.platform import Transaction, Write
from ...standins.memory import MemoryPlatform
from ...testing.fleetdata import engine, formation, group, group_progress
from ..actions import Release
from ..claims import encode_claim
from ..directory import Directory
from ..listedgroups import UNKNOWN_HEAD
from ..model import Engine, Formation
from ..tenure import GROUPS_PREFIX, Tenure

pytestmark = pytest.mark.looptime
OLD = formation('small.7', ('a', 'b', 'c'))
NEW = formation('small.9', ('a', 'd', 'e'))


async def _tenure(
    engines_by_id: Mapping[str, Engine], claimed: Iterable[Formation] = ()
) -> Tenure:
    platform = MemoryPlatform()
    for claim in claimed:
        fields = encode_claim(claim, dict.fromkeys(claim.members, 1))
        write = Write(GROUPS_PREFIX + claim.name, fields)
        await platform.commit(Transaction((), (write,)))
    clock = LoopClock()
    lease = Lease(platform, clock, 'site', 'vm', order_lifetime_s=0)
    assert await lease.renew()
    lease.is_after_restore = True
    directory = Directory(lambda *_: None)
    directory.engines_by_id.update(engines_by_id)
    return Tenure(
        platform,
        lease,
        clock,
        DecisionLog('vm', clock),
        Metrics(),
        lease.fencing,
        directory,
        lambda _model: 3,
    )


async def _stored(tenure: Tenure) -> set[str]:
    rows = await tenure.platform.scan(GROUPS_PREFIX)
    return {row.key.removeprefix(GROUPS_PREFIX) for row in rows}


async def test_complete_group_whose_claim_was_lost_is_claimed_again() -> None:
    tenure = await _tenure(group(NEW))
    await tenure.load()
    progress = tenure.groups_by_name[NEW.name]
    assert progress.formation == NEW
    assert not progress.is_dissolving
    assert await _stored(tenure) == {NEW.name}


async def test_claim_of_a_group_that_ended_is_dissolved() -> None:
    # The copy brings back the claim, while the head serves another group.
    tenure = await _tenure(group(NEW), claimed=(OLD,))
    await tenure.load()
    assert tenure.groups_by_name[OLD.name].is_dissolving
    assert not tenure.groups_by_name[NEW.name].is_dissolving


async def test_incomplete_group_without_claim_keeps_its_members() -> None:
    engines_by_id = group(NEW)
    engines_by_id.pop('d')
    tenure = await _tenure(engines_by_id)
    await tenure.load()
    progress = tenure.groups_by_name[NEW.name]
    assert progress.is_dissolving
    assert progress.formation.members == ('a', 'e')


async def test_members_of_an_unlisted_head_are_not_free_at_once() -> None:
    engines_by_id = group(NEW)
    engines_by_id.pop('a')
    tenure = await _tenure(engines_by_id)
    await tenure.load()
    progress = tenure.groups_by_name[NEW.name]
    assert progress.is_dissolving
    assert progress.formation.members == (UNKNOWN_HEAD, 'd', 'e')


async def test_groups_that_this_process_claimed_are_claimed_again() -> None:
    # Its members have not joined yet, so that no engine reports the group.
    free = {engine_id: engine(engine_id) for engine_id in 'ade'}
    tenure = await _tenure(free)
    inherited = group_progress(NEW)
    tenure.inherited = {NEW.name: inherited}
    await tenure.load()
    assert tenure.groups_by_name == {NEW.name: inherited}
    assert await _stored(tenure) == {NEW.name}


async def test_claim_that_this_process_had_released_is_removed_again() -> None:
    tenure = await _tenure({}, claimed=(OLD,))
    tenure.inherited = {}
    await tenure.load()
    assert not tenure.groups_by_name
    assert not await _stored(tenure)


async def test_claims_are_restored_only_once_in_a_tenure() -> None:
    # A transaction fails later, so that the claims are read again.
    tenure = await _tenure(group(OLD))
    tenure.inherited = {OLD.name: group_progress(OLD)}
    await tenure.load()
    released = tenure.groups_by_name[OLD.name]
    engines_by_id = group(NEW)
    tenure.directory.engines_by_id.clear()
    tenure.directory.engines_by_id.update(engines_by_id)
    assert await tenure.replace(
        [(released, Release('left'))], [NEW], engines_by_id
    )
    await tenure.load()
    assert set(tenure.groups_by_name) == {NEW.name}


async def test_claims_are_not_touched_without_a_restore() -> None:
    tenure = await _tenure(group(NEW), claimed=(OLD,))
    tenure.lease.is_after_restore = False
    await tenure.load()
    await asyncio.sleep(0)
    assert set(tenure.groups_by_name) == {OLD.name}
    assert not tenure.groups_by_name[OLD.name].is_dissolving
