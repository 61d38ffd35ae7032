"""Bounds how many engines load weights at once and a second.

Explanation
===========
Answers two patterns. While requests come, loads slow each other beyond what
the weight store carries, so that few run at once and some room is kept for
repairs. Before the first request loads are quick, and nobody knows how long
that lasts: a site that comes up late is loaded whole in that time, or hardly
at all for the first minutes of its day.
"""

from collections import deque
from dataclasses import dataclass, field

from ..process.clock import Clock
from .model import EngineSpec, ModelSpec

# Loads begun before the first request are quick and are not counted.
QUICK_LOAD_SHARE = 0.1
RATE_SHARE = 0.9
RATE_WINDOW_S = 5.0
# The news of the first request reaches the lease's holder within this time.
NEWS_LAG_S = 0.2
# Loads at once that are kept for repairs.
URGENT_LOADS = 1


@dataclass(slots=True)
class LoadLimiter:
    """Lets loads begin while the weight store can carry them."""

    clock: Clock
    until_by_engine: dict[str, float] = field(default_factory=dict)
    model_by_engine: dict[str, str] = field(default_factory=dict)
    _begun: deque[float] = field(default_factory=deque)

    def may_load(
        self,
        engine_id: str,
        spec: EngineSpec,
        model: ModelSpec,
        *,
        has_traffic: bool,
        is_urgent: bool = False,
    ) -> bool:
        """Return whether an engine may begin a load, and count it.

        Parameters
        ==========
        is_urgent : bool
            The load repairs a group; the others leave room for such.
        """
        now = self.clock.monotonic()
        self._forget(now, RATE_WINDOW_S if has_traffic else NEWS_LAG_S)
        if engine_id in self.until_by_engine:
            return False
        if has_traffic and not self._has_room(spec, is_urgent=is_urgent):
            return False
        # Loads of the last moment may turn out to be later than a request.
        if len(self._begun) >= spec.loads_per_s * RATE_SHARE * RATE_WINDOW_S:
            return False
        share = 1 if has_traffic else QUICK_LOAD_SHARE
        takes_s = model.load_s * share
        self.until_by_engine[engine_id] = now + takes_s
        self.model_by_engine[engine_id] = model.name
        self._begun.append(now)
        return True

    def loading(self, engine_id: str) -> str:
        """Return the model that an engine loads, empty if none."""
        if self.until_by_engine.get(engine_id, 0) <= self.clock.monotonic():
            return ''
        return self.model_by_engine[engine_id]

    def end(self, engine_id: str) -> None:
        """Note that an engine holds what it loaded."""
        self.until_by_engine.pop(engine_id, None)

    def _has_room(self, spec: EngineSpec, *, is_urgent: bool) -> bool:
        room = spec.loads_at_once
        if not is_urgent:
            room = max(1, room - URGENT_LOADS)
        return len(self.until_by_engine) < room

    def _forget(self, now: float, window_s: float) -> None:
        while self._begun and self._begun[0] <= now - window_s:
            self._begun.popleft()
        for engine_id, until in tuple(self.until_by_engine.items()):
            if until <= now:
                self.until_by_engine.pop(engine_id)
