"""Measures the processor time of a choice among targets."""

import itertools
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..fleet.balancing import Balancer, TargetPool, split_pool
from ..fleet.cost import CostedRequest, RequestCosts, RequestSize
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


@dataclass(frozen=True, slots=True)
class _MeasuredChoice:
    """Chooses and follows one request at targets with work and a pace."""

    pool: TargetPool
    balancer: Balancer
    costs: RequestCosts
    spec: EngineSpec
    size: RequestSize

    def request(self) -> CostedRequest:
        """Return the estimated request."""
        request = self.costs.request(MODEL, self.spec, self.size)
        if request is None:
            raise ValueError('the engines of this measurement state no times')
        return request

    def choose(self, request: CostedRequest) -> Target | None:
        """Choose by cost."""
        rating = self.costs.rating(request)
        return self.balancer.choose(self.pool, bool, rating)

    def follow(self) -> None:
        """Do all that is done for a request."""
        request = self.request()
        chosen = self.choose(request)
        if chosen is not None:
            self.costs.begin(request, chosen)
            self.costs.first_event(request, chosen)
            self.costs.learn_answer(request, 1)
            self.costs.end(request, chosen)


def measure_choices(targets: int = TARGETS) -> ChoiceCost:
    """Return what a choice costs where all targets have work and a pace."""
    used = [_target(number) for number in range(targets)]
    counts = _busy_counts(used)
    costs = RequestCosts(
        'vm', counts, SystemClock(), Metrics(), DecisionLog(burst_lines=0)
    )
    for target, pace in itertools.product(used, PACES):
        costs.paces.record(MODEL, target, pace)
    measured = _MeasuredChoice(
        split_pool(used, 'fd-0'),
        Balancer(counts.running, random.Random(1)),
        costs,
        EngineSpec(
            SLOTS, {MODEL: ModelSpec(MODEL, 1, 1, 1, 1)}, KV_TOKENS, 1, 1, TIMES
        ),
        RequestSize(MODEL, 'chat', 'north', 900, 400, 60),
    )
    request = measured.request()
    return ChoiceCost(
        _time_us(lambda: measured.balancer.choose(measured.pool, bool)),
        _time_us(lambda: measured.choose(request)),
        _time_us(measured.follow),
    )


def _busy_counts(targets: Iterable[Target]) -> InFlightCounts:
    keys = [short_key(target.engine_id) for target in targets]
    return InFlightCounts(
        others_running=dict.fromkeys(keys, SLOTS // 2),
        others_reading=dict.fromkeys(keys, READING_UNITS),
        others_held=dict.fromkeys(keys, 1),
        others_vms=len(keys),
    )


def _target(number: int) -> Target:
    domain = ('fd-0', 'fd-1', 'fd-2')[number % DOMAINS]
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
