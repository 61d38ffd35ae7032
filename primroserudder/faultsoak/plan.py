"""Which faults a seed shows, when and to whom."""

import enum
import random
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass

from .wishes import SoakWishes

MEAN_BETWEEN_FAULTS_S = 0.5
# A fault often follows another one closely, so that both overlap.
SERIES_SHARE = 0.3
SERIES_GAP_S = 0.05
SHORTEST_S = 0.05
LONGEST_S = 4.0
# Far more than there are targets of any kind.
TARGET_NUMBERS = 65_536


class FaultKind(enum.StrEnum):
    """What may go wrong."""

    ROUTER_KILLED = 'router killed'
    ROUTER_STOPPED = 'router stopped'
    ROUTER_STOPPED_AND_KILLED = 'router stopped and killed'
    ROUTER_STOPPED_TWICE = 'router stopped twice'
    ROUTER_PAUSED = 'router paused'
    ROUTER_PAUSED_AND_STOPPED = 'router paused and stopped'
    ROUTER_RELOADED = 'router reloaded'
    ROUTER_REPLACED = 'router replaced'
    CALLERS_DELAYED = 'callers delayed'
    CALLERS_RESET = 'callers reset'
    CALLERS_CUT_ONE_WAY = 'callers cut one way'
    STORE_DELAYED = 'store delayed'
    STORE_RESET = 'store reset'
    STORE_REFUSED = 'store refused'
    STORE_CUT_ONE_WAY = 'store cut one way'
    STORE_SILENT = 'store silent'
    STORE_LOSES_ANSWERS = 'store loses answers'
    STORE_WRITES_LATE = 'store writes late'
    STORE_FORGETS_HISTORY = 'store forgets history'
    ENGINE_CRASHED = 'engine crashed'
    ENGINE_DARK = 'engine dark'
    ENGINE_DELAYED = 'engine delayed'
    ENGINE_RESET = 'engine reset'
    ENGINE_CUT_ONE_WAY = 'engine cut one way'
    ENGINE_ORDERS_LATE = 'engine takes orders late'
    ENGINE_ORDERS_IGNORED = 'engine ignores orders'
    ENGINE_CUTS_STREAMS = 'engine cuts streams'
    ENGINE_CUTS_EVENTS = 'engine cuts within events'
    ENGINE_REFUSES = 'engine refuses'
    ENGINE_FAILS = 'engine fails'
    ENGINE_DRAINS = 'engine drains'
    DOMAIN_DARK = 'fabric domain dark'
    CONFIGURATION_CHANGED = 'configuration changed'


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault, the number of whom it strikes, and how long it lasts."""

    at_s: float
    kind: FaultKind
    target: int
    lasts_s: float


Fault = Callable[[PlannedFault], Coroutine[object, object, None]]


def plan_faults(wishes: SoakWishes) -> list[PlannedFault]:
    """Return the faults of a seed in order of time."""
    rng = random.Random(wishes.seed)
    return list(_draw(rng, wishes.seconds))


def _draw(rng: random.Random, seconds: float) -> Iterator[PlannedFault]:
    kinds = tuple(FaultKind)
    now = float(0)
    while True:
        is_series = rng.random() < SERIES_SHARE
        mean_s = SERIES_GAP_S if is_series else MEAN_BETWEEN_FAULTS_S
        now += rng.expovariate(1 / mean_s)
        if now > seconds:
            return
        kind = rng.choice(kinds)
        lasts_s = rng.uniform(SHORTEST_S, LONGEST_S)
        yield PlannedFault(now, kind, rng.randrange(TARGET_NUMBERS), lasts_s)
