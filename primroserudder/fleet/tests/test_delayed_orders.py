"""Groups stay whole and apart while orders are lost, late or unanswered."""

import asyncio
import itertools
import random
from dataclasses import dataclass, field

import pytest

from ...process.clock import LoopClock
from ...process.decisions import DecisionLog
from ...process.metrics import Metrics
from ...testing.fleetdata import STALL_S
from ...testing.lateorders import STEP_S, LateEngine, LateEngines
from ..actions import Release
from ..group_lifecycle import EngineSnapshot, GroupProgress, next_actions
from ..model import Formation
from ..order_sender import OrderSender

pytestmark = pytest.mark.looptime
SECONDS = 50
ENGINES = 10
GROUP_SIZE = 3


@dataclass(slots=True)
class FormationKeeper:
    """Forms groups of whatever is free, and tends them."""

    engines: LateEngines
    giver: OrderSender
    standings: list[GroupProgress] = field(default_factory=list)
    epochs: 'itertools.count[int]' = field(
        default_factory=lambda: itertools.count(1)
    )

    def run_round(self, now: float) -> None:
        """Do one round."""
        listed = self.engines.listed()
        sight = EngineSnapshot(listed, (), STALL_S, now)
        for progress in tuple(self.standings):
            for action in next_actions(progress, sight):
                if isinstance(action, Release):
                    self.standings.remove(progress)
                elif self.giver.is_due(action):
                    self.giver.send(action, progress)
        self._form(now)

    def _form(self, now: float) -> None:
        listed = self.engines.listed()
        claimed = {
            member
            for progress in self.standings
            for member in progress.formation.members
        }
        free = [one for one in listed if one not in claimed]
        while len(free) >= GROUP_SIZE:
            members = tuple(free.pop() for _ in range(GROUP_SIZE))
            epoch = next(self.epochs)
            new_formation = Formation(f'small.{epoch}', epoch, 'small', members)
            born = {one: listed[one].born_ms for one in members}
            self.standings.append(
                GroupProgress(new_formation, born, now, is_open_ordered=False)
            )


def _keeper(seed: int) -> FormationKeeper:
    clock = LoopClock()
    engines = LateEngines(
        random.Random(seed),
        STALL_S,
        {f'e{number}': LateEngine(f'e{number}') for number in range(ENGINES)},
    )
    giver = OrderSender(
        engines,  # type: ignore[arg-type]
        clock,
        DecisionLog('test', clock, lines_per_s=0, burst_lines=0),
        Metrics(),
        asyncio.Event(),
        lambda: True,
    )
    return FormationKeeper(engines, giver)


@pytest.mark.parametrize('seed', range(24))
async def test_no_late_order_shares_an_engine_or_opens_a_part(
    seed: int,
) -> None:
    keeper = _keeper(seed)
    loop = asyncio.get_running_loop()
    until = loop.time() + SECONDS
    while loop.time() < until:
        keeper.engines.step(loop.time())
        keeper.run_round(loop.time())
        await asyncio.sleep(STEP_S)
    assert not keeper.engines.violations
    assert keeper.engines.openings > 0
