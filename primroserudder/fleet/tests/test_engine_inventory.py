"""What a new holder of the lease learns of loads that another ordered."""

from dataclasses import replace

from ...process.decisions import DecisionLog
from ...process.platform import Row
from ...testing.fleetdata import SPEC, ManualClock, engine, formation, joined
from ..directory import Directory
from ..engine_inventory import EngineInventory
from ..load_limiter import LoadLimiter
from ..model import Engine, GroupState

STANDBY = formation('small.7.standby', ('a',))


def _inventory(*engines: Engine) -> EngineInventory:
    by_id = {one.engine_id: one for one in engines}
    directory = Directory(lambda engine_id, _: by_id.get(engine_id))
    rows = {f'servers/{one}': Row(f'servers/{one}', 1, {}) for one in by_id}
    directory.update(rows, None)
    clock = ManualClock()
    log = DecisionLog('vm', clock)
    return EngineInventory(
        directory, clock, log, LoadLimiter(clock), lambda: True
    )


def test_engine_that_still_joins_does_not_hold_the_model_yet() -> None:
    loading = joined(STANDBY, 'a', GroupState.JOINING)
    free = _inventory(loading).free_by_service((), (), lambda _: SPEC)['model']
    assert free[0].loading == 'small'
    assert not free[0].last_model


def test_engine_that_has_joined_holds_it() -> None:
    free = _inventory(joined(STANDBY, 'a')).free_by_service(
        (), (), lambda _: SPEC
    )
    assert free['model'][0].last_model == 'small'
    assert not free['model'][0].loading


def test_unreachable_and_draining_engines_are_not_free() -> None:
    inventory = _inventory(
        engine('a'), replace(engine('b'), is_draining=True), engine('c')
    )
    free = inventory.free_by_service((), {'c'}, lambda _: SPEC)['model']
    assert [one.engine.engine_id for one in free] == ['a']


def test_domain_that_has_just_grown_is_not_settled() -> None:
    inventory = _inventory(engine('a'))
    inventory.note_growth()
    assert not inventory.is_settled('model/d0', ())
    inventory.clock.advance(5)  # type: ignore[attr-defined]
    assert inventory.is_settled('model/d0', ())
