"""Tests which word on an engine's limit counts, and how long."""

from ....testing.fleetdata import ManualClock
from ...membership import LimitNews
from ..registry import (
    ENDED_MEMORY_S,
    LIMIT_MEMORY_S,
    MIN_LIMIT_PER_S,
    LimitRegistry,
)

KEY = 7


def _pair() -> tuple[LimitRegistry, LimitRegistry, ManualClock]:
    clock = ManualClock()
    return LimitRegistry(clock), LimitRegistry(clock), clock


def test_limit_reaches_a_vm_that_never_heard_the_engine() -> None:
    one, other, _ = _pair()
    one.note(KEY, 3)
    other.merge(one.news())
    assert other.rate_per_s(KEY) == 3


def test_limit_does_not_end_because_nothing_is_sent() -> None:
    one, _, clock = _pair()
    one.note(KEY, 3)
    clock.advance(LIMIT_MEMORY_S - 1)
    assert one.news() and one.rate_per_s(KEY) == 3
    clock.advance(2)
    one.news()
    assert one.is_empty()


def test_end_of_a_limit_is_told_to_vms_that_heard_it_earlier() -> None:
    one, other, clock = _pair()
    other.note(KEY, 3)
    one.merge(other.news())
    clock.advance(2)
    one.note_unlimited(KEY)
    assert one.rate_per_s(KEY) is None
    other.merge(one.news())
    assert other.rate_per_s(KEY) is None


def test_older_word_of_another_vm_does_not_bring_a_limit_back() -> None:
    one, other, clock = _pair()
    other.note(KEY, 3)
    one.merge(other.news())
    clock.advance(0.3)
    one.note_unlimited(KEY)
    one.merge(other.news())
    assert one.rate_per_s(KEY) is None


def test_word_that_went_round_does_not_become_newer() -> None:
    one, other, clock = _pair()
    one.note(KEY, 3)
    for _ in range(1000):
        clock.advance(0.7)
        other.merge(one.news())
        one.merge(other.news())
    assert one.is_empty() and other.is_empty()


def test_ended_limit_is_forgotten() -> None:
    one, _, clock = _pair()
    one.note(KEY, 3)
    one.note_unlimited(KEY)
    assert one.news() == {KEY: LimitNews(None, 0)}
    clock.advance(ENDED_MEMORY_S + 1)
    assert not one.news()


def test_engine_that_takes_nothing_is_asked_now_and_then() -> None:
    one, _, _ = _pair()
    one.note(KEY, 0)
    assert one.rate_per_s(KEY) == MIN_LIMIT_PER_S


def test_answers_of_engines_without_limit_are_not_kept() -> None:
    one, _, _ = _pair()
    one.note_unlimited(KEY)
    assert one.is_empty()
