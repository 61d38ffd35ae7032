"""Measures the processor time of a choice among targets."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from ..fleet.balancing import Balancer, split_pool
from ..fleet.cost import RequestCosts, RequestSize
from ..fleet.membership import InFlightCounts, short_key
from ..fleet.model import EngineSpec, ModelSpec, Target
from ..process.clock import SystemClock
from ..process.decisions import DecisionLog
from ..process.metrics import Metrics
from .costloads import TIMES

TARGETS = 110
SLOTS = 17
DOMAINS = 3
# The least of many short rounds is the one that nothing disturbed.
CHOICES = 100
ROUNDS = 100
KV_TOKENS = 700_000
MODEL = 'model'
READING_UNITS = 8
PACES = (1.0, 1.2)
US_PER_S = 1_000_000


@dataclass(frozen=True, slots=True)
class ChoiceCost:
    """Processor time in microseconds of choices, and of all for a request.

    Parameters
    ==========
    followed_us : float
        Estimate, choice and all that is noted of a request until its end.
    """

    by_slots_us: float
    by_cost_us: float
    followed_us: float


def measure_choices(targets: int = TARGETS) -> ChoiceCost:
    """Return what a choice costs where all targets have work and a pace."""
    used = [_target(number) for number in range(targets)]
    keys = [short_key(target.engine_id) for target in used]
    counts = InFlightCounts(
        others_running=dict.fromkeys(keys, SLOTS // 2),
        others_reading=dict.fromkeys(keys, READING_UNITS),
        others_held=dict.fromkeys(keys, 1),
        others_vms=targets,
    )
    costs = RequestCosts(
        'vm', counts, SystemClock(), Metrics(), DecisionLog(burst_lines=0)
    )
    for target in used:
        for pace in PACES:
            costs.paces.record(MODEL, target, pace)
    pool = split_pool(used, 'fd-0')
    balancer = Balancer(counts.running, random.Random(1))
    spec = EngineSpec(
        SLOTS, {MODEL: ModelSpec(MODEL, 1, 1, 1, 1)}, KV_TOKENS, 1, 1, TIMES
    )
    size = RequestSize(MODEL, 'chat', 'north', 900, 400, 60)
    request = costs.request(MODEL, spec, size)
    if request is None:
        raise ValueError('the engines of this measurement state no times')

    def follow() -> None:
        followed = costs.request(MODEL, spec, size)
        if followed is None:
            return
        chosen = balancer.choose(pool, bool, costs.rating(followed))
        if chosen is not None:
            costs.begin(followed, chosen)
            costs.first_event(followed, chosen)
            costs.learn_answer(followed, 1)
            costs.end(followed, chosen)

    return ChoiceCost(
        _time_us(lambda: balancer.choose(pool, bool)),
        _time_us(lambda: balancer.choose(pool, bool, costs.rating(request))),
        _time_us(follow),
    )


def _target(number: int) -> Target:
    domain = f'fd-{number % DOMAINS}'
    return Target(f'i-{number}', '127.0.0.1:1', domain, SLOTS, f'g.{number}')


def _time_us(choose: Callable[[], object]) -> float:
    """Return the mean time of a choice, the least of some rounds."""
    rounds = []
    for _ in range(ROUNDS):
        began_at = time.process_time()
        for _ in range(CHOICES):
            choose()
        rounds.append((time.process_time() - began_at) / CHOICES)
    return min(rounds) * US_PER_S
