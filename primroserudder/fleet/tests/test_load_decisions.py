"""Tests target choice, demand, silent heads and target health."""

import itertools
from dataclasses import replace

import pytest

from ...platform import decode_configuration, decode_engine
from ...process.platform import Row
from ...testing.fleetdata import (
    LARGE,
    SPEC,
    ManualClock,
    formation,
    group,
    joined_engine,
    target,
)
from ...testing.platformsite import configuration
from ..attempt import NO_CONNECTION, AttemptResult, StreamActivity
from ..demand import DemandMeter, initial_groups
from ..directory import Directory
from ..health import TargetHealth
from ..membership import short_key
from ..model import Engine, EngineSpec, GroupState, ModelSpec
from ..retries import Ending
from ..silent_heads import SILENT_START_S, SILENT_STREAM_S, silent_heads

DOMAINS = tuple(itertools.repeat(11, 6))
LARGE_DOMAINS = tuple(itertools.repeat(35, 25))
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
    return [chosen.engine_id for chosen in pool_targets]


def test_whole_open_group_takes_requests() -> None:
    assert _targets(group(FORMATION)) == ['a']


@pytest.mark.parametrize(
    'state', [GroupState.READY, GroupState.CLOSING, GroupState.BROKEN]
)
def test_head_in_another_state_takes_no_requests(state: GroupState) -> None:
    assert not _targets(group(FORMATION, state))


def test_group_without_one_member_takes_no_requests() -> None:
    engines = group(FORMATION)
    engines.pop('b')
    assert not _targets(engines)


def test_group_with_draining_member_takes_no_requests() -> None:
    engines = group(FORMATION)
    engines['b'] = replace(engines['b'], is_draining=True)
    assert not _targets(engines)


def test_member_of_another_epoch_does_not_complete_a_group() -> None:
    engines = group(FORMATION)
    engines['b'] = joined_engine(formation('small.6', ('a', 'b')), 'b')
    assert not _targets(engines)


def test_unreadable_entries_are_skipped() -> None:
    directory = Directory(decode_engine)
    row = Row('servers/a', 1, {'Service': 1})
    directory.update({'servers/a': row}, None)
    assert not directory.engines_by_id


def test_load_peak_raises_wanted_groups_and_decays() -> None:
    meter = DemandMeter()
    meter.record({'model/small': 60}, 0)
    wanted = meter.wanted('model', SPEC, DOMAINS, has_traffic=True)
    assert wanted['small'] == pytest.approx(8)
    meter.record({'model/small': 10}, 60)
    decayed = meter.wanted('model', SPEC, DOMAINS, has_traffic=True)
    assert decayed['small'] < wanted['small']


def test_before_traffic_configured_shares_set_wanted_groups() -> None:
    wanted = DemandMeter().wanted('model', SPEC, DOMAINS, has_traffic=False)
    assert wanted == initial_groups(SPEC, DOMAINS)


def test_before_traffic_slots_follow_the_work_and_not_the_engines() -> None:
    # Groups have the same slots whatever their size; the slower model holds
    # each of its slots longer.
    models = (
        ModelSpec('slow', 16, 0.5, 16, 1.6, pace=1),
        ModelSpec('fast', 4, 0.5, 12, 1.1, pace=0.6),
    )
    spec = EngineSpec(7, {model.name: model for model in models}, 0, 73, 109)
    groups = initial_groups(spec, LARGE_DOMAINS)
    assert groups['fast'] / groups['slow'] == pytest.approx(0.6, rel=0.05)
    assert 16 * groups['slow'] + 4 * groups['fast'] <= 875 - 2 * 25 + 16


def test_loss_of_one_group_takes_a_fifth_of_a_models_slots_at_most() -> None:
    assert min(initial_groups(SPEC, DOMAINS).values()) >= 5


def test_site_with_many_fabric_domains_needs_fewer_spares() -> None:
    groups = initial_groups(SPEC, LARGE_DOMAINS)
    serving = sum(
        count * SPEC.models_by_name[model].group_size
        for model, count in groups.items()
    )
    # One domain may go dark, and each of the others loses two engines.
    assert serving == pytest.approx(24 * (35 - 2), abs=LARGE.group_size)


def test_wanted_groups_have_room_in_the_fabric_domains() -> None:
    # Domains of 11 have room for one group of six, however many there are.
    heavy = replace(SPEC.models_by_name['large'], work_share=50)
    spec = replace(SPEC, models_by_name={**SPEC.models_by_name, 'large': heavy})
    assert initial_groups(spec, DOMAINS)['large'] <= len(DOMAINS)


def test_one_moving_stream_keeps_its_head_from_being_silent() -> None:
    still = StreamActivity(0, 3)
    moving = StreamActivity(SILENT_STREAM_S, 3)
    now = SILENT_STREAM_S + 0.01
    assert silent_heads({'a': {1: still}}, now) == ('a',)
    assert not silent_heads({'a': {1: still, 2: moving}}, now)


def test_first_event_has_a_longer_silence_limit() -> None:
    starting = {'a': {1: StreamActivity(0, 0)}}
    assert not silent_heads(starting, SILENT_STREAM_S + 0.01)
    assert silent_heads(starting, SILENT_START_S + 0.01)


def test_engine_is_avoided_after_consecutive_failures() -> None:
    clock = ManualClock()
    health = TargetHealth(clock)
    health_target = target('a')
    broken = AttemptResult(Ending.UNKNOWN, 'reset')
    whole = AttemptResult(Ending.DELIVERED)
    health.note(health_target, broken, clock.now)
    health.note(health_target, whole, clock.now)
    health.note(health_target, broken, clock.now)
    assert health.is_usable(health_target)
    health.note(health_target, broken, clock.now)
    assert not health.is_usable(health_target)
    clock.advance(5)
    assert health.is_usable(health_target)


def test_domain_is_avoided_once_two_engines_are_unreachable() -> None:
    clock = ManualClock()
    health = TargetHealth(clock)
    not_connected = AttemptResult(Ending.NOT_SENT, NO_CONNECTION)
    for engine_id in 'ab':
        assert not health.is_domain_avoided('fd-2')
        health_target = target(engine_id, domain='fd-2')
        health.note(health_target, not_connected, clock.now)
    assert health.is_domain_avoided('fd-2')
    assert not health.is_domain_avoided('fd-1')
    clock.advance(5)
    assert not health.is_domain_avoided('fd-2')


async def test_unreachable_head_ends_running_requests_but_no_later_ones() -> (
    None
):
    health = TargetHealth(ManualClock())
    running = health.unreachable_event('a')
    health.note_unreachable_head('a', 'fd-2')
    assert running.is_set()
    assert not health.unreachable_event('a').is_set()
    assert not health.is_usable(target('a', domain='fd-2'))


def test_group_that_is_no_longer_reported_broken_keeps_its_streams() -> None:
    """The next lease holder may find the group sound and go on with it."""
    health = TargetHealth(ManualClock())
    name = formation().name
    health.mark_groups_lost([short_key(name)])
    health.mark_groups_lost([])
    assert not health.lost_event(name).is_set()
