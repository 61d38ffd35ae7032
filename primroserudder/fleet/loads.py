"""Bounds how many engines load weights at once and a second."""

from collections import deque
from dataclasses import dataclass, field

from ..process.clock import Clock
from .model import EngineSpec, ModelSpec

# Loads begun before the first request are quick and are not counted.
QUICK_LOAD_SHARE = 0.1
RATE_SHARE = 0.9
RATE_WINDOW_S = 5.0
# Loads at once that are kept for repairs.
URGENT_LOADS = 1
# Loads beyond that, before traffic, so that the store is never idle.
SPARE_LOADS = 1


@dataclass(slots=True)
class LoadGate:
    """Lets loads begin while the weight store can carry them.

    Explanation
    ===========
    Loads beyond what the store carries at once slow each other, so that the
    first group would stand no sooner than the last.
    """

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
        self._forget(now)
        if engine_id in self.until_by_engine:
            return False
        room = spec.loads_at_once
        if not has_traffic:
            room += SPARE_LOADS
        elif not is_urgent:
            room = max(1, room - URGENT_LOADS)
        if len(self.until_by_engine) >= room:
            return False
        allowed = spec.loads_per_s * RATE_SHARE * RATE_WINDOW_S
        if has_traffic and len(self._begun) >= allowed:
            return False
        share = 1 if has_traffic else QUICK_LOAD_SHARE
        takes_s = model.load_s * share
        self.until_by_engine[engine_id] = now + takes_s
        self.model_by_engine[engine_id] = model.name
        if has_traffic:
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

    def _forget(self, now: float) -> None:
        while self._begun and self._begun[0] <= now - RATE_WINDOW_S:
            self._begun.popleft()
        for engine_id, until in tuple(self.until_by_engine.items()):
            if until <= now:
                self.until_by_engine.pop(engine_id)
