"""Targets are rated by time to the first event, harm and memory."""

import random
from collections import Counter

import pytest

from ....testing.costdata import (
    POOL,
    SLOTS,
    costed,
    costed_spec,
    request_costs,
    size,
)
from ....testing.fleetdata import ManualClock, target
from ...balancing import Balancer, split_pool
from ...membership import InFlightCounts, short_key
from ...model import Target
from ..costs import RequestCosts
from ..rating import EXCLUDED

HERE = False
ELSEWHERE = True


def _sure(costs: RequestCosts) -> RequestCosts:
    """Make the predictions of a router exact, so that they alone decide."""
    for _ in range(300):
        costs.errors.record(POOL, 0.1, 0.1, 0)
    return costs


def _rated(
    costs: RequestCosts, engine: str, in_use: int = 3, prompt: int = 900
) -> float:
    rating = costs.rating(costed(costs, size(prompt)))
    return rating(target(engine, SLOTS), in_use, HERE)


def test_target_with_a_prompt_to_read_is_rated_worse() -> None:
    # Both have the same share of slots in use.
    costs = _sure(request_costs())
    costs.begin(costed(costs, size(prompt=8000)), target('busy'))
    assert _rated(costs, 'busy') > _rated(costs, 'idle') + 0.1


def test_prompt_that_other_routers_sent_is_rated_too() -> None:
    counts = InFlightCounts()
    costs = _sure(request_costs(counts))
    counts.others_reading[short_key('busy')] = 100
    assert _rated(costs, 'busy') > _rated(costs, 'idle') + 0.1


def test_prompt_counts_no_more_after_the_first_event() -> None:
    costs = _sure(request_costs())
    before = _rated(costs, 'busy')
    request = costed(costs, size(prompt=8000))
    costs.begin(request, target('busy'))
    costs.first_event(request, target('busy'))
    # The error of this one prediction remains.
    assert _rated(costs, 'busy') == pytest.approx(before, abs=0.02)


def test_target_where_more_requests_write_is_rated_worse() -> None:
    costs = _sure(request_costs())
    ratings = [_rated(costs, 'a', in_use) for in_use in range(SLOTS)]
    assert ratings == sorted(set(ratings))


def test_slow_engine_is_rated_worse_at_the_same_load() -> None:
    costs = _sure(request_costs())
    for _ in range(30):
        for number in range(9):
            costs.paces.record(POOL, target(str(number)), 1)
        costs.paces.record(POOL, target('slow'), 2)
    assert _rated(costs, 'slow') > 1.6 * _rated(costs, '3')
    # With no requests it is as good as a busy fast one.
    assert _rated(costs, 'slow', 0) < _rated(costs, '3', 16)


def test_harm_is_rated_by_what_runs_and_by_the_size_of_the_request() -> None:
    costs = _sure(request_costs())

    def harm(prompt: int, in_use: int) -> float:
        rating = costs.rating(costed(costs, size(prompt)))
        possible = target('a', SLOTS)
        preference_s = 0.1 * rating.error_s
        rated = rating(possible, in_use, HERE) - preference_s
        return rated - rating.expected_s(possible, in_use)

    assert harm(900, 10) > harm(900, 5)
    assert harm(900, 5) > harm(900, 0)
    assert harm(9000, 10) > harm(900, 10)


def test_own_failure_domain_is_preferred_at_equal_cost_only() -> None:
    costs = _sure(request_costs())
    rating = costs.rating(costed(costs))
    possible = target('a', SLOTS)
    assert rating(possible, 3, ELSEWHERE) > rating(possible, 3, HERE)
    assert rating(possible, 3, ELSEWHERE) < rating(possible, 5, HERE)


def test_target_without_enough_memory_is_excluded() -> None:
    counts = InFlightCounts()
    costs = request_costs(counts)
    spec = costed_spec(kv_tokens=100_000)
    large = costed(costs, size(prompt=60_000), spec)
    costs.begin(large, target('full'))
    rating = costs.rating(costed(costs, size(prompt=50_000), spec))
    assert rating(target('full', SLOTS), 1, HERE) == EXCLUDED
    assert rating(target('empty', SLOTS), 1, HERE) < EXCLUDED
    balancer = Balancer(counts.running, random.Random(1))
    alone = split_pool([target('full', SLOTS)], 'fd-1')
    assert balancer.choose(alone, bool, rating) is None
    costs.end(large, target('full'))
    assert balancer.choose(alone, bool, rating) is not None


def test_memory_that_other_routers_need_excludes_a_target() -> None:
    counts = InFlightCounts()
    costs = request_costs(counts)
    counts.others_running[short_key('full')] = 10
    counts.others_held[short_key('full')] = 128
    rating = costs.rating(costed(costs, size(prompt=20_000)))
    assert rating(target('full', SLOTS), 10, HERE) == EXCLUDED


def test_engines_without_stated_memory_are_not_limited() -> None:
    costs = request_costs()
    spec = costed_spec(kv_tokens=0)
    rating = costs.rating(costed(costs, size(prompt=9_000_000), spec))
    assert rating(target('a', SLOTS), 1, HERE) < EXCLUDED


def _choices(targets: list[Target], running: Counter[str]) -> Counter[str]:
    """Return how many of many routers choose each target at once."""
    chosen: Counter[str] = Counter()
    for number in range(200):
        counts = InFlightCounts(
            others_running={
                short_key(engine_id): count
                for engine_id, count in running.items()
            },
            others_vms=199,
        )
        costs = request_costs(counts, node=f'vm-{number}')
        for _ in range(20):
            # Predictions were off, as the counts of others are old.
            costs.errors.record(POOL, 0.1, 0.2, 0)
        balancer = Balancer(counts.running, random.Random(number))
        pool = split_pool(targets, 'fd-1')
        best = balancer.choose(pool, bool, costs.rating(costed(costs)))
        assert best is not None
        chosen[best.engine_id] += 1
    return chosen


@pytest.mark.parametrize('count', [5, 60])
def test_routers_with_poor_predictions_do_not_choose_the_same(
    count: int,
) -> None:
    # One target seems idle to all routers until their next notices.
    targets = [target(str(number), SLOTS) for number in range(count)]
    running = Counter(dict.fromkeys(map(str, range(1, count)), 4))
    chosen = _choices(targets, running)
    assert chosen['0'] <= 3 * 200 / count


def test_clear_differences_decide_in_spite_of_poor_predictions() -> None:
    targets = [target(str(number), SLOTS) for number in range(5)]
    counts = InFlightCounts()
    clock = ManualClock()
    wins = 0
    for number in range(100):
        costs = request_costs(counts, clock, f'vm-{number}')
        for _ in range(20):
            costs.errors.record(POOL, 0.1, 0.12, 0)
        for each in targets[1:]:
            costs.begin(costed(costs, size(prompt=30_000)), each)
        balancer = Balancer(counts.running, random.Random(number))
        pool = split_pool(targets, 'fd-1')
        best = balancer.choose(pool, bool, costs.rating(costed(costs)))
        wins += best is targets[0]
    assert wins == 100
