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
# Paces are computed again after this time, as they are forgotten.
REFRESH_S = 1.0
# What is learned counts half after this time, so that an engine that was slow
# gets requests again.
HALF_LIFE_S = 30.0


@dataclass(slots=True)
class _Learned:
    """Mean of the logarithm of a time as a multiple of the stated one."""

    pool: str
    group: str
    born_ms: int
    log_ratio: float = 0
    streams: int = 0
    at: float = 0
    pace: float = 1


@dataclass(slots=True)
class PaceBook:
    """Paces of engines as multiples of their pool's typical one."""

    clock: Clock
    _typical_by_pool: dict[str, float] = field(default_factory=dict)
    _learned: OrderedDict[str, _Learned] = field(default_factory=OrderedDict)
    _refreshed_at: float = 0

    def record(self, pool: str, target: Target, ratio: float) -> None:
        """Record the time of a stream's steps over the stated time."""
        log_ratio = math.log(ratio)
        typical = self._typical_by_pool.get(pool, log_ratio)
        typical += TYPICAL_GAIN * (log_ratio - typical)
        self._typical_by_pool[pool] = typical
        learned = self._learned.get(target.engine_id)
        if learned is None or not _is_same(learned, target):
            learned = _Learned(pool, target.group, target.born_ms)
            self._learned[target.engine_id] = learned
        learned.streams += 1
        gain = max(MIN_GAIN, 1 / learned.streams)
        learned.log_ratio += gain * (log_ratio - learned.log_ratio)
        learned.at = self.clock.monotonic()
        self._set_pace(learned, learned.at)
        self._learned.move_to_end(target.engine_id)
        while len(self._learned) > MAX_ENGINES:
            self._learned.popitem(last=False)

    def pace(self, target: Target) -> float:
        """Return an engine's pace, 1 if it is as fast as others."""
        learned = self._learned.get(target.engine_id)
        # Spelled out, as each choice asks for several paces.
        if learned is None or learned.born_ms != target.born_ms:
            return 1
        return learned.pace if learned.group == target.group else 1

    def refresh(self) -> None:
        """Forget with time, and follow the typical paces."""
        now = self.clock.monotonic()
        if now - self._refreshed_at < REFRESH_S:
            return
        self._refreshed_at = now
        for learned in self._learned.values():
            self._set_pace(learned, now)

    def _set_pace(self, learned: _Learned, now: float) -> None:
        age_s = now - learned.at
        streams = learned.streams * 0.5 ** (age_s / HALF_LIFE_S)
        # One stream more, at the typical pace, is assumed.
        share = streams / (streams + 1)
        log_pace = learned.log_ratio - self._typical_by_pool[learned.pool]
        pace = math.exp(share * log_pace)
        learned.pace = min(MAX_PACE, max(MIN_PACE, pace))


def _is_same(learned: _Learned, target: Target) -> bool:
    """Return whether an engine did not start or change its group since."""
    return learned.group == target.group and learned.born_ms == target.born_ms
