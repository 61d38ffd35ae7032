"""Work is counted with the grant of a slot, and undone if nobody takes it."""

import asyncio
import contextlib

import pytest

from ....process.clock import LoopClock
from ....testing.costdata import costed, request_costs, size
from ....testing.fleetdata import call, target
from ...membership import InFlightCounts
from ...model import Target
from ...slotqueues import SlotQueues
from ..calls import CallCosts


@pytest.mark.parametrize('leaves', [True, False])
async def test_slot_granted_as_the_caller_leaves_leaves_no_work(
    leaves: bool,
) -> None:
    counts = InFlightCounts()
    costs = request_costs(counts)
    queues = SlotQueues(
        counts, LoopClock(), lambda _target: None, CallCosts(costs)
    )
    request = call()
    request.cost = costed(costs, size(prompt=50_000))
    free: list[Target] = []
    waiting = asyncio.ensure_future(
        queues.acquire(request, lambda: free[0] if free else None, 1)
    )
    await asyncio.sleep(0)
    free.append(target('i-1'))
    queues.grant_free_slots()
    assert counts.own_reading()
    if leaves:
        waiting.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        queues.release(request, await waiting)
    assert not counts.own_reading()
    assert not counts.own_held()
    assert not counts.running_by_engine
