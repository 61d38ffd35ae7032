"""The pace of engines, learned from the streams that pass this router.

Explanation
===========
The load is one engine of several that is slower than its times say. The time
between the events of a stream is compared with the stated time of a step, and
that with the same of the pool's other engines: what slows all of them alike,
for example prompts that are read in between, is no engine's own pace.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from ...process.clock import Clock
from ..model import Target

MIN_PACE = 0.5
MAX_PACE = 4.0
MAX_ENGINES = 4096
# A stream says little of its engine's pace, eight say enough.
MIN_GAIN = 0.125
TYPICAL_GAIN = 0.05
# What is learned counts half after this time, so that an engine that was slow
# gets requests again.
HALF_LIFE_S = 30.0

Incarnation = tuple[str, int]


@dataclass(slots=True)
class _Learned:
    """Mean of the logarithm of a time as a multiple of the stated one."""

    log_ratio: float
    streams: int
    at: float


@dataclass(slots=True)
class PaceBook:
    """Paces of engines as multiples of their pool's typical one."""

    clock: Clock
    _typical_by_pool: dict[str, float] = field(default_factory=dict)
    _learned: OrderedDict[str, tuple[Incarnation, _Learned]] = field(
        default_factory=OrderedDict
    )

    def record(self, pool: str, target: Target, ratio: float) -> None:
        """Record the time of a stream's steps over the stated time."""
        log_ratio = math.log(ratio)
        typical = self._typical_by_pool.get(pool)
        if typical is None:
            self._typical_by_pool[pool] = log_ratio
        else:
            self._typical_by_pool[pool] += TYPICAL_GAIN * (log_ratio - typical)
        now = self.clock.monotonic()
        learned = self._of(target)
        if learned is None:
            learned = _Learned(log_ratio, 0, now)
            self._learned[target.engine_id] = _incarnation(target), learned
        learned.streams += 1
        gain = max(MIN_GAIN, 1 / learned.streams)
        learned.log_ratio += gain * (log_ratio - learned.log_ratio)
        learned.at = now
        self._learned.move_to_end(target.engine_id)
        while len(self._learned) > MAX_ENGINES:
            self._learned.popitem(last=False)

    def pace(self, pool: str, target: Target) -> float:
        """Return an engine's pace, 1 if it is as fast as others."""
        learned = self._of(target)
        if learned is None:
            return 1
        age_s = self.clock.monotonic() - learned.at
        streams = learned.streams * 0.5 ** (age_s / HALF_LIFE_S)
        # One stream more, at the typical pace, is assumed.
        share = streams / (streams + 1)
        log_pace = learned.log_ratio - self._typical_by_pool.get(pool, 0)
        return min(MAX_PACE, max(MIN_PACE, math.exp(share * log_pace)))

    def _of(self, target: Target) -> _Learned | None:
        entry = self._learned.get(target.engine_id)
        if entry is None or entry[0] != _incarnation(target):
            return None
        return entry[1]


def _incarnation(target: Target) -> Incarnation:
    """Return what an engine's pace is bound to: its group and its start."""
    return target.group, target.born_ms
