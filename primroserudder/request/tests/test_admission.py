"""Tests of overload: window, fair queue and early refusal."""

import asyncio
from collections import Counter

import pytest

from ...process.clock import LoopClock
from ...testing.overloadbench import measure_load, overload, unloaded
from ..fairqueue import FairQueue, Ticket
from ..gate import MAX_WAIT_S, Gate, Overloaded
from ..window import Capacity, Window

DURATION_S = 14
MIN_GOODPUT = 0.9
MAX_REFUSAL_S = 0.05
SHORT_DEADLINE_S = 0.5


def make_ticket(
    workspace: str = 'w', cost: float = 1, **changes: float
) -> Ticket:
    return Ticket(workspace, changes.get('weight', 1), cost)


def make_gate(slots: int = 4) -> Gate:
    capacity = Capacity(slots=slots, in_flight=0, waiting=0, entries=1)
    return Gate(LoopClock(), lambda: capacity)


def test_overload_by_one_workspace_keeps_latency_of_others() -> None:
    baseline = measure_load(unloaded(), DURATION_S, seed=3)
    result = measure_load(overload(), DURATION_S, seed=3)
    assert result.goodput_of_capacity >= MIN_GOODPUT
    assert result.small_p95_s <= 1.25 * baseline.small_p95_s
    assert result.refusal_p99_s <= MAX_REFUSAL_S
    assert result.refused_by_code.keys() == {'large/overloaded'}
    assert result.refusals > 0


@pytest.mark.looptime
async def test_timed_out_request_leaves_queue_and_is_never_granted() -> None:
    gate = make_gate()
    held_tickets = [make_ticket() for _ in range(4)]
    for held_ticket in held_tickets:
        await gate.enter(held_ticket, deadline=100)
    # A cost scale of 0 disables the early refusal, so the request waits.
    gate.cost_scale = 0
    late = make_ticket('other')
    with pytest.raises(Overloaded):
        await gate.enter(late, deadline=100)
    assert gate.clock.monotonic() == MAX_WAIT_S
    for held_ticket in held_tickets:
        gate.leave(held_ticket)
    assert not late.is_granted
    assert (gate.queue.length, gate.in_flight) == (0, 0)


@pytest.mark.looptime
async def test_request_with_long_expected_wait_is_refused_at_once() -> None:
    gate = make_gate()
    for _ in range(4):
        await gate.enter(make_ticket(), deadline=100)
    queued = [
        asyncio.create_task(gate.enter(make_ticket(cost=2), deadline=100))
        for _ in range(3)
    ]
    await asyncio.sleep(0)
    # Three requests need 6 slot seconds, which four slots take 1.5 s to serve.
    with pytest.raises(Overloaded) as refused:
        await gate.enter(make_ticket(), deadline=100)
    assert gate.clock.monotonic() == 0
    assert refused.value.retry_after == 2
    for task in queued:
        task.cancel()
    await asyncio.gather(*queued, return_exceptions=True)
    assert gate.queue.length == 0


@pytest.mark.looptime
async def test_deadline_limits_wait() -> None:
    gate = make_gate(1)
    await gate.enter(make_ticket(), deadline=100)
    gate.cost_scale = 0
    with pytest.raises(Overloaded):
        await gate.enter(make_ticket(), deadline=SHORT_DEADLINE_S)
    assert gate.clock.monotonic() == SHORT_DEADLINE_S


@pytest.mark.looptime
async def test_cancelled_caller_releases_its_slot() -> None:
    gate = make_gate(1)
    first = make_ticket()
    await gate.enter(first, deadline=100)
    gate.cost_scale = 0
    waiting = asyncio.create_task(gate.enter(make_ticket(), deadline=100))
    await asyncio.sleep(0.1)
    # The slot is granted just before the caller is cancelled.
    gate.leave(first)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert (gate.queue.length, gate.in_flight) == (0, 0)


def test_service_is_proportional_to_weights() -> None:
    queue = FairQueue()
    for _ in range(60):
        queue.push(make_ticket('heavy', weight=2), 0)
        queue.push(make_ticket('light'), 0)
    served: Counter[str] = Counter()
    for _ in range(30):
        chosen = queue.waiting_flows()[0].waiting[0][-1]
        queue.remove(chosen)
        queue.charge(chosen, 0)
        served[chosen.workspace] += 1
    assert served == {'heavy': 20, 'light': 10}


def test_idle_workspace_accumulates_no_credit() -> None:
    queue = FairQueue()
    for _ in range(50):
        queue.charge(make_ticket('busy'), 0)
    for _ in range(20):
        queue.push(make_ticket('busy'), 0)
        queue.push(make_ticket('back'), 0)
    served: Counter[str] = Counter()
    for _ in range(10):
        chosen = queue.waiting_flows()[0].waiting[0][-1]
        queue.remove(chosen)
        queue.charge(chosen, 0)
        served[chosen.workspace] += 1
    assert served['busy'] >= 4


def test_window_shrinks_while_engines_queue_and_recovers() -> None:
    window = Window()
    no_queue = Capacity(slots=64, in_flight=60, waiting=0, entries=4)
    window.adapt(no_queue, 0, is_short=True)
    assert window.size == 16
    long_queue = Capacity(slots=64, in_flight=80, waiting=16, entries=4)
    for step in range(200):
        window.adapt(long_queue, step, is_short=True)
    assert window.size == 8
    for step in range(400):
        window.adapt(no_queue, step, is_short=True)
    assert window.size == pytest.approx(16, rel=0.01)


def test_window_grows_into_idle_slots_when_requests_wait() -> None:
    window = Window()
    idle = Capacity(slots=64, in_flight=16, waiting=0, entries=4)
    for step in range(400):
        window.adapt(idle, step, is_short=True)
    assert window.size == 64
