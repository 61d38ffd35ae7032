"""A lease whose token is lower than those that engines have seen."""

from dataclasses import replace

from ...platform import OrderOutcome
from ...process.clock import LoopClock
from ...process.decisions import DecisionLog
from ...process.lease import Lease
from ...standins.memory import MemoryPlatform
from ...testing.fleetdata import engine, formation, group
from ...testing.platformsite import platform_site
from ..directory import Directory
from ..epochs import epoch_of, listed_token
from ..latertenures import JoinRecord, LaterTenures, RefusedJoin
from ..model import Engine, Formation

SEEN_EPOCH = 103_000_007
ENGINE = engine('a')
EARLIER = formation('small.4000001')
LATER = formation('small.4000002')


async def _later_tenures(*engines: Engine) -> LaterTenures:
    clock = LoopClock()
    lease = Lease(MemoryPlatform(), clock, 'site', 'vm', order_lifetime_s=0)
    lease.known_fencing = lambda: 3
    assert await lease.renew()
    assert lease.fencing == 4
    directory = Directory(lambda *_: None)
    directory.engines_by_id.update({each.engine_id: each for each in engines})
    return LaterTenures(lease, directory, DecisionLog('vm', clock))


async def _refuse(_engine: Engine, _formation: Formation) -> OrderOutcome:
    return OrderOutcome.OUTDATED


async def test_holder_with_a_low_token_takes_one_above_the_listed() -> None:
    later = await _later_tenures(*group(formation('small.900000001')).values())
    later.note_refusals([RefusedJoin(ENGINE, EARLIER)], 4)
    assert not later.lease.is_held()
    assert await later.lease.renew()
    assert later.lease.fencing == 901


async def test_holder_learns_of_a_later_tenure_by_refusals_alone() -> None:
    later = await _later_tenures()
    later.note_refusals([RefusedJoin(ENGINE, EARLIER)], 4)
    assert await later.lease.renew()
    assert later.lease.fencing > 100


async def test_refused_join_of_an_earlier_tenure_is_no_proof() -> None:
    later = await _later_tenures()
    later.note_refusals([RefusedJoin(ENGINE, formation('small.3000001'))], 4)
    assert later.lease.is_held()


async def test_engine_that_refuses_each_token_does_not_end_each_tenure() -> (
    None
):
    later = await _later_tenures(ENGINE)
    tenures = 0
    for _ in range(12):
        fencing = later.lease.fencing
        epoch = epoch_of(fencing, 1)
        refused = formation(f'small.{epoch}')
        refused = formation(f'small.{epoch}')
        later.note_refusals([RefusedJoin(ENGINE, refused)], fencing)
        tenures += not later.lease.is_held()
        assert await later.lease.renew()
    assert tenures == 4
    assert later.refusing_ids() == {ENGINE.engine_id}
    restarted = replace(ENGINE, born_ms=ENGINE.born_ms + 1)
    later.directory.engines_by_id[ENGINE.engine_id] = restarted
    assert not later.refusing_ids()


async def test_refusal_after_a_later_order_of_this_vm_is_no_proof() -> None:
    joins = JoinRecord()
    await joins.send(_refuse, ENGINE, LATER)
    assert [refusal.formation for refusal in joins.take_refused()] == [LATER]
    await joins.send(_refuse, ENGINE, EARLIER)
    assert not joins.take_refused()


def test_epochs_of_other_writers_tell_no_token() -> None:
    foreign = group(Formation('theirs', SEEN_EPOCH, 'small', ('a', 'b')))
    huge = 2**60
    absurd = group(formation(f'small.{huge}'))
    assert not listed_token([*foreign.values(), *absurd.values()])


async def test_site_recovers_from_a_token_that_was_set_back() -> None:
    """Else engines refuse all joins for good, and no group opens."""
    async with platform_site() as site:
        for listed in site.engines_by_id.values():
            listed.member.highest_epoch = SEEN_EPOCH
        await site.until(lambda: len(site.heads()) > 1)
        epochs = [
            int(str((head.group or {})['epoch'])) for head in site.heads()
        ]
        assert min(epochs) > SEEN_EPOCH
