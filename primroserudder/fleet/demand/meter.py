"""Computes how many groups of each model the load needs.

Explanation
===========
The load by model may differ from the shares in the configuration, and it may
come in bursts. No groups are formed beyond the need: their engines are more
useful as spares, because a day with many losses uses up many spares.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from ..directorynames import pool_name
from ..model import EngineSpec, ModelSpec
from .groupload import usable_requests

# Fraction of the engines that the initial groups have at least; the others are
# spares.
MIN_SERVING_SHARE = 0.7
# Spares that each fabric domain with groups keeps; they repair only its own.
SPARES_PER_DOMAIN = 2
# The loss of one of so many groups takes a fifth of a model's slots.
MIN_GROUPS = 5
# Time constant of the exponential decay of a load peak.
PEAK_DECAY_S = 12.0
# Measured load never lowers the wanted groups below this fraction of the
# initial groups.
MIN_INITIAL_SHARE = 0.5


def initial_groups(
    spec: EngineSpec, domain_sizes: Sequence[int]
) -> Mapping[str, float]:
    """Return the wanted number of groups by model before any traffic.

    Explanation
    ===========
    All groups have the same number of slots, so that their number follows
    the slots that a model's work occupies, and not the size of its groups.
    Each model gets a few groups at least, so that the loss of one takes no
    large part of its slots, and no more than the fabric domains have room for.

    Parameters
    ==========
    domain_sizes : Sequence
        The number of engines of each fabric domain.

    Examples
    ========
    >>> large = ModelSpec('large', 6, 0.67, 16, 1.6, pace=1)
    >>> small = ModelSpec('small', 3, 0.33, 12, 1.1, pace=0.6)
    >>> models = {model.name: model for model in (large, small)}
    >>> initial_groups(EngineSpec(13, models, 0, 5, 8), [11] * 6)
    {'small': 5, 'large': 5}
    >>> initial_groups(EngineSpec(13, models, 0, 5, 8), [33] * 20)
    {'small': 25, 'large': 86}
    """
    serving = _serving_engines(domain_sizes)
    groups: dict[str, float] = {}
    models = sorted(spec.models_by_name.values(), key=_group_size)
    for number, model in enumerate(models):
        room = sum(size // model.group_size for size in domain_sizes)
        count = _count_by_work(models[number:], serving)
        groups[model.name] = max(1, min(count, room))
        serving -= groups[model.name] * model.group_size
    return groups


def _serving_engines(domain_sizes: Sequence[int]) -> float:
    """Return the engines for groups: all but those for repairs.

    Explanation
    ===========
    A whole fabric domain may go dark, and each of the others loses engines.
    In a site with few domains that would be nearly half of the engines.
    """
    engines = sum(domain_sizes)
    others = len(domain_sizes) - 1
    spares = max(domain_sizes, default=0) + SPARES_PER_DOMAIN * others
    return max(MIN_SERVING_SHARE * engines, engines - spares)


def _count_by_work(models: Sequence[ModelSpec], engines: float) -> int:
    """Return the groups of the first of some models that share engines."""
    model = models[0]
    needed = sum(map(_engines_for_work, models)) or 1
    by_work = engines / needed * model.work_share * model.pace
    affordable = int(engines / 2 // model.group_size)
    return max(round(by_work), min(MIN_GROUPS, affordable))


def _group_size(model: ModelSpec) -> int:
    return model.group_size


def _engines_for_work(model: ModelSpec) -> float:
    """Return the engines that a unit of all work needs for a model's share."""
    return model.work_share * model.pace * model.group_size


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
        domain_sizes: Sequence[int],
        *,
        has_traffic: bool,
    ) -> Mapping[str, float]:
        """Return the wanted number of groups by model."""
        initial = initial_groups(spec, domain_sizes)
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
        peak = self.peak_by_pool.get(pool, 0)
        return math.ceil(peak / max(usable_requests(spec), 1))


def _names(models: Iterable[ModelSpec]) -> list[str]:
    return [model.name for model in models]
