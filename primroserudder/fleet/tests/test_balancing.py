"""Tests the choice among targets, alone and by many VMs at once."""

import random
from collections import Counter
from collections.abc import Collection

import pytest

from ...testing.fleetdata import target
from ..balancing import Balancer, split_pool
from ..model import Target

SLOTS = 10
DRAWS = 200


def _chosen(
    running: Counter[str],
    targets: list[Target],
    avoided: Collection[str] = (),
    seed: int = 1,
) -> Target | None:
    balancer = Balancer(running.__getitem__, random.Random(seed))
    return balancer.choose(
        split_pool(targets, 'fd-1'),
        lambda possible: possible.engine_id not in avoided,
    )


def test_least_loaded_of_a_few_targets_is_chosen() -> None:
    targets = [target('a'), target('b'), target('c')]
    running = Counter(a=5, b=2, c=4)
    assert {_chosen(running, targets, seed=seed) for seed in range(9)} == {
        targets[1]
    }


@pytest.mark.parametrize('count', [2, 30])
def test_own_domain_is_preferred_at_about_equal_load(count: int) -> None:
    own = [target(f'own-{number}', SLOTS, 'fd-1') for number in range(count)]
    others = [
        target(f'other-{number}', SLOTS, 'fd-2') for number in range(count)
    ]
    for seed in range(20):
        assert _chosen(Counter(), [*others, *own], seed=seed) in own
    busier = Counter({each.engine_id: 1 for each in own})
    for seed in range(20):
        assert _chosen(busier, [*others, *own], seed=seed) in others


def test_full_and_avoided_targets_are_not_chosen() -> None:
    targets = [target('a', slots=2), target('b')]
    assert _chosen(Counter(a=2), targets, {'b'}) is None


def test_only_free_slot_of_a_large_pool_is_found() -> None:
    targets = [target(f'{number}', SLOTS) for number in range(120)]
    running = Counter(dict.fromkeys(map(str, range(120)), SLOTS))
    running['77'] = SLOTS - 1
    assert {_chosen(running, targets, seed=seed) for seed in range(20)} == {
        targets[77]
    }


def test_vms_that_choose_at_once_do_not_choose_the_same_target() -> None:
    # One target seems least loaded to all VMs until their next notices.
    targets = [target(f'{number}', SLOTS) for number in range(60)]
    running = Counter(dict.fromkeys(map(str, range(60)), 3))
    running['0'] = 0
    chosen = Counter(
        _chosen(running, targets, seed=seed) for seed in range(DRAWS)
    )
    busiest = chosen.most_common(1)[0][1]
    assert busiest <= 4 * DRAWS / len(targets)


def test_equally_loaded_targets_of_a_small_pool_share_the_requests() -> None:
    targets = [target(f'{number}', SLOTS) for number in range(4)]
    chosen = Counter(
        _chosen(Counter(), targets, seed=seed) for seed in range(DRAWS)
    )
    assert min(chosen[each] for each in targets) >= DRAWS / len(targets) / 2


def test_choice_looks_at_few_targets_of_a_large_pool() -> None:
    looked_at: list[str] = []

    def in_flight(engine_id: str) -> int:
        looked_at.append(engine_id)
        return 1

    domains = ('fd-0', 'fd-1', 'fd-2', 'fd-3', 'fd-4')
    targets = [
        target(f'{number}', SLOTS, domains[number % len(domains)])
        for number in range(1000)
    ]
    balancer = Balancer(in_flight, random.Random(1))
    assert balancer.choose(split_pool(targets, 'fd-1'), lambda _: True)
    assert len(looked_at) <= 4


def test_vms_near_the_limit_do_not_choose_the_same_free_target() -> None:
    # Few targets have free slots, one of them two, as all VMs see it.
    targets = [target(f'{number}', SLOTS) for number in range(200)]
    running = Counter(dict.fromkeys(map(str, range(200)), SLOTS))
    running.update(dict.fromkeys(map(str, range(0, 200, 20)), -1))
    running['0'] -= 1
    chosen = Counter(
        _chosen(running, targets, seed=seed) for seed in range(DRAWS)
    )
    busiest = chosen.most_common(1)[0][1]
    assert busiest <= 3 * DRAWS / 10


def test_another_rating_decides_in_place_of_the_share() -> None:
    targets = [target('a'), target('b'), target('c')]
    balancer = Balancer(Counter(a=1, b=9, c=5).__getitem__, random.Random(1))
    pool = split_pool(targets, 'fd-1')
    chosen = balancer.choose(
        pool, bool, lambda _target, in_use, _is_elsewhere: -in_use
    )
    assert chosen is targets[1]


@pytest.mark.parametrize('count', [2, 30])
def test_target_with_an_infinite_rating_is_never_chosen(count: int) -> None:
    # It lacks the memory for the request, also where it alone has free slots.
    domains = ('fd-0', 'fd-1')
    targets = [
        target(f'{number}', SLOTS, domains[number % 2])
        for number in range(count)
    ]
    balancer = Balancer(lambda _engine_id: 0, random.Random(1))
    pool = split_pool(targets, 'fd-1')
    excluded = {'0', '1'}

    def rate(possible: Target, _in_use: int, _is_elsewhere: bool) -> float:
        return float('inf') if possible.engine_id in excluded else 1

    for _ in range(DRAWS):
        chosen = balancer.choose(pool, bool, rate)
        assert chosen is None or chosen.engine_id not in excluded
    assert (balancer.choose(pool, bool, rate) is None) == (count == 2)
