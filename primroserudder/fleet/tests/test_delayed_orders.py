"""Tests that groups stay complete and disjoint despite lost or late orders.

Orders may also remain unanswered.
"""

import asyncio
import itertools
import random
from dataclasses import dataclass, field

import pytest

from ...process.clock import LoopClock
from ...process.decisions import DecisionLog
from ...process.metrics import Metrics
from ...testing.delayedorders import STEP_S, DelayedEngine, DelayedEngines
from ...testing.fleetdata import STALL_S
from ..actions import Release
from ..group_lifecycle import EngineSnapshot, GroupProgress, next_actions
from ..model import Formation
from ..order_sender import OrderSender

pytestmark = pytest.mark.looptime
SECONDS = 50
ENGINES = 10
GROUP_SIZE = 3


@dataclass(slots=True)
class FormationReconciler:
    """Forms groups of any free engines and sends their orders."""

    engines: DelayedEngines
    sender: OrderSender
    groups: list[GroupProgress] = field(default_factory=list)
    epochs: 'itertools.count[int]' = field(
        default_factory=lambda: itertools.count(1)
    )

    def run_round(self, now: float) -> None:
        """Run one reconcile round."""
        listed = self.engines.listed()
        snapshot = EngineSnapshot(listed, frozenset(), STALL_S, now)
        for progress in tuple(self.groups):
            for action in next_actions(progress, snapshot):
                if isinstance(action, Release):
                    self.groups.remove(progress)
                elif self.sender.is_due(action):
                    self.sender.send(action, progress)
        self._form(now)

    def _form(self, now: float) -> None:
        listed = self.engines.listed()
        claimed = {
            member
            for progress in self.groups
            for member in progress.formation.members
        }
        free = [engine for engine in listed if engine not in claimed]
        while len(free) >= GROUP_SIZE:
            members = tuple(free.pop() for _ in range(GROUP_SIZE))
            epoch = next(self.epochs)
            new_formation = Formation(f'small.{epoch}', epoch, 'small', members)
            born = {member: listed[member].born_ms for member in members}
            self.groups.append(
                GroupProgress(new_formation, born, now, is_open_ordered=False)
            )


def _reconciler(seed: int) -> FormationReconciler:
    clock = LoopClock()
    engines = DelayedEngines(
        random.Random(seed),
        STALL_S,
        {
            f'e{number}': DelayedEngine(f'e{number}')
            for number in range(ENGINES)
        },
    )
    sender = OrderSender(
        engines,  # type: ignore[arg-type]
        clock,
        DecisionLog('test', clock, lines_per_s=0, burst_lines=0),
        Metrics(),
        asyncio.Event(),
        lambda: True,
    )
    return FormationReconciler(engines, sender)


@pytest.mark.parametrize('seed', range(24))
async def test_late_orders_never_share_an_engine_or_open_a_partial_group(
    seed: int,
) -> None:
    reconciler = _reconciler(seed)
    loop = asyncio.get_running_loop()
    until = loop.time() + SECONDS
    while loop.time() < until:
        reconciler.engines.step(loop.time())
        reconciler.run_round(loop.time())
        await asyncio.sleep(STEP_S)
    assert not reconciler.engines.violations
    assert reconciler.engines.openings > 0
