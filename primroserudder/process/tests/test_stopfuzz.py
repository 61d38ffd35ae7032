"""Randomised runs of planned stops; each seed is reproducible."""

import os

import pytest

from ...testing.stopfuzz import run_seed

SEEDS = int(os.environ.get('STOP_FUZZ_SEEDS', '6'))


@pytest.mark.parametrize('seed', range(SEEDS))
def test_planned_stops_cut_no_streams(seed: int) -> None:
    assert run_seed(seed)['streams_whole'] > 0
