"""A request's work is estimated from what is known of it."""

import pytest

from ....testing.costdata import SLOTS, TIMES, costed_spec, size
from ..enginetimes import read_s, write_s
from ..estimate import MAX_TOKENS, RequestSize, Work, WorkEstimator


def _work(request: RequestSize) -> Work:
    return WorkEstimator().estimate(request, costed_spec(), TIMES)


def test_prefill_and_decode_are_estimated_apart() -> None:
    work = _work(size(prompt=4600, longest=1000, hint=0))
    assert work.read_s == pytest.approx(read_s(TIMES, 4600))
    assert work.write_s == pytest.approx(write_s(TIMES, 60, SLOTS))
    assert work.held_tokens == 5600


def test_unknown_sizes_are_the_usual_ones() -> None:
    work = _work(size(prompt=0, longest=0))
    assert work.read_s == pytest.approx(read_s(TIMES, 900))
    assert work.answer.median == 60
    # Memory is estimated on the safe side of the spread.
    assert work.held_tokens > 900 + 2 * 60


def test_answer_is_never_expected_beyond_its_maximum() -> None:
    assert _work(size(longest=10, hint=500)).answer.median == 10


def test_absurd_counts_of_tokens_do_not_fail() -> None:
    # The counts come from header fields of any length.
    absurd = 10**400
    work = _work(size(prompt=absurd, longest=absurd, hint=absurd))
    assert work.held_tokens <= 2 * MAX_TOKENS
    assert work.read_s == pytest.approx(read_s(TIMES, MAX_TOKENS))


def test_finished_answers_change_the_estimate() -> None:
    estimator = WorkEstimator()
    for _ in range(20):
        estimator.record_answer(size(), 300)
    work = estimator.estimate(size(), costed_spec(), TIMES)
    assert work.answer.median == pytest.approx(300, rel=0.1)


def test_plain_answers_are_learned_by_route() -> None:
    estimator = WorkEstimator()
    for _ in range(20):
        estimator.record_plain('lookups', 0.25)
    learned = estimator.plain_s('lookups')
    assert learned is not None
    assert learned.median == pytest.approx(0.25, rel=0.1)
    assert estimator.plain_s('refunds') is None
