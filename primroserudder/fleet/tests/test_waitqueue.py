"""Waiting requests leave no trace when they give up."""

import asyncio

import pytest

from ...process.clock import LoopClock
from ...testing.fleetdata import target
from ..in_flight import InFlightCounts, PeerLoad
from ..model import Target
from ..waitqueue import Find, NoFreeSlot, WaitQueue, max_wait_s

pytestmark = pytest.mark.looptime
PLACE = target('head', slots=1)


def _room() -> WaitQueue:
    return WaitQueue('model/small', InFlightCounts(LoopClock()), LoopClock())


def _finder(room: WaitQueue, *, slots: int = 1) -> Find:
    def find() -> Target | None:
        return PLACE if room.book.running('head') < slots else None

    return find


async def test_refused_request_has_left_the_queue() -> None:
    room = _room()
    find = _finder(room)
    await room.acquire(find, (0,), 0.1)
    with pytest.raises(NoFreeSlot):
        await room.acquire(find, (0,), 0.1)
    room.book.end('head')
    room.grant_free_slots()
    assert room.book.running('head') == 0
    assert room.book.waiting('model/small') == 0


async def test_refusal_comes_when_patience_ends() -> None:
    room = _room()
    find = _finder(room)
    await room.acquire(find, (0,), 0.1)
    began = asyncio.get_running_loop().time()
    with pytest.raises(NoFreeSlot):
        await room.acquire(find, (0,), 0.1)
    assert asyncio.get_running_loop().time() - began == pytest.approx(0.1)


async def test_caller_that_leaves_while_it_waits_takes_no_place() -> None:
    room = _room()
    find = _finder(room)
    await room.acquire(find, (0,), 0.1)
    waiting = asyncio.ensure_future(room.acquire(find, (0,), 5))
    await asyncio.sleep(0.05)
    waiting.cancel()
    await asyncio.wait((waiting,))
    room.book.end('head')
    room.grant_free_slots()
    assert room.book.running('head') == 0


async def test_place_granted_as_its_caller_leaves_is_given_back() -> None:
    room = _room()
    find = _finder(room)
    await room.acquire(find, (0,), 0.1)
    waiting = asyncio.ensure_future(room.acquire(find, (0,), 5))
    await asyncio.sleep(0.05)
    room.book.end('head')
    room.grant_free_slots()
    waiting.cancel()
    await asyncio.wait((waiting,))
    assert room.book.running('head') == 0


async def test_smaller_rank_goes_first() -> None:
    room = _room()
    find = _finder(room)
    await room.acquire(find, (0,), 0.1)
    late = asyncio.ensure_future(room.acquire(find, (1, 2), 5))
    await asyncio.sleep(0)
    early = asyncio.ensure_future(room.acquire(find, (0, 5), 5))
    await asyncio.sleep(0.05)
    room.book.end('head')
    await asyncio.sleep(0.05)
    assert early.done()
    assert not late.done()
    late.cancel()


async def test_requests_of_other_vms_count() -> None:
    room = _room()
    now = room.clock.monotonic()
    room.book.loads_by_peer['other'] = PeerLoad({'head': 1}, {}, now)
    with pytest.raises(NoFreeSlot):
        await room.acquire(_finder(room), (0,), 0)


def test_patience_is_a_part_of_the_objective() -> None:
    assert 0 < max_wait_s(0.4, waited_s=0, remaining_s=8) <= 0.4 / 2
    assert max_wait_s(0.4, waited_s=0, remaining_s=0.05) == pytest.approx(0.05)
