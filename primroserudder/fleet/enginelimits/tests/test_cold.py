"""Tests which engines count as cold, and until when."""

import pytest

from ....platform import decode_engine
from ....process.platform import Row
from ....testing.colddata import (
    COLD_START_S,
    NotedLog,
    cold_configuration,
    cold_engines,
    cold_target,
)
from ....testing.fleetdata import ManualClock, engine, formation, joined_engine
from ...directory import Directory
from ...model import ColdTime, Engine
from ..cold import LIST_AGE_S, ColdEngines
from ..coldservices import ColdServices

ENTRY = {
    'Service': 'ledger',
    'Address': '10.0.0.1:80',
    'Zone': 'fd-1',
    'State': 'ready',
    'born': 1,
}


def _entry(cold_s: float = 0, born_ms: int = 1, engine_id: str = 'a') -> Engine:
    return engine(
        engine_id,
        service='ledger',
        born_ms=born_ms,
        cold_remaining_s=cold_s,
        cold_time=ColdTime.READ,
    )


def _is_cold(engines: ColdEngines, engine_id: str = 'a', born: int = 1) -> bool:
    return engines.spell(cold_target(engine_id, born_ms=born)) is not None


def test_listed_time_counts_from_when_the_entry_was_seen() -> None:
    clock = ManualClock()
    engines = cold_engines(clock)
    engines.note_entry(_entry(1.5))
    clock.advance(1.4)
    assert _is_cold(engines)
    clock.advance(0.2)
    assert not _is_cold(engines)


def test_later_entry_replaces_the_time_of_an_earlier_one() -> None:
    clock = ManualClock()
    engines = cold_engines(clock)
    engines.note_entry(_entry(3))
    clock.advance(1)
    engines.note_entry(_entry(0))
    assert not _is_cold(engines)
    engines.note_entry(_entry(2))
    assert _is_cold(engines)


def test_start_during_traffic_is_cold_though_the_entry_says_nothing() -> None:
    clock = ManualClock()
    engines = cold_engines(clock)
    engines.note_entry(engine('a', service='ledger'))
    assert _is_cold(engines)
    clock.advance(COLD_START_S - 0.1)
    assert _is_cold(engines)
    clock.advance(0.2)
    assert not _is_cold(engines)


def test_new_start_under_a_known_id_is_cold() -> None:
    clock = ManualClock()
    engines = cold_engines(clock)
    engines.note_entry(_entry(born_ms=1))
    clock.advance(COLD_START_S + 1)
    assert not _is_cold(engines)
    engines.note_entry(_entry(born_ms=2))
    assert _is_cold(engines, born=2)
    assert not _is_cold(engines, born=1)


def test_entry_that_is_listed_again_is_no_new_start() -> None:
    clock = ManualClock()
    engines = cold_engines(clock)
    engines.note_entry(_entry())
    clock.advance(COLD_START_S + 1)
    engines.note_entry(_entry())
    assert not _is_cold(engines)


def test_start_before_the_first_request_is_not_cold() -> None:
    clock = ManualClock()
    known = cold_configuration()
    engines = ColdEngines(clock, NotedLog(), ColdServices(lambda: known), bool)
    engines.note_list_read()
    engines.note_entry(_entry())
    assert not _is_cold(engines)


def test_vm_that_starts_takes_no_listed_engine_for_new() -> None:
    clock = ManualClock()
    known = cold_configuration()
    engines = ColdEngines(
        clock, NotedLog(), ColdServices(lambda: known), lambda: True
    )
    engines.note_entry(_entry(0, engine_id='a'))
    engines.note_entry(_entry(2, engine_id='b'))
    engines.note_list_read()
    assert not _is_cold(engines, 'a')
    assert _is_cold(engines, 'b')


def test_entries_read_before_the_configuration_count() -> None:
    clock = ManualClock()
    configurations = [None, cold_configuration()]
    services = ColdServices(lambda: configurations[0])
    engines = ColdEngines(clock, NotedLog(), services, lambda: True)
    engines.note_entry(_entry(2))
    configurations.pop(0)
    assert _is_cold(engines)


def test_engines_of_a_reopened_domain_are_cold_until_they_say_otherwise() -> (
    None
):
    clock = ManualClock()
    reopened: dict[str, float] = {}
    engines = cold_engines(clock)
    engines.domain_reopened_at = reopened.get
    engines.note_entry(_entry())
    engines.note_entry(engine('b', service='ledger', failure_domain='fd-2'))
    clock.advance(10)
    assert not _is_cold(engines)
    reopened['fd-1'] = clock.monotonic()
    assert _is_cold(engines)
    assert not _is_cold(engines, 'b')
    # This entry may have been written before the evacuation ended.
    engines.note_entry(_entry())
    assert _is_cold(engines)
    clock.advance(LIST_AGE_S + 0.1)
    engines.note_entry(_entry())
    assert not _is_cold(engines)


def test_engines_of_a_reopened_domain_are_told_to_others_at_once() -> None:
    clock = ManualClock()
    engines = cold_engines(clock)
    engines.note_entry(_entry())
    clock.advance(10)
    now = clock.monotonic()
    engines.domain_reopened_at = lambda _domain: now
    assert len(engines.spells_by_key()) == 1
    clock.advance(COLD_START_S)
    assert not engines.spells_by_key()


def test_others_are_told_of_heads_and_plain_engines_alone() -> None:
    clock = ManualClock()
    engines = cold_engines(clock)
    group = formation()
    for member in group.members:
        engines.note_entry(joined_engine(group, member))
    engines.note_entry(_entry(engine_id='plain'))
    told = {spell.engine_id for spell in engines.spells_by_key().values()}
    assert told == {group.head, 'plain'}


def test_services_without_cold_start_cost_nothing() -> None:
    clock = ManualClock()
    for start_s, per_s in ((0, 18), (3, 0), (-3, 18), (3, -18)):
        engines = cold_engines(
            clock, configuration=cold_configuration(start_s, per_s)
        )
        engines.note_entry(_entry(2))
        assert not engines.has_spells()


@pytest.mark.parametrize(
    ('text', 'cold_s', 'is_logged'),
    [
        (None, 0, False),
        (0, 0, False),
        (2500, 2.5, False),
        (2500.5, 2.5005, False),
        (-1, 0, True),
        ('soon', 0, True),
        (True, 0, True),
        ([], 0, True),
        (10**12, 60, True),
        (10**400, 60, True),
        (float('inf'), 60, True),
        (float('nan'), 0, True),
    ],
)
def test_any_time_leaves_the_other_fields_readable(
    text: object, cold_s: float, *, is_logged: bool
) -> None:
    log = NotedLog()
    engines = cold_engines(ManualClock(), log)
    for _ in range(2):
        decoded = decode_engine('a', {**ENTRY, 'ColdRemainingMs': text})
        assert decoded is not None and decoded.failure_domain == 'fd-1'
        assert decoded.cold_remaining_s == cold_s
        engines.note_entry(decoded)
    assert len(log.named('cold_time_malformed')) == is_logged


def test_malformed_time_does_not_end_a_known_one() -> None:
    engines = cold_engines(ManualClock())
    engines.note_entry(_entry(3))
    malformed = decode_engine('a', {**ENTRY, 'ColdRemainingMs': 'soon'})
    assert malformed is not None
    engines.note_entry(malformed)
    assert _is_cold(engines)


def test_beginning_and_end_are_logged_once() -> None:
    clock = ManualClock()
    log = NotedLog()
    engines = cold_engines(clock, log)
    for left_s in (3, 2, 1):
        engines.note_entry(_entry(left_s))
        clock.advance(1)
    assert not _is_cold(engines)
    assert [inputs['engine'] for inputs in log.named('engine_cold')] == ['a']
    assert [inputs['seconds'] for inputs in log.named('engine_warm')] == [3]


def test_entry_that_is_read_again_unchanged_does_not_count_anew() -> None:
    # A table that is read from another VM has all of its rows anew.
    clock = ManualClock()
    engines = cold_engines(clock)
    directory = Directory(decode_engine, engines.note_entry)
    fields = {**ENTRY, 'ColdRemainingMs': 1500}
    for _ in range(4):
        row = Row('servers/a', 1, dict(fields))
        directory.update({row.key: row}, cold_configuration())
        clock.advance(0.5)
    assert not _is_cold(engines)
