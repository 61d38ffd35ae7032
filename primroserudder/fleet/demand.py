"""How many groups of each model the load asks for.

Explanation
===========
Answers a day whose load by model differs from what the configuration says,
and bursts. Groups beyond the need are not formed: their engines serve the
site better as spares, of which the losses of a day need many.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from .directory import pool_name
from .model import EngineSpec, ModelSpec

# Part of the engines that the first groups take; the others are spares.
FIRST_SHARE = 0.7
# Places in use on average, so that bursts find free ones.
WANTED_USE = 0.6
# Peaks of the load are remembered about this long.
PEAK_MEMORY_S = 12.0
# Measured load can't lower the wanted groups below this part of the first.
LEAST_SHARE = 0.5


def initial_groups(spec: EngineSpec, engines: int) -> Mapping[str, float]:
    """Return the wanted groups by model before any load was seen.

    Examples
    ========
    >>> large = ModelSpec('large', 6, 0.67, 16, 1.6)
    >>> small = ModelSpec('small', 3, 0.33, 12, 1.1)
    >>> models = {one.name: one for one in (large, small)}
    >>> initial_groups(EngineSpec(13, models, 0, 5, 8), 66)
    {'large': 5, 'small': 5}
    """
    models = spec.models_by_name.values()
    total = sum(model.work_share for model in models) or 1
    return {
        model.name: max(
            1,
            round(
                FIRST_SHARE
                * engines
                * model.work_share
                / total
                / model.group_size
            ),
        )
        for model in models
    }


@dataclass(slots=True)
class DemandMeter:
    """Remembers the peaks of the load by pool."""

    peak_by_pool: dict[str, float] = field(default_factory=dict)
    _seen_at: float = 0

    def record(self, load_by_pool: Mapping[str, int], now: float) -> None:
        """Take over the requests that run or wait, by pool."""
        faded = math.exp(-max(0, now - self._seen_at) / PEAK_MEMORY_S)
        self._seen_at = now
        for pool, load in load_by_pool.items():
            known = self.peak_by_pool.get(pool, 0) * faded
            self.peak_by_pool[pool] = max(known, load)

    def wanted(
        self,
        service: str,
        spec: EngineSpec,
        engines: int,
        *,
        has_traffic: bool,
    ) -> Mapping[str, float]:
        """Return the wanted groups by model."""
        first = initial_groups(spec, engines)
        if not has_traffic:
            return first
        return {
            name: max(
                LEAST_SHARE * first[name],
                self._groups(pool_name(service, name), spec),
            )
            for name in _names(spec.models_by_name.values())
        }

    def _groups(self, pool: str, spec: EngineSpec) -> float:
        places = self.peak_by_pool.get(pool, 0) / WANTED_USE
        return math.ceil(places / max(spec.slots, 1))


def _names(models: Iterable[ModelSpec]) -> list[str]:
    return [model.name for model in models]
