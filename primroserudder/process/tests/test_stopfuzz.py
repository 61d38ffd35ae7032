"""Random runs of planned stops; a seed replays exactly."""

import os

import pytest

from ...testing.stopfuzz import run_seed

SEEDS = int(os.environ.get('STOP_FUZZ_SEEDS', '6'))


@pytest.mark.parametrize('seed', range(SEEDS))
def test_stops_keep_their_promises(seed: int) -> None:
    assert run_seed(seed)['streams_whole'] > 0
