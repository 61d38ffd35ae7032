"""Decides when requests spill over to other failure domains."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..process.metrics import Metrics
from .catalogue import Pool
from .scoring import Scorer

SPILL_ABOVE = 0.9
RETURN_BELOW = 0.75
SPILL_INTO_BELOW = 0.85
UTILISATION_LIFETIME_S = 0.25


@dataclass(frozen=True, slots=True)
class _CachedUtilisation:
    """Utilisation of a pool at a monotonic time in seconds."""

    utilisation: float
    computed_at: float


@dataclass(slots=True)
class SpillOver:
    """Spills requests over, with hysteresis on the pools' utilisation.

    Explanation
    ===========
    A deployment starts to spill when its pool in this failure domain is used
    above ``SPILL_ABOVE``, and stops below ``RETURN_BELOW``.
    """

    failure_domain: str
    scorer: Scorer
    metrics: Metrics
    spilling: set[str] = field(default_factory=set)
    _cached_by_pool: dict[tuple[str, str], _CachedUtilisation] = field(
        default_factory=dict,
    )

    def is_spilling(
        self,
        deployment: str,
        pools: Mapping[str, Pool],
        now: float,
    ) -> bool:
        """Return whether groups of other failure domains are candidates."""
        local_pool = pools.get(self.failure_domain)
        if local_pool is None:
            return True
        utilisation = self._utilisation(
            deployment, self.failure_domain, local_pool, now
        )
        if deployment in self.spilling:
            if utilisation < RETURN_BELOW:
                self.spilling.discard(deployment)
        elif utilisation > SPILL_ABOVE:
            self.spilling.add(deployment)
            self.metrics.count('spill_overs', deployment=deployment)
        return deployment in self.spilling

    def targets(
        self,
        deployment: str,
        pools: Mapping[str, Pool],
        now: float,
    ) -> list[Pool]:
        """Return other failure domains' pools, the least utilised first.

        Explanation
        ===========
        Pools at or above ``SPILL_INTO_BELOW`` are left out, unless this
        failure domain has no pool.
        """
        others = [
            (self._utilisation(deployment, domain, pool, now), domain)
            for domain, pool in pools.items()
            if domain != self.failure_domain
        ]
        has_local_pool = self.failure_domain in pools
        return [
            pools[domain]
            for utilisation, domain in sorted(others)
            if utilisation < SPILL_INTO_BELOW or not has_local_pool
        ]

    def _utilisation(
        self,
        deployment: str,
        domain: str,
        pool: Pool,
        now: float,
    ) -> float:
        cached = self._cached_by_pool.get((deployment, domain))
        if cached is None or now - cached.computed_at >= UTILISATION_LIFETIME_S:
            cached = _CachedUtilisation(
                self.scorer.utilisation(pool.groups), now
            )
            self._cached_by_pool[deployment, domain] = cached
        return cached.utilisation
