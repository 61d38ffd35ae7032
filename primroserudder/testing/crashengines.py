"""Engines of a model of crashes, in virtual time."""

import asyncio
import enum
from dataclasses import dataclass, field, replace

from ..fleet.directory import Directory
from ..fleet.model import Engine, Target
from .fleetdata import engine as listed_engine

SLOTS = 18
# An engine that ended leaves the list after this time.
LIST_LAG_S = 3.0
MS_PER_S = 1000


class RunEnding(enum.Enum):
    """How a run ended, as its VM sees it."""

    WHOLE = 'whole'
    BROKEN = 'broken'


@dataclass(slots=True, eq=False)
class ModelEngine:
    """An engine with slots, which may end and come back."""

    engine_id: str
    failure_domain: str
    directory: Directory
    is_up: bool = True
    is_paused: bool = False
    born_ms: int = 1
    # In the order in which they came, so that a seed gives one outcome.
    runs: dict['asyncio.Future[RunEnding]', None] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """List the engine."""
        self._list()

    @property
    def is_open(self) -> bool:
        """Return whether the engine takes another request."""
        return self.is_up and not self.is_paused and len(self.runs) < SLOTS

    def target(self) -> Target:
        """Return the engine as a destination of requests."""
        return Target(
            self.engine_id,
            '127.0.0.1:1',
            self.failure_domain,
            SLOTS,
            f'{self.engine_id}.1',
            born_ms=self.born_ms,
        )

    def end(self, repair_s: float) -> None:
        """End at once, and be back after some seconds."""
        if not self.is_up:
            return
        self.is_up = False
        self.break_connections()
        loop = asyncio.get_running_loop()
        loop.call_later(LIST_LAG_S, self._leave_list)
        loop.call_later(repair_s, self._start)

    def break_connections(self) -> None:
        """Break the connections of all runs."""
        for run in tuple(self.runs):
            if not run.done():
                run.set_result(RunEnding.BROKEN)

    def pause(self, seconds: float) -> None:
        """Take no requests for some time."""
        self.is_paused = True
        asyncio.get_running_loop().call_later(seconds, self._go_on)

    def _go_on(self) -> None:
        self.is_paused = False

    def _start(self) -> None:
        self.is_up = True
        self.born_ms = int(asyncio.get_running_loop().time() * MS_PER_S) + 2
        self._list()

    def _leave_list(self) -> None:
        if not self.is_up:
            self.directory.engines_by_id.pop(self.engine_id, None)

    def _list(self) -> None:
        listed: Engine = listed_engine(self.engine_id, slots=SLOTS)
        self.directory.engines_by_id[self.engine_id] = replace(
            listed, born_ms=self.born_ms
        )
