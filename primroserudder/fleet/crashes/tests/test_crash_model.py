"""Parts that crash engines are stopped in time; sound requests go on."""

from dataclasses import replace

import pytest

from ....testing.crashoutcome import (
    MAX_LATE_SENDS,
    MIN_BEGUN_RATIO,
    CrashOutcome,
)
from ....testing.crashpatterns import PATTERNS, PATTERNS_BY_NAME
from ....testing.crashreplay import replay

SEED = 1
# bin/crash-replay plays all patterns at all sizes, and for longer.
ENGINES = 12
SECONDS = 20
CASES = (
    *((pattern.name, 1) for pattern in PATTERNS),
    *((name, 2) for name in ('one first', 'is first', 'flood', 'restart')),
    *((name, 7) for name in ('any first', 'burst', 'lost notices', 'flood')),
)


def _replayed(name: str, vms: int) -> CrashOutcome:
    short = replace(PATTERNS_BY_NAME[name], seconds=SECONDS)
    return replay(short, vms, SEED, ENGINES)


@pytest.mark.parametrize(('name', 'vms'), CASES)
def test_crashing_part_is_stopped_and_sound_requests_beside_it_are_not(
    name: str, vms: int
) -> None:
    outcome = _replayed(name, vms)
    assert outcome.late_sends() <= MAX_LATE_SENDS
    assert outcome.begun_ratio() >= MIN_BEGUN_RATIO


def test_model_crashes_engines_and_sends_sound_requests_beside_it() -> None:
    # Else the bounds above would hold for nothing.
    outcome = _replayed('any first', 1)
    assert outcome.crashes()
    assert outcome.crashing
    assert len(outcome.affected()) > len(outcome.crashing)
