"""Load of a stand-in engine, reported with a delay."""

from collections import deque
from dataclasses import dataclass, field

from ..process.clock import Clock
from ..process.engines import EngineLoad


@dataclass(slots=True)
class LoadLog:
    """Recent loads; the reported load is the one of ``lag_s`` ago."""

    clock: Clock
    lag_s: float
    _loads: deque[tuple[float, EngineLoad]] = field(default_factory=deque)

    def record(self, load: EngineLoad) -> None:
        """Record the load after a change."""
        self._loads.append((self.clock.monotonic(), load))
        self._drop_old()

    def reported(self, idle: EngineLoad) -> EngineLoad:
        """Return the load of ``lag_s`` ago, or ``idle`` if none is recorded."""
        self._drop_old()
        latest = self.clock.monotonic() - self.lag_s
        if not self._loads or self._loads[0][0] > latest:
            return idle
        return self._loads[0][1]

    def _drop_old(self) -> None:
        latest = self.clock.monotonic() - self.lag_s
        loads = self._loads
        while len(loads) > 1 and loads[1][0] <= latest:
            loads.popleft()
