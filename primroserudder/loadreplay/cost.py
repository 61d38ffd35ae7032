"""Measures the CPU time of the router's decisions by fleet size."""

import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from ..fleet.balancing import Balancer, split_pool
from ..fleet.group_lifecycle import EngineSnapshot, GroupProgress, next_actions
from ..fleet.model import (
    Engine,
    Formation,
    GroupState,
    Membership,
    ModelSpec,
    Target,
)
from ..fleet.placement import Balance, FreeEngine, plan_groups
from ..fleet.preloading import plan_loads

SIZES = (16, 66, 216, 3700)
GROUP_SIZE = 4
ENGINES_PER_DOMAIN = 11
# One engine out of this many is free.
FREE_SHARE = 6
REPEATS = 20
SLOTS = 13
LOAD_S = 12
US_PER_S = 1_000_000
SMALL = ModelSpec(
    name='small', group_size=GROUP_SIZE, work_share=1, load_s=LOAD_S, warm_s=1
)


@dataclass(frozen=True, slots=True)
class DecisionCost:
    """CPU time of each decision in microseconds, for a number of engines."""

    engines: int
    choice_us: float
    lifecycle_us: float
    planning_us: float


def measure(engines: int) -> DecisionCost:
    """Return the cost of a target choice and of the lease holder's round."""
    engines_by_id = {name: _engine(name) for name in map(str, range(engines))}
    formations = _formations(engines)
    progresses = [
        GroupProgress(formation, dict.fromkeys(formation.members, 1), 0)
        for formation in formations
    ]
    targets = [
        Target(formation.head, '127.0.0.1:1', 'fd-1', SLOTS, formation.name)
        for formation in formations
    ]
    pool = split_pool(targets, 'fd-1')
    running = Counter({target.engine_id: SLOTS // 2 for target in targets})
    balancer = Balancer(running.__getitem__)
    seen_engines = {**engines_by_id, **_members(formations)}
    snapshot = EngineSnapshot(seen_engines, frozenset(), 4, 10)
    return DecisionCost(
        engines,
        _min_time_us(lambda: balancer.choose(pool, bool)),
        _min_time_us(
            lambda: [
                next_actions(progress, snapshot) for progress in progresses
            ]
        ),
        _min_time_us(lambda: _plan(engines_by_id, len(formations))),
    )


def _plan(engines_by_id: Mapping[str, Engine], groups: int) -> None:
    free = [
        FreeEngine(engine, SMALL.name)
        for number, engine in enumerate(engines_by_id.values())
        if not number % FREE_SHARE
    ]
    wanted = {SMALL.name: float(groups)}
    balance = Balance(Counter({SMALL.name: groups}), wanted)
    plan_groups(free, (SMALL,), balance, lambda _: True)
    plan_loads(free, lambda _: Counter(), (SMALL,), balance, has_traffic=True)


def _formations(engines: int) -> list[Formation]:
    return [
        Formation(
            f'small.{first}',
            first + 1,
            'small',
            tuple(str(first + rank) for rank in range(GROUP_SIZE)),
        )
        for first in range(0, engines - GROUP_SIZE + 1, GROUP_SIZE)
    ]


def _members(formations: list[Formation]) -> Mapping[str, Engine]:
    return {
        member: _engine(member, formation, rank)
        for formation in formations
        for rank, member in enumerate(formation.members)
    }


def _engine(
    name: str,
    formation: Formation | None = None,
    rank: int = 0,
) -> Engine:
    state = GroupState.READY if rank else GroupState.OPEN
    domain = int(name) // ENGINES_PER_DOMAIN
    membership = (
        None
        if formation is None
        else Membership(formation.name, formation.epoch, rank, state)
    )
    return Engine(
        name,
        'model',
        '127.0.0.1:1',
        'fd-1',
        SLOTS,
        fabric_domain=f'd{domain}',
        membership=membership,
        born_ms=1,
    )


def _min_time_us(decide: Callable[[], object]) -> float:
    """Return the minimum of several timings, in microseconds."""
    timings = []
    for _ in range(REPEATS):
        began_at = time.process_time()
        decide()
        timings.append(time.process_time() - began_at)
    return min(timings) * US_PER_S
