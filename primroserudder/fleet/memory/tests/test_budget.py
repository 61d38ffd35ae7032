"""The sums that bound what a router holds."""

import pytest

from ....intake.budget import (
    COPIES_OF_BODY,
    LARGE_BODY_BYTES,
    LARGE_BODY_SHARE,
    REQUEST_BYTES,
    Holding,
    MemoryBudget,
    MemoryFull,
)

LIMIT = 10_000_000
LARGE = 1_000_000


def _used(share: float) -> MemoryBudget:
    return MemoryBudget(LIMIT, held_bytes=int(LIMIT * share))


def test_large_body_is_refused_before_the_budget_is_used_up() -> None:
    # Otherwise responses of requests that were taken find no room.
    holding = Holding(_used(LARGE_BODY_SHARE))
    with pytest.raises(MemoryFull) as caught:
        holding.hold_body(LARGE)
    assert caught.value.status == 503
    assert caught.value.ran == 'no'
    assert caught.value.retry_after


def test_small_body_is_taken_while_large_ones_are_refused() -> None:
    holding = Holding(_used(LARGE_BODY_SHARE))
    holding.hold_body(LARGE_BODY_BYTES)
    assert holding.body_bytes == LARGE_BODY_BYTES


def test_small_body_and_request_are_refused_without_any_room() -> None:
    with pytest.raises(MemoryFull):
        Holding(_used(1)).hold_body(1)
    with pytest.raises(MemoryFull):
        Holding(_used(1)).open()


def test_body_that_arrives_in_chunks_is_counted_as_it_grows() -> None:
    # Without a length, a body could pass the check at zero bytes.
    budget = MemoryBudget(LIMIT)
    holding = Holding(budget)
    with pytest.raises(MemoryFull):
        for octets in range(0, LIMIT, LARGE_BODY_BYTES):
            holding.hold_body(octets)
    assert budget.held_bytes == holding.body_bytes * COPIES_OF_BODY
    assert budget.used_bytes <= LIMIT


def test_all_that_a_request_holds_is_given_back_once() -> None:
    budget = MemoryBudget(LIMIT)
    holding = Holding(budget)
    holding.open()
    holding.hold_body(LARGE)
    holding.hold_body(LARGE // 2)
    holding.hold_response(LARGE)
    expected = REQUEST_BYTES + LARGE * COPIES_OF_BODY + LARGE
    assert budget.used_bytes == expected
    holding.close()
    holding.close()
    assert budget.used_bytes == 0
    assert budget.peak_bytes == expected


def test_response_that_does_not_fit_is_told_so() -> None:
    holding = Holding(_used(0.95))
    assert holding.hold_response(LIMIT // 50)
    assert not holding.hold_response(LIMIT // 10)


@pytest.mark.parametrize(('memory_mb', 'limit'), [(552, 467e6), (20, 8e6)])
def test_limit_is_what_the_process_leaves(memory_mb: int, limit: int) -> None:
    assert MemoryBudget.of_vm(memory_mb).limit_bytes == limit


def _growing(budget: MemoryBudget, octets: int, gone: list[int]) -> Holding:
    """Return a request whose response has grown so far."""
    holding = Holding(budget)
    holding.let_give_way(lambda: gone.append(octets))
    assert holding.hold_response(octets)
    return holding


def test_largest_response_gives_way_to_an_ordinary_one() -> None:
    budget = MemoryBudget(LIMIT)
    gone: list[int] = []
    for octets in (2 * LARGE, 3 * LARGE, 2 * LARGE):
        _growing(budget, octets, gone)
    ordinary = _growing(budget, LARGE_BODY_BYTES, gone)
    assert not gone
    assert ordinary.hold_response(LARGE)
    assert gone == [3 * LARGE]


def test_response_that_is_the_largest_itself_ends() -> None:
    budget = MemoryBudget(LIMIT)
    gone: list[int] = []
    largest = [_growing(budget, 3 * LARGE, gone) for _ in range(2)][0]
    assert not largest.hold_response(5 * LARGE)
    assert not gone


def test_response_that_is_large_alone_takes_what_is_left() -> None:
    holding = Holding(MemoryBudget(LIMIT))
    assert holding.hold_response(LIMIT)
    assert not holding.hold_response(LIMIT + 1)


def test_what_gave_way_counts_until_it_is_freed() -> None:
    budget = MemoryBudget(LIMIT)
    gone: list[int] = []
    leaving = _growing(budget, 6 * LARGE, gone)
    follower = _growing(budget, 2 * LARGE, gone)
    assert gone == [6 * LARGE]
    assert not follower.hold_response(5 * LARGE)
    leaving.free_response()
    assert follower.hold_response(5 * LARGE)


def test_whole_response_gives_way_to_nobody() -> None:
    budget = MemoryBudget(LIMIT)
    gone: list[int] = []
    _growing(budget, 7 * LARGE, gone).keep_response()
    _growing(budget, LARGE, gone)
    assert not gone
