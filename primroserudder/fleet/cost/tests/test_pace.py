"""Slow engines are learned from the streams that pass."""

import pytest

from ....testing.fleetdata import ManualClock, target
from ..pace import HALF_LIFE_S, MAX_PACE, MIN_PACE, PaceBook

POOL = 'model/small'
STREAMS = 30


def _book(ratios: dict[str, float], streams: int = STREAMS) -> PaceBook:
    book = PaceBook(ManualClock())
    for _ in range(streams):
        for engine_id, ratio in ratios.items():
            book.record(POOL, target(engine_id), ratio)
    return book


def test_engine_at_half_pace_is_learned() -> None:
    book = _book({**{str(number): 1.4 for number in range(9)}, 'slow': 2.8})
    assert book.pace(target('slow')) == pytest.approx(2, rel=0.15)
    assert book.pace(target('3')) == pytest.approx(1, rel=0.15)


def test_what_slows_all_engines_is_no_pace_of_one() -> None:
    # Prompts are read between the tokens of answers, everywhere.
    book = _book({str(number): 3.0 for number in range(9)})
    assert book.pace(target('3')) == pytest.approx(1)


def test_unknown_engine_has_the_typical_pace() -> None:
    assert _book({'a': 2.0}).pace(target('b')) == 1


def test_one_stream_says_less_than_many() -> None:
    fast = {str(number): 1.0 for number in range(9)}
    once = _book({**fast, 'slow': 2.0}, streams=1)
    often = _book({**fast, 'slow': 2.0})
    slow = target('slow')
    assert 1 < once.pace(slow) < often.pace(slow)


def test_restarted_engine_begins_anew() -> None:
    book = _book({**{str(number): 1.0 for number in range(9)}, 'slow': 3.0})
    assert book.pace(target('slow', born_ms=7)) == 1


def test_pace_is_forgotten_with_time() -> None:
    # An engine that nobody uses any more gets no streams that show its pace.
    book = _book({**{str(number): 1.0 for number in range(9)}, 'slow': 3.0})
    before = book.pace(target('slow'))
    assert isinstance(book.clock, ManualClock)
    book.clock.advance(10 * HALF_LIFE_S)
    book.refresh()
    assert 10 * book.pace(target('slow')) < 11 < 10 * before


def test_pace_is_bounded() -> None:
    book = _book({'a': 1.0, 'b': 1.0, 'fast': 0.01, 'slow': 100.0})
    assert book.pace(target('slow')) == pytest.approx(MAX_PACE)
    assert book.pace(target('fast')) == pytest.approx(MIN_PACE)
