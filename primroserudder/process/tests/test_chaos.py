"""Randomised runs of a failure domain with all faults at the same time."""

import pytest

from ...testing.chaos import SHORT, run_seed

SEEDS_EACH = 20


@pytest.mark.parametrize('first', range(0, 200, SEEDS_EACH))
def test_no_invariant_is_violated(first: int) -> None:
    for seed in range(first, first + SEEDS_EACH):
        outcome = run_seed(seed, SHORT)
        assert not outcome['violations'], outcome
        assert outcome['dispatches']


@pytest.mark.parametrize('seed', range(1000, 1003))
def test_everything_recovers_once_the_faults_end(seed: int) -> None:
    outcome = run_seed(seed)
    assert not outcome['violations'], outcome
    assert outcome['is_recovered'], outcome


def test_a_seed_replays_exactly() -> None:
    assert run_seed(7, SHORT) == run_seed(7, SHORT)
