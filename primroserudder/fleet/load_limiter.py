"""Limits concurrent loads of model weights and their rate.

Explanation
===========
During traffic, more loads than the weight store can serve slow each other
down. Only a few therefore run at once, and some capacity is reserved for
repairs. Before the first request loads are quick, and the length of that time
is unknown: a site that starts late has to load all of its models in it, as
otherwise most of them stay unloaded during the first minutes of traffic.
"""

from collections import deque
from dataclasses import dataclass, field

from ..process.clock import Clock
from .model import EngineSpec, ModelSpec

# Before the first request a load takes this fraction of its usual time, and
# the limit of concurrent loads does not apply.
IDLE_LOAD_TIME_SHARE = 0.1
RATE_LIMIT_SHARE = 0.9
RATE_WINDOW_S = 5.0
# A notice of the first request reaches the lease holder within this time.
TRAFFIC_NOTICE_LAG_S = 0.2
# Concurrent loads that are reserved for repairs.
RESERVED_REPAIR_LOADS = 1


@dataclass(slots=True)
class LoadLimiter:
    """Admits loads within the capacity of the weight store."""

    clock: Clock
    until_by_engine: dict[str, float] = field(default_factory=dict)
    model_by_engine: dict[str, str] = field(default_factory=dict)
    _load_starts: deque[float] = field(default_factory=deque)

    def try_begin_load(
        self,
        engine_id: str,
        spec: EngineSpec,
        model: ModelSpec,
        *,
        has_traffic: bool,
        is_urgent: bool = False,
    ) -> bool:
        """Admit and count a load; return whether it was admitted.

        Parameters
        ==========
        is_urgent : bool
            Whether the load repairs a group. Other loads leave the reserved
            capacity free.
        """
        now = self.clock.monotonic()
        self._drop_expired(
            now, RATE_WINDOW_S if has_traffic else TRAFFIC_NOTICE_LAG_S
        )
        if engine_id in self.until_by_engine:
            return False
        if has_traffic and not self._has_room(spec, is_urgent=is_urgent):
            return False
        # The first request may already have arrived: loads that started within
        # the notice lag count against the rate even before traffic is known.
        if (
            len(self._load_starts)
            >= spec.loads_per_s * RATE_LIMIT_SHARE * RATE_WINDOW_S
        ):
            return False
        time_share = 1 if has_traffic else IDLE_LOAD_TIME_SHARE
        duration_s = model.load_s * time_share
        self.until_by_engine[engine_id] = now + duration_s
        self.model_by_engine[engine_id] = model.name
        self._load_starts.append(now)
        return True

    def loading(self, engine_id: str) -> str:
        """Return the model that an engine is loading, empty if none."""
        if self.until_by_engine.get(engine_id, 0) <= self.clock.monotonic():
            return ''
        return self.model_by_engine[engine_id]

    def end(self, engine_id: str) -> None:
        """Record that the load of an engine has finished."""
        self.until_by_engine.pop(engine_id, None)

    def _has_room(self, spec: EngineSpec, *, is_urgent: bool) -> bool:
        limit = spec.loads_at_once
        if not is_urgent:
            limit = max(1, limit - RESERVED_REPAIR_LOADS)
        return len(self.until_by_engine) < limit

    def _drop_expired(self, now: float, window_s: float) -> None:
        while self._load_starts and self._load_starts[0] <= now - window_s:
            self._load_starts.popleft()
        for engine_id, until in tuple(self.until_by_engine.items()):
            if until <= now:
                self.until_by_engine.pop(engine_id)
