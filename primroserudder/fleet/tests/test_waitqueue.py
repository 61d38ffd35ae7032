"""Waiting requests are ordered, time out and leave no state behind."""

import asyncio

import pytest

from ...process.clock import LoopClock
from ...testing.fleetdata import target
from ..membership import InFlightCounts, LoadPart, short_key
from ..model import Target
from ..waitqueue import FindTarget, NoFreeSlot, WaitQueue, max_wait_s

pytestmark = pytest.mark.looptime
TARGET = target('head', slots=1)


def _queue() -> WaitQueue:
    return WaitQueue('model/small', InFlightCounts(), LoopClock())


def _finder(queue: WaitQueue, *, slots: int = 1) -> FindTarget:
    def find() -> Target | None:
        return (
            TARGET if queue.in_flight_counts.running('head') < slots else None
        )

    return find


async def test_refused_request_is_removed_from_the_queue() -> None:
    queue = _queue()
    find = _finder(queue)
    await queue.acquire(find, (0,), 0.1)
    with pytest.raises(NoFreeSlot):
        await queue.acquire(find, (0,), 0.1)
    queue.in_flight_counts.end('head')
    queue.grant_free_slots()
    assert queue.in_flight_counts.running('head') == 0
    assert queue.in_flight_counts.waiting('model/small') == 0


async def test_request_is_refused_after_its_maximum_wait() -> None:
    queue = _queue()
    find = _finder(queue)
    await queue.acquire(find, (0,), 0.1)
    started_at = asyncio.get_running_loop().time()
    with pytest.raises(NoFreeSlot):
        await queue.acquire(find, (0,), 0.1)
    assert asyncio.get_running_loop().time() - started_at == pytest.approx(0.1)


async def test_cancelled_waiting_request_takes_no_slot() -> None:
    queue = _queue()
    find = _finder(queue)
    await queue.acquire(find, (0,), 0.1)
    waiter = asyncio.ensure_future(queue.acquire(find, (0,), 5))
    await asyncio.sleep(0.05)
    waiter.cancel()
    await asyncio.wait((waiter,))
    queue.in_flight_counts.end('head')
    queue.grant_free_slots()
    assert queue.in_flight_counts.running('head') == 0


async def test_slot_granted_to_a_cancelled_request_is_released() -> None:
    queue = _queue()
    find = _finder(queue)
    await queue.acquire(find, (0,), 0.1)
    waiter = asyncio.ensure_future(queue.acquire(find, (0,), 5))
    await asyncio.sleep(0.05)
    queue.in_flight_counts.end('head')
    queue.grant_free_slots()
    waiter.cancel()
    await asyncio.wait((waiter,))
    assert queue.in_flight_counts.running('head') == 0


async def test_request_with_smaller_rank_goes_first() -> None:
    queue = _queue()
    find = _finder(queue)
    await queue.acquire(find, (0,), 0.1)
    larger_rank = asyncio.ensure_future(queue.acquire(find, (1, 2), 5))
    await asyncio.sleep(0)
    smaller_rank = asyncio.ensure_future(queue.acquire(find, (0, 5), 5))
    await asyncio.sleep(0.05)
    queue.in_flight_counts.end('head')
    await asyncio.sleep(0.05)
    assert smaller_rank.done()
    assert not larger_rank.done()
    larger_rank.cancel()


async def test_requests_of_other_vms_occupy_slots() -> None:
    queue = _queue()
    queue.in_flight_counts.replace(
        LoadPart(), LoadPart(running={short_key('head'): 1})
    )
    with pytest.raises(NoFreeSlot):
        await queue.acquire(_finder(queue), (0,), 0)


def test_maximum_wait_is_a_share_of_the_objective() -> None:
    assert 0 < max_wait_s(0.4, waited_s=0, remaining_s=8) <= 0.4 / 2
    assert max_wait_s(0.4, waited_s=0, remaining_s=0.05) == pytest.approx(0.05)
