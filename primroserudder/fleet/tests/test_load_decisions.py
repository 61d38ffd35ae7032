"""Targets, demand and silence, each under the load that it answers."""

from collections import Counter
from dataclasses import replace

import pytest

from ...platform import decode_configuration, decode_engine
from ...process.platform import Row
from ...testing.fleetdata import (
    SPEC,
    ManualClock,
    formation,
    group,
    joined,
    target,
)
from ...testing.platformsite import configuration
from ..attempt import NO_CONNECTION, AttemptResult, StreamWatch
from ..choice import choose
from ..demand import DemandMeter, initial_groups
from ..directory import Directory
from ..health import TargetHealth
from ..model import Engine, GroupState
from ..repeating import Ending
from ..silent_heads import SILENT_START_S, SILENT_STREAM_S, silent_heads

FORMATION = formation('small.7', ('a', 'b'))


def _directory(engines: dict[str, Engine]) -> Directory:
    directory = Directory(lambda engine_id, _: engines.get(engine_id))
    rows = {
        f'servers/{engine_id}': Row(f'servers/{engine_id}', 1, {})
        for engine_id in engines
    }
    directory.update(rows, decode_configuration(configuration()))
    return directory


def _targets(engines: dict[str, Engine]) -> list[str]:
    pool_targets = _directory(engines).targets_by_pool().get('model/small', ())
    return [one.engine_id for one in pool_targets]


def test_whole_open_group_takes_requests() -> None:
    assert _targets(group(FORMATION)) == ['a']


@pytest.mark.parametrize(
    'state', [GroupState.READY, GroupState.CLOSING, GroupState.BROKEN]
)
def test_head_in_another_state_takes_none(state: GroupState) -> None:
    assert not _targets(group(FORMATION, state))


def test_group_without_one_of_its_members_takes_none() -> None:
    engines = group(FORMATION)
    engines.pop('b')
    assert not _targets(engines)


def test_group_with_a_member_that_drains_takes_none() -> None:
    engines = group(FORMATION)
    engines['b'] = replace(engines['b'], is_draining=True)
    assert not _targets(engines)


def test_member_of_another_epoch_does_not_make_a_group_whole() -> None:
    engines = group(FORMATION)
    engines['b'] = joined(formation('small.6', ('a', 'b')), 'b')
    assert not _targets(engines)


def test_unreadable_entries_are_passed_over() -> None:
    directory = Directory(decode_engine)
    row = Row('servers/a', 1, {'Service': 1})
    directory.update({'servers/a': row}, None)
    assert not directory.engines_by_id


def test_emptiest_target_goes_first_whichever_vm_asks() -> None:
    running = Counter(a=5, b=2)
    targets = [target('a'), target('b')]
    chosen = choose(targets, running.__getitem__, 'fd-1')
    assert chosen is targets[1]


def test_own_domain_goes_first_where_two_are_about_equal() -> None:
    targets = [target('a', domain='fd-2'), target('b', domain='fd-1')]
    chosen = choose(targets, lambda _: 3, 'fd-1')
    assert chosen is targets[1]


def test_full_and_avoided_targets_are_left_out() -> None:
    targets = [target('a', slots=2), target('b')]
    assert choose(targets, lambda _: 2, 'fd-1', {'b'}) is None


def test_peak_of_the_load_asks_for_groups_and_fades() -> None:
    meter = DemandMeter()
    meter.record({'model/small': 60}, 0)
    wanted = meter.wanted('model', SPEC, 66, has_traffic=True)
    assert wanted['small'] == pytest.approx(8)
    meter.record({'model/small': 10}, 60)
    calm = meter.wanted('model', SPEC, 66, has_traffic=True)
    assert calm['small'] < wanted['small']


def test_before_traffic_the_configurations_shares_decide() -> None:
    wanted = DemandMeter().wanted('model', SPEC, 66, has_traffic=False)
    assert wanted == initial_groups(SPEC, 66)


def test_one_stream_that_moves_speaks_for_its_head() -> None:
    still = StreamWatch(0, 3)
    moving = StreamWatch(SILENT_STREAM_S, 3)
    now = SILENT_STREAM_S + 0.01
    assert silent_heads({'a': {1: still}}, now) == ('a',)
    assert not silent_heads({'a': {1: still, 2: moving}}, now)


def test_first_event_may_take_longer() -> None:
    starting = {'a': {1: StreamWatch(0, 0)}}
    assert not silent_heads(starting, SILENT_STREAM_S + 0.01)
    assert silent_heads(starting, SILENT_START_S + 0.01)


def test_engine_that_fails_in_part_rests_after_failures_in_a_row() -> None:
    clock = ManualClock()
    health = TargetHealth(clock)
    health_target = target('a')
    broken = AttemptResult(Ending.UNKNOWN, 'reset')
    whole = AttemptResult(Ending.DELIVERED)
    health.note(health_target, broken, clock.now)
    health.note(health_target, whole, clock.now)
    health.note(health_target, broken, clock.now)
    assert 'a' not in health.avoided()
    health.note(health_target, broken, clock.now)
    assert 'a' in health.avoided()
    clock.advance(5)
    assert 'a' not in health.avoided()


def test_domain_rests_once_two_of_its_engines_are_out_of_reach() -> None:
    clock = ManualClock()
    health = TargetHealth(clock)
    unreached = AttemptResult(Ending.NOT_RUN, NO_CONNECTION)
    for engine_id in 'ab':
        assert not health.is_domain_avoided('fd-2')
        health_target = target(engine_id, domain='fd-2')
        health.note(health_target, unreached, clock.now)
    assert health.is_domain_avoided('fd-2')
    assert not health.is_domain_avoided('fd-1')
    clock.advance(5)
    assert not health.is_domain_avoided('fd-2')


async def test_head_out_of_reach_ends_what_runs_there_and_no_later_run() -> (
    None
):
    health = TargetHealth(ManualClock())
    running = health.cut_event('a')
    health.note_cut_head('a', 'fd-2')
    assert running.is_set()
    assert not health.cut_event('a').is_set()
    assert 'a' in health.avoided()
