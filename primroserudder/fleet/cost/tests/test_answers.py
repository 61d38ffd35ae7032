"""Lengths of answers are learned with their spread."""

import math
import random

import pytest

from ..answers import (
    MAX_KEYS,
    MIN_ANSWERS,
    UNKNOWN_SPREAD,
    AnswerHistory,
    Sizes,
    SizesByKey,
)

KEYS = (('large', 'chat', 'north'), ('large', 'chat'), ('large',))
OTHER_WORKSPACE = (('large', 'chat', 'south'), ('large', 'chat'), ('large',))
ANSWERS = 400


def _learned(spread: float, hint_spread: float = 0) -> AnswerHistory:
    rng = random.Random(1)
    history = AnswerHistory()
    for _ in range(ANSWERS):
        length = max(1, round(60 * rng.lognormvariate(0, spread)))
        hint = length * rng.lognormvariate(0, hint_spread)
        history.record(KEYS, length, max(1, round(hint)) if hint_spread else 0)
    return history


def test_nothing_is_estimated_without_knowledge() -> None:
    assert AnswerHistory().estimate(KEYS, 0, 0) is None


def test_median_and_spread_of_finished_answers_are_learned() -> None:
    size = _learned(spread=1).estimate(KEYS, 0, 0)
    assert size is not None
    assert size.median == pytest.approx(60, rel=0.2)
    assert size.spread == pytest.approx(1, abs=0.2)


def test_unlearned_workspace_is_answered_by_its_class() -> None:
    size = _learned(spread=0.5).estimate(OTHER_WORKSPACE, 0, 0)
    assert size is not None
    assert size.median == pytest.approx(60, rel=0.2)


def test_few_answers_teach_nothing() -> None:
    # One long answer must not stand for all of its class.
    history = AnswerHistory()
    for _ in range(MIN_ANSWERS - 1):
        history.record(KEYS, 5000, 0)
    size = history.estimate(KEYS, 0, 60)
    assert size is not None
    assert (size.median, size.spread) == (60, UNKNOWN_SPREAD)


def test_callers_estimate_alone_is_as_unsure_as_answers_are() -> None:
    size = AnswerHistory().estimate(KEYS, 200, 0)
    assert size is not None
    assert size.median == pytest.approx(200)
    assert size.spread == pytest.approx(UNKNOWN_SPREAD)


def test_exact_estimates_count_more_than_what_is_usual() -> None:
    history = _learned(spread=1, hint_spread=0.1)
    size = history.estimate(KEYS, 600, 0)
    assert size is not None
    assert size.median == pytest.approx(600, rel=0.25)
    assert 10 * size.spread < 3


def test_vague_estimates_are_drawn_to_what_is_usual() -> None:
    history = _learned(spread=0.2, hint_spread=1.5)
    size = history.estimate(KEYS, 600, 0)
    assert size is not None
    assert size.median < 100


def test_estimates_in_another_unit_are_scaled() -> None:
    # An event may hold several tokens; answers are counted in events.
    history = AnswerHistory()
    for length in range(20, 120):
        history.record(KEYS, length, 4 * length)
    size = history.estimate(KEYS, 400, 0)
    assert size is not None
    assert size.median == pytest.approx(100, rel=0.3)


def test_sizes_out_of_range_are_recorded_within_it() -> None:
    sizes = Sizes()
    for _ in range(MIN_ANSWERS):
        sizes.record(10**12)
        sizes.record(0)
    size = sizes.size()
    assert size is not None
    assert math.isfinite(size.high)


def test_number_of_histograms_is_bounded() -> None:
    # Names of models and workspaces come from requests.
    sizes = SizesByKey()
    for number in range(3 * MAX_KEYS):
        sizes.record(((str(number),),), 1)
    assert len(sizes._sizes) == MAX_KEYS
