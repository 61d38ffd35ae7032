"""The error of predictions is learned quickly, and forgotten."""

import itertools

import pytest

from ..accuracy import PredictionErrors

POOL = 'model/small'
ASSUMED_S = 0.02
MS = 1000


def _errors(*off_s: float) -> PredictionErrors:
    errors = PredictionErrors()
    for each_s in off_s:
        errors.record(POOL, 0.1, 0.1 + each_s, ASSUMED_S)
    return errors


def test_error_is_assumed_before_the_first_request() -> None:
    assumed = pytest.approx(ASSUMED_S)
    assert _errors().error_s(POOL, ASSUMED_S) == assumed
    assert _errors(0.2).error_s('model/large', ASSUMED_S) == assumed


def test_few_requests_move_the_error_much() -> None:
    # A router that just started must learn within seconds.
    assert (
        _errors(*itertools.repeat(0.2, 8)).error_s(POOL, ASSUMED_S) * MS > 100
    )


def test_predictions_that_are_right_again_bring_the_error_down() -> None:
    off = itertools.repeat(0.2, 50)
    errors = _errors(*off, *itertools.repeat(0, 100))
    assert errors.error_s(POOL, ASSUMED_S) * MS < 20


def test_early_and_late_events_count_alike() -> None:
    errors = _errors(*itertools.islice(itertools.cycle((0.1, -0.1)), 200))
    assert errors.error_s(POOL, ASSUMED_S) == pytest.approx(0.1, rel=0.01)
