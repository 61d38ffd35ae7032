"""Tests of overload: window, fair queue, early refusal, retry budget."""

import asyncio
from collections import Counter

import pytest

from ...process.clock import LoopClock
from ...testing.overloadbench import flood, overload, unloaded
from ..fairqueue import FairQueue, Ticket
from ..gate import LONGEST_WAIT_S, Gate, Overloaded
from ..window import Capacity, Window

SECONDS = 14
GOODPUT = 0.9
REFUSAL_S = 0.05
SOON_S = 0.5


def ticket(workspace: str = 'w', cost: float = 1, **changes: float) -> Ticket:
    return Ticket(workspace, changes.get('weight', 1), cost)


def gate(slots: int = 4) -> Gate:
    capacity = Capacity(slots=slots, in_flight=0, waiting=0, entries=1)
    return Gate(LoopClock(), lambda: capacity)


def test_flood_leaves_small_workspaces_their_latency() -> None:
    calm = flood(unloaded(), SECONDS, seed=3)
    found = flood(overload(), SECONDS, seed=3)
    assert found.goodput_of_capacity >= GOODPUT
    assert found.small_p95_s <= 1.25 * calm.small_p95_s
    assert found.refusal_p99_s <= REFUSAL_S
    assert found.refused_by_code.keys() == {'large/overloaded'}
    assert found.refusals > 0


@pytest.mark.looptime
async def test_refused_request_has_left_the_queue_and_never_goes() -> None:
    entrance = gate()
    held = [ticket() for _ in range(4)]
    for each in held:
        await entrance.enter(each, deadline=100)
    # Without the early refusal, it waits and then gives up.
    entrance.scale = 0
    late = ticket('other')
    with pytest.raises(Overloaded):
        await entrance.enter(late, deadline=100)
    assert entrance.clock.monotonic() == LONGEST_WAIT_S
    for each in held:
        entrance.leave(each)
    assert not late.is_granted
    assert (entrance.queue.length, entrance.in_flight) == (0, 0)


@pytest.mark.looptime
async def test_request_that_would_wait_too_long_is_refused_at_once() -> None:
    entrance = gate()
    for _ in range(4):
        await entrance.enter(ticket(), deadline=100)
    queued = [
        asyncio.create_task(entrance.enter(ticket(cost=2), deadline=100))
        for _ in range(3)
    ]
    await asyncio.sleep(0)
    # Three wait for 6 s of slots; four slots come to the next in 1.5 s.
    with pytest.raises(Overloaded) as refused:
        await entrance.enter(ticket(), deadline=100)
    assert entrance.clock.monotonic() == 0
    assert refused.value.retry_after == 2
    for each in queued:
        each.cancel()
    await asyncio.gather(*queued, return_exceptions=True)
    assert entrance.queue.length == 0


@pytest.mark.looptime
async def test_deadline_bounds_the_wait() -> None:
    entrance = gate(1)
    await entrance.enter(ticket(), deadline=100)
    entrance.scale = 0
    with pytest.raises(Overloaded):
        await entrance.enter(ticket(), deadline=SOON_S)
    assert entrance.clock.monotonic() == SOON_S


@pytest.mark.looptime
async def test_caller_that_leaves_gives_its_slot_back() -> None:
    entrance = gate(1)
    first = ticket()
    await entrance.enter(first, deadline=100)
    entrance.scale = 0
    waiting = asyncio.create_task(entrance.enter(ticket(), deadline=100))
    await asyncio.sleep(0.1)
    # The slot is granted to it in the same moment in which it leaves.
    entrance.leave(first)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert (entrance.queue.length, entrance.in_flight) == (0, 0)


def test_service_follows_the_weights() -> None:
    queue = FairQueue()
    for _ in range(60):
        queue.push(ticket('heavy', weight=2), 0)
        queue.push(ticket('light'), 0)
    served: Counter[str] = Counter()
    for _ in range(30):
        chosen = queue.candidates()[0].waiting[0][-1]
        queue.remove(chosen)
        queue.charge(chosen, 0)
        served[chosen.workspace] += 1
    assert served == {'heavy': 20, 'light': 10}


def test_idle_workspace_saves_up_no_service() -> None:
    queue = FairQueue()
    for _ in range(50):
        queue.charge(ticket('busy'), 0)
    for _ in range(20):
        queue.push(ticket('busy'), 0)
        queue.push(ticket('back'), 0)
    served: Counter[str] = Counter()
    for _ in range(10):
        chosen = queue.candidates()[0].waiting[0][-1]
        queue.remove(chosen)
        queue.charge(chosen, 0)
        served[chosen.workspace] += 1
    assert served['busy'] >= 4


def test_window_shrinks_where_engines_queue_and_recovers() -> None:
    window = Window()
    calm = Capacity(slots=64, in_flight=60, waiting=0, entries=4)
    window.adapt(calm, 0, is_short=True)
    assert window.size == 16
    busy = Capacity(slots=64, in_flight=80, waiting=16, entries=4)
    for step in range(200):
        window.adapt(busy, step, is_short=True)
    assert window.size == 8
    for step in range(400):
        window.adapt(calm, step, is_short=True)
    assert window.size == pytest.approx(16, rel=0.01)


def test_window_grows_into_idle_slots_when_requests_wait() -> None:
    window = Window()
    idle = Capacity(slots=64, in_flight=16, waiting=0, entries=4)
    for step in range(400):
        window.adapt(idle, step, is_short=True)
    assert window.size == 64
