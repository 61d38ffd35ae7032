"""Engines that all end at once leave no sound part refused for long.

Explanation
===========
After a loss of power nobody is left to answer, so that nothing clears the parts
that all prompts share.
"""

import pytest

from ....testing.crashfaults import Kill
from ....testing.crashoutcome import CONTACT_S, MIN_BEGUN_RATIO
from ....testing.crashpatterns import MASS_ENDS, PATTERNS_BY_NAME
from ....testing.crashreplay import replay

# Time for the engines to answer once they are back, in seconds.
RECOVERY_S = 2 * CONTACT_S
NAMES = tuple(pattern.name for pattern in MASS_ENDS)


@pytest.mark.parametrize('name', NAMES)
@pytest.mark.parametrize('vms', [1, 7])
@pytest.mark.parametrize('seed', [1, 2])
def test_sound_requests_run_again_once_all_engines_are_back(
    name: str, vms: int, seed: int
) -> None:
    pattern = PATTERNS_BY_NAME[name]
    back_at_s = max(
        fault.at_s + fault.repair_s
        for fault in pattern.faults
        if isinstance(fault, Kill)
    )
    outcome = replay(pattern, vms, seed)
    assert outcome.begun_ratio(back_at_s + RECOVERY_S) >= MIN_BEGUN_RATIO
