"""Tests what the inventory derives from the engine list.

A new lease holder has to recognise loads that another holder ordered.
"""

from dataclasses import replace

from ...process.decisions import DecisionLog
from ...process.platform import Row
from ...testing.fleetdata import (
    SPEC,
    ManualClock,
    engine,
    formation,
    group,
    group_progress,
    joined_engine,
)
from ..directory import Directory
from ..engine_inventory import EngineInventory
from ..load_limiter import LoadLimiter
from ..model import Engine, GroupState

STANDBY = formation('small.7.standby', ('a',))


def _inventory(*engines: Engine, evacuated: str = '') -> EngineInventory:
    by_id = {entry.engine_id: entry for entry in engines}
    directory = Directory(lambda engine_id, _: by_id.get(engine_id))
    rows = {
        f'servers/{engine_id}': Row(f'servers/{engine_id}', 1, {})
        for engine_id in by_id
    }
    directory.update(rows, None)
    clock = ManualClock()
    log = DecisionLog('vm', clock)
    return EngineInventory(
        directory,
        clock,
        log,
        LoadLimiter(clock),
        lambda: True,
        is_evacuated=lambda domain: domain == evacuated,
    )


def test_joining_engine_does_not_hold_the_model_yet() -> None:
    loading = joined_engine(STANDBY, 'a', GroupState.JOINING)
    free = _inventory(loading).free_by_service((), (), lambda _: SPEC)['model']
    assert free[0].loading == 'small'
    assert not free[0].last_model


def test_joined_engine_holds_the_model() -> None:
    free = _inventory(joined_engine(STANDBY, 'a')).free_by_service(
        (), (), lambda _: SPEC
    )
    assert free['model'][0].last_model == 'small'
    assert not free['model'][0].loading


def test_unreachable_and_draining_engines_are_not_free() -> None:
    inventory = _inventory(
        engine('a'), replace(engine('b'), is_draining=True), engine('c')
    )
    free = inventory.free_by_service((), {'c'}, lambda _: SPEC)['model']
    assert [free_engine.engine.engine_id for free_engine in free] == ['a']


def test_domain_that_has_just_grown_is_not_settled() -> None:
    inventory = _inventory(engine('a'))
    inventory.note_growth()
    assert not inventory.is_settled('model/d0', ())
    inventory.clock.advance(5)  # type: ignore[attr-defined]
    assert inventory.is_settled('model/d0', ())


def test_engines_of_an_evacuated_domain_form_no_group() -> None:
    # They would be occupied without a request.
    engines = (engine('a'), engine('b', failure_domain='fd-2'))
    free = _inventory(*engines, evacuated='fd-1').free_by_service(
        (), (), lambda _: SPEC
    )['model']
    assert [free_engine.engine.engine_id for free_engine in free] == ['b']


def test_groups_of_an_evacuated_domain_do_not_serve() -> None:
    """Other domains form groups in their place."""
    claimed = [
        formation('small.7', ('a', 'b', 'c')),
        formation('small.8', ('d', 'e', 'f')),
    ]
    engines = {**group(claimed[0]), **group(claimed[1])}
    engines['d'] = replace(engines['d'], failure_domain='fd-2')
    groups = [group_progress(each) for each in claimed]
    wanted = []
    for evacuated, existing in (('', 2), ('fd-1', 1), ('fd-2', 1)):
        inventory = _inventory(*engines.values(), evacuated=evacuated)
        balance = inventory.balance(groups, 'model', SPEC)
        assert balance.groups_by_model['small'] == existing
        wanted.append(balance.wanted_by_model)
    assert wanted[0] == wanted[1] == wanted[2]
