"""Computes how many groups of each model the load needs.

Explanation
===========
The load by model may differ from the shares in the configuration, and it may
come in bursts. No groups are formed beyond the need: their engines are more
useful as spares, because a day with many losses uses up many spares.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from .directorynames import pool_name
from .model import EngineSpec, ModelSpec

# Engines of each fabric domain that the initial groups leave as spares; a spare
# repairs only groups of its own domain.
SPARES_PER_DOMAIN = 2
MIN_SERVING_SHARE = 0.5
# Average fraction of slots in use; the rest is left free for bursts.
TARGET_SLOT_USE = 0.6
# Time constant of the exponential decay of a load peak.
PEAK_DECAY_S = 12.0
# Measured load never lowers the wanted groups below this fraction of the
# initial groups.
MIN_INITIAL_SHARE = 0.5


def initial_groups(
    spec: EngineSpec, engines: int, fabric_domains: int
) -> Mapping[str, float]:
    """Return the wanted number of groups by model before any traffic.

    Explanation
    ===========
    All groups have the same number of slots, so that their number follows
    the slots that a model's work occupies, and not the size of its groups.

    Examples
    ========
    >>> large = ModelSpec('large', 6, 0.67, 16, 1.6, pace=1)
    >>> small = ModelSpec('small', 3, 0.33, 12, 1.1, pace=0.6)
    >>> models = {model.name: model for model in (large, small)}
    >>> initial_groups(EngineSpec(13, models, 0, 5, 8), 66, fabric_domains=6)
    {'large': 8, 'small': 2}
    """
    models = spec.models_by_name.values()
    work_by_model = {
        model.name: model.work_share * model.pace for model in models
    }
    engines_per_work = sum(
        work_by_model[model.name] * model.group_size for model in models
    )
    serving = max(
        engines - SPARES_PER_DOMAIN * fabric_domains,
        MIN_SERVING_SHARE * engines,
    )
    groups_per_work = serving / (engines_per_work or 1)
    return {
        name: max(1, round(groups_per_work * work))
        for name, work in work_by_model.items()
    }


@dataclass(slots=True)
class DemandMeter:
    """Tracks decaying peaks of the load by pool, in requests."""

    peak_by_pool: dict[str, float] = field(default_factory=dict)
    _recorded_at: float = 0

    def record(self, load_by_pool: Mapping[str, int], now: float) -> None:
        """Record the number of running and waiting requests by pool.

        Explanation
        ===========
        ``now`` is a monotonic time in seconds.
        """
        decay = math.exp(-max(0, now - self._recorded_at) / PEAK_DECAY_S)
        self._recorded_at = now
        for pool, load in load_by_pool.items():
            decayed_peak = self.peak_by_pool.get(pool, 0) * decay
            self.peak_by_pool[pool] = max(decayed_peak, load)

    def wanted(
        self,
        service: str,
        spec: EngineSpec,
        engines: int,
        fabric_domains: int,
        *,
        has_traffic: bool,
    ) -> Mapping[str, float]:
        """Return the wanted number of groups by model."""
        initial = initial_groups(spec, engines, fabric_domains)
        if not has_traffic:
            return initial
        return {
            name: max(
                MIN_INITIAL_SHARE * initial[name],
                self._needed_groups(pool_name(service, name), spec),
            )
            for name in _names(spec.models_by_name.values())
        }

    def _needed_groups(self, pool: str, spec: EngineSpec) -> float:
        needed_slots = self.peak_by_pool.get(pool, 0) / TARGET_SLOT_USE
        return math.ceil(needed_slots / max(spec.slots, 1))


def _names(models: Iterable[ModelSpec]) -> list[str]:
    return [model.name for model in models]
