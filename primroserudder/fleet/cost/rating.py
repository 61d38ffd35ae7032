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
from typing import NamedTuple

import xxhash

from ..membership import KEYS, short_key
from ..model import Target
from .enginetimes import PassTimes
from .estimate import Work
from .outstanding import OutstandingWork

# A connection to another failure domain takes a few milliseconds.
ELSEWHERE_S = 0.003
# Weight of a second that others lose against one that the request waits. In
# trials on a scratch model 0 to 0.05 made no difference, 0.2 made p95 worse.
HARM_WEIGHT = 0.02
# How strong a router's preference is, in multiples of the mean error. In
# trials on a scratch model 1 to 6 differed less than seeds do.
PREFERENCE = 2.0
MAX_TRAITS = 4096
EXCLUDED = float('inf')


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Memory of an engine in tokens and the unit of notices; zero if none."""

    tokens: int
    unit: int


class Trait(NamedTuple):
    """An engine's key in notices, and a router's preference of it, 0 to 1.

    Explanation
    ===========
    The least preferred engine has the preference 1.
    """

    key: int
    preference: float


class Traits(dict[str, Trait]):
    """Traits of engines by their ids, kept since each choice needs some."""

    router: str = ''

    def add(self, engine_id: str) -> Trait:
        """Return the trait of an engine that is not known yet."""
        if len(self) >= MAX_TRAITS:
            self.clear()
        trait = Trait(short_key(engine_id), preference(self.router, engine_id))
        self[engine_id] = trait
        return trait


@dataclass(slots=True)
class CostRating:
    """Rates targets for one request; the least rating is the best.

    Parameters
    ==========
    passes : PassTimes
        Times of the engines' passes at pace 1.
    pace : float
        Factor of the engine's times by the request's model.
    pace_of : Callable
        Returns an engine's own pace, as learned.
    traits : Traits
        What this router keeps of each engine.
    error_s : float
        Mean error of the predictions, in seconds.
    """

    passes: PassTimes
    work: Work
    pace: float
    memory: EngineLimits
    outstanding: OutstandingWork
    pace_of: Callable[[Target], float]
    traits: Traits
    error_s: float

    def __call__(
        self, target: Target, in_use: int, is_elsewhere: bool
    ) -> float:
        """Return the cost of a request at a target, in seconds."""
        engine_id = target.engine_id
        key, preferred = self.traits.get(engine_id) or self.traits.add(
            engine_id
        )
        work = self.work
        memory = self.memory
        if memory.tokens:
            held = self.outstanding.held_tokens(engine_id, key, memory.unit)
            if held + work.held_tokens > memory.tokens:
                return EXCLUDED
        pace = self.pace * self.pace_of(target)
        waiting_s = self.outstanding.reading_s(engine_id, key, pace)
        cost_s = self.passes.first_event_s(in_use, work.read_s + waiting_s)
        cost_s = pace * (cost_s + HARM_WEIGHT * work.slows_s * in_use)
        cost_s += PREFERENCE * self.error_s * preferred
        return cost_s + ELSEWHERE_S if is_elsewhere else cost_s

    def expected_s(self, target: Target, in_use: int) -> float:
        """Return the expected time to the first event, in seconds."""
        engine_id = target.engine_id
        pace = self.pace * self.pace_of(target)
        reading_s = self.outstanding.reading_s(
            engine_id, short_key(engine_id), pace
        )
        work_s = self.work.read_s + reading_s
        return pace * self.passes.first_event_s(in_use, work_s)


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
