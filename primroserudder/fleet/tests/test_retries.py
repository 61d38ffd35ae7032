"""What may be repeated, and how often, over all VMs."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ...testing.fleetdata import route
from ..model import RequestKind
from ..retries import MAX_OFFERS, Ending, RetryState, RetryBudget, Step

ONCE = route(kind=RequestKind.NON_IDEMPOTENT, max_attempts=1)


@pytest.mark.parametrize('ending', [Ending.UNKNOWN, Ending.FAILED, Ending.CUT])
def test_non_idempotent_request_is_never_sent_again_once_it_may_have_run(
    ending: Ending,
) -> None:
    progress = RetryState(ONCE)
    progress.count(ending)
    assert progress.next_step(ending, remaining_s=5) is not Step.REPEAT


def test_method_does_not_decide_what_may_repeat() -> None:
    progress = RetryState(
        route(kind=RequestKind.NON_IDEMPOTENT, max_attempts=3)
    )
    progress.count(Ending.UNKNOWN)
    assert progress.next_step(Ending.UNKNOWN, remaining_s=5) is Step.GIVE_UP


def test_stream_that_may_not_be_resumed_counts_as_non_idempotent() -> None:
    progress = RetryState(route(is_resumable=False))
    progress.count(Ending.CUT)
    assert progress.next_step(Ending.CUT, remaining_s=5) is Step.GIVE_UP


def test_runs_stay_within_the_routes_attempts() -> None:
    progress = RetryState(route(max_attempts=2))
    progress.count(Ending.CUT)
    assert progress.next_step(Ending.CUT, remaining_s=5) is Step.REPEAT
    progress.count(Ending.CUT)
    assert progress.next_step(Ending.CUT, remaining_s=5) is Step.GIVE_UP


def test_refusals_of_engines_are_offers_and_not_runs() -> None:
    progress = RetryState(ONCE)
    for _ in range(MAX_OFFERS - 1):
        progress.count(Ending.NOT_RUN)
        assert progress.next_step(Ending.NOT_RUN, remaining_s=1) is Step.REPEAT
    progress.count(Ending.NOT_RUN)
    assert progress.next_step(Ending.NOT_RUN, remaining_s=1) is Step.REFUSE


def test_refusal_after_a_run_is_not_told_as_not_run() -> None:
    progress = RetryState(route(max_attempts=2))
    progress.count(Ending.UNKNOWN)
    progress.count(Ending.NOT_RUN)
    assert progress.next_step(Ending.NOT_RUN, remaining_s=0) is Step.GIVE_UP


@given(
    shares=st.lists(st.integers(0, 60), min_size=1, max_size=12),
    extra=st.integers(0, 134),
)
def test_budgets_of_all_vms_keep_the_sites_bound(
    shares: list[int],
    extra: int,
) -> None:
    ratio = 0.2
    repeats = 0
    for requests in shares:
        budget = RetryBudget(ratio, extra, 10)
        for _ in range(requests):
            budget.note_request(0)
        repeats += sum(budget.take(0, len(shares)) for _ in range(200))
    assert repeats <= ratio * sum(shares) + extra
