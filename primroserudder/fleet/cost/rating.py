"""Rates targets by the expected time to the first event and by harm.

Explanation
===========
The load is one of requests of very different sizes that hundreds of routers
place at once, on counts that are a fraction of a second old. A target is rated
by the time that the request is expected to wait there, by how much it slows the
requests that run there, and by a preference of this router for some targets.

The preference matters in the measure in which predictions turned out wrong. It
spreads the requests of routers that see the same differences, and it brings a
router's own requests, which it knows exactly, together at few targets. So
predictions that are noise lead to an even spread, not to a herd.
"""

from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from ..membership import KEYS
from ..model import EngineTimes, Target
from .enginetimes import first_event_s
from .estimate import Work
from .outstanding import OutstandingWork

# A connection to another failure domain takes a few milliseconds.
ELSEWHERE_S = 0.003
# Weight of a second that others lose against one that the request waits. In
# bin/replay-load 0 to 0.05 made no difference, more made p95 worse.
HARM_WEIGHT = 0.02
# How strong a router's preference is, in multiples of the mean error. In
# bin/replay-load 2 to 6 served about the same; 1 served more on small sites.
PREFERENCE = 2.0
EXCLUDED = float('inf')


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Memory of an engine in tokens and the unit of notices; zero if none."""

    tokens: int
    unit: int


@dataclass(frozen=True, slots=True)
class CostRating:
    """Rates targets for one request; the least rating is the best.

    Parameters
    ==========
    pace : float
        Factor of the engine's times by the request's model.
    pace_of : Callable
        Returns an engine's own pace, as learned.
    prefer : Callable
        Returns this router's preference, 0 to 1, the least preferred at 1.
    error_s : float
        Mean error of the predictions, in seconds.
    """

    times: EngineTimes
    work: Work
    pace: float
    memory: EngineLimits
    outstanding: OutstandingWork
    pace_of: Callable[[Target], float]
    prefer: Callable[[str], float]
    error_s: float

    def __call__(
        self, target: Target, in_use: int, is_elsewhere: bool
    ) -> float:
        """Return the cost of a request at a target, in seconds."""
        if self.exceeds_memory(target):
            return EXCLUDED
        pace = self.pace * self.pace_of(target)
        cost_s = self._first_event_s(target, in_use, pace)
        slowed_s = (
            in_use
            * pace
            * (
                self.work.read_s
                + self.times.request_s * self.work.answer.median
            )
        )
        preference_s = self.error_s * PREFERENCE * self.prefer(target.engine_id)
        elsewhere_s = ELSEWHERE_S if is_elsewhere else 0
        return cost_s + HARM_WEIGHT * slowed_s + preference_s + elsewhere_s

    def exceeds_memory(self, target: Target) -> bool:
        """Return whether a target's known requests leave too little memory."""
        if not self.memory.tokens:
            return False
        held = self.outstanding.held_tokens(target.engine_id, self.memory.unit)
        return held + self.work.held_tokens > self.memory.tokens

    def expected_s(self, target: Target, in_use: int) -> float:
        """Return the expected time to the first event, in seconds."""
        pace = self.pace * self.pace_of(target)
        return self._first_event_s(target, in_use, pace)

    def _first_event_s(self, target: Target, in_use: int, pace: float) -> float:
        reading_s = self.outstanding.reading_s(target.engine_id, pace)
        return pace * first_event_s(
            self.times, in_use, reading_s, self.work.read_s
        )


def preference(router: str, engine_id: str) -> float:
    """Return how little a router prefers an engine, from 0 to 1.

    Examples
    ========
    >>> 0 <= preference('vm-1', 'i-1') < 1
    True
    >>> preference('vm-1', 'i-1') == preference('vm-2', 'i-1')
    False
    """
    return xxhash.xxh32_intdigest(f'{router} {engine_id}'.encode()) / KEYS
