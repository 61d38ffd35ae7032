"""Tests of an entry's own planned stop, in virtual time."""

import asyncio

import pytest

from ...connection.drain import Drain, DrainStage
from ...standins.memory import MemoryPlatform
from ..entrystops import EntryStops
from ..membership import Node
from ..metrics import Metrics
from ..stopplanner import StopPlanner, StopRequest
from ..stops import StopKind, StopState

ENTRY = Node('entry-1', 'i1', 'fd-1', 'entry', '')
NOTICE_S = 5


@pytest.mark.looptime
async def test_entry_drains_for_its_stop_and_serves_after_cancellation() -> (
    None
):
    memory = MemoryPlatform()
    planner = StopPlanner(memory, lambda: (ENTRY,))
    drain = Drain(Metrics(), NOTICE_S, limit_s=1)
    stops = EntryStops(memory, ENTRY, drain)
    drain.in_flight = 1
    await stops.step()
    assert drain.stage is DrainStage.SERVING
    await planner.plan(StopRequest('s1', StopKind.ENTRY, 'entry-1'))
    await stops.step()
    await asyncio.sleep(NOTICE_S + 2)
    await stops.step()
    # The drain limit has passed, but a request is still in flight.
    assert (await planner.stops())[0].state is StopState.DRAINING
    drain.in_flight = 0
    await stops.step()
    assert (await planner.stops())[0].state is StopState.SAFE
    await planner.cancel('s1')
    await stops.step()
    assert drain.stage is DrainStage.SERVING


@pytest.mark.looptime
async def test_entry_ignores_the_stop_of_another_entry() -> None:
    memory = MemoryPlatform()
    other = Node('entry-2', 'i1', 'fd-1', 'entry', '')
    planner = StopPlanner(memory, lambda: (ENTRY, other))
    drain = Drain(Metrics(), NOTICE_S)
    stops = EntryStops(memory, ENTRY, drain)
    await planner.plan(StopRequest('s1', StopKind.ENTRY, 'entry-2'))
    await stops.step()
    await asyncio.sleep(NOTICE_S + 2)
    assert drain.stage is DrainStage.SERVING
