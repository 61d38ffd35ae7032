"""Plans the faults of a seed: their times, kinds, targets and durations."""

import enum
import operator
import random
from collections.abc import Callable, Coroutine, Iterator, Sequence
from dataclasses import dataclass

from .options import SoakOptions

MEAN_BETWEEN_FAULTS_S = 0.5
MEAN_BETWEEN_LATER_KINDS_S = 4.0
# Some faults follow the previous one closely, so that both overlap.
BURST_SHARE = 0.3
BURST_GAP_S = 0.05
MIN_DURATION_S = 0.05
MAX_DURATION_S = 4.0
# Targets are taken modulo their count, which is far smaller.
TARGET_NUMBERS = 65_536


class FaultKind(enum.StrEnum):
    """The kinds of faults that the soak injects."""

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
    STORE_RESTORED = 'store restored from a copy'
    CONTENT_CRASHES = 'content crashes engines'
    ENGINE_NEVER_ENDS = 'engine sends without end'
    PART_CRASHES = 'part of prompts crashes engines'


@dataclass(frozen=True, slots=True)
class PlannedFault:
    """A fault with its start time, target number and duration."""

    at_s: float
    kind: FaultKind
    target: int
    duration_s: float


FaultInjector = Callable[[PlannedFault], Coroutine[object, object, None]]


# Kinds that came later are drawn by themselves, so that a seed keeps the
# faults that it had without them.
_LATER_KINDS = (FaultKind.ENGINE_NEVER_ENDS, FaultKind.PART_CRASHES)
_FIRST_KINDS = tuple(kind for kind in FaultKind if kind not in _LATER_KINDS)


def plan_faults(options: SoakOptions) -> list[PlannedFault]:
    """Return the faults of a seed, ordered by start time."""
    first = _draw_faults(
        random.Random(options.seed),
        options.seconds,
        _FIRST_KINDS,
        MEAN_BETWEEN_FAULTS_S,
    )
    later = _draw_faults(
        random.Random(f'{options.seed} later kinds'),
        options.seconds,
        _LATER_KINDS,
        MEAN_BETWEEN_LATER_KINDS_S,
    )
    return sorted((*first, *later), key=operator.attrgetter('at_s'))


def _draw_faults(
    rng: random.Random,
    seconds: float,
    kinds: Sequence[FaultKind],
    mean_between_s: float,
) -> Iterator[PlannedFault]:
    now = float(0)
    while True:
        is_burst = rng.random() < BURST_SHARE
        mean_s = BURST_GAP_S if is_burst else mean_between_s
        now += rng.expovariate(1 / mean_s)
        if now > seconds:
            return
        kind = rng.choice(kinds)
        duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
        yield PlannedFault(now, kind, rng.randrange(TARGET_NUMBERS), duration_s)
