"""What engines still have to do, from this router and the others."""

import pytest

from ...membership import InFlightCounts, short_key
from ..outstanding import READING_UNIT_S, OutstandingWork, memory_unit

ENGINE = 'i-1'
KEY = short_key(ENGINE)
UNIT = memory_unit(700_000, 17)


def _outstanding(vms: int = 63, **others: int) -> OutstandingWork:
    counts = InFlightCounts(others_vms=vms - 1)
    for name, count in others.items():
        getattr(counts, f'others_{name}')[KEY] = count
    return OutstandingWork(counts)


def test_own_prompts_count_until_they_are_read() -> None:
    work = _outstanding()
    work.begin_reading(ENGINE, 0.05)
    work.begin_reading(ENGINE, 0.03)
    assert work.reading_s(ENGINE, KEY, 1) == pytest.approx(0.08)
    work.end_reading(ENGINE, 0.05)
    assert work.reading_s(ENGINE, KEY, 1) == pytest.approx(0.03)
    work.end_reading(ENGINE, 0.03)
    assert work.reading_s(ENGINE, KEY, 1) == pytest.approx(0)


def test_prompts_of_others_are_partly_read_when_their_notice_comes() -> None:
    units = round(0.4 / READING_UNIT_S)
    fresh = _outstanding(vms=3, reading=units).reading_s(ENGINE, KEY, 1)
    older = _outstanding(vms=106, reading=units).reading_s(ENGINE, KEY, 1)
    assert older > 0
    assert older < fresh
    assert 10 * fresh < 4
    # A slow engine has read less in the same time.
    assert (
        _outstanding(vms=106, reading=units).reading_s(ENGINE, KEY, 2) > older
    )
    assert _outstanding(vms=106, reading=5).reading_s(
        ENGINE, KEY, 1
    ) == pytest.approx(0)


def test_nothing_is_told_of_engines_without_work() -> None:
    # Notices are a main cost of a router at rest.
    work = _outstanding()
    work.begin_reading(ENGINE, 0.05)
    work.hold(ENGINE, 3 * UNIT, UNIT)
    assert work.counts.own_reading() == {KEY: round(0.05 / READING_UNIT_S)}
    assert work.counts.own_held() == {KEY: 3}
    work.end_reading(ENGINE, 0.05)
    work.hold(ENGINE, -3 * UNIT, UNIT)
    assert not work.counts.own_reading()
    assert not work.counts.own_held()
    assert not work._read_s
    assert not work._held


def test_small_requests_take_no_room_in_notices() -> None:
    work = _outstanding()
    work.hold(ENGINE, UNIT - 1, UNIT)
    work.begin_reading(ENGINE, 9 * READING_UNIT_S)
    assert not work.counts.own_held()
    assert not work.counts.own_reading()
    assert work.reading_s(ENGINE, KEY, 1) > 0


def test_held_tokens_are_never_understated() -> None:
    # Four routers hold two requests each, of which they tell whole units.
    true_tokens = 4 * 2 * (UNIT // 2 - 10) + 4 * 3 * UNIT
    work = _outstanding(running=8, held=4 * 3)
    work.hold(ENGINE, 1000, UNIT)
    held = work.held_tokens(ENGINE, KEY, UNIT)
    assert true_tokens + 1000 <= held
    assert held <= true_tokens + 1000 + 700_000 / 8
