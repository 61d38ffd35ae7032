"""Decides when requests leave their own failure domain."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..process.metrics import Metrics
from .catalogue import Pool
from .scoring import Scorer

SPILL_ABOVE = 0.9
RETURN_BELOW = 0.75
SPILL_INTO_BELOW = 0.85
AGGREGATE_LIFETIME_S = 0.25


@dataclass(frozen=True, slots=True)
class _Aggregate:
    """The share of a pool's slots that was taken at a time."""

    utilisation: float
    made_at: float


@dataclass(slots=True)
class SpillOver:
    """Spills with hysteresis, by the utilisation of whole pools."""

    failure_domain: str
    scorer: Scorer
    metrics: Metrics
    spilling: set[str] = field(default_factory=set)
    _aggregates: dict[tuple[str, str], _Aggregate] = field(
        default_factory=dict,
    )

    def is_spilling(
        self,
        deployment: str,
        pools: Mapping[str, Pool],
        now: float,
    ) -> bool:
        """Return whether other failure domains are candidates too."""
        own = pools.get(self.failure_domain)
        if own is None:
            return True
        taken = self._utilisation(deployment, self.failure_domain, own, now)
        if deployment in self.spilling:
            if taken < RETURN_BELOW:
                self.spilling.discard(deployment)
        elif taken > SPILL_ABOVE:
            self.spilling.add(deployment)
            self.metrics.count('spill_overs', deployment=deployment)
        return deployment in self.spilling

    def targets(
        self,
        deployment: str,
        pools: Mapping[str, Pool],
        now: float,
    ) -> list[Pool]:
        """Return the other pools that have room, the emptiest first."""
        others = [
            (self._utilisation(deployment, domain, pool, now), domain)
            for domain, pool in pools.items()
            if domain != self.failure_domain
        ]
        has_own = self.failure_domain in pools
        return [
            pools[domain]
            for taken, domain in sorted(others)
            if taken < SPILL_INTO_BELOW or not has_own
        ]

    def _utilisation(
        self,
        deployment: str,
        domain: str,
        pool: Pool,
        now: float,
    ) -> float:
        known = self._aggregates.get((deployment, domain))
        if known is None or now - known.made_at >= AGGREGATE_LIFETIME_S:
            known = _Aggregate(self.scorer.utilisation(pool.groups), now)
            self._aggregates[deployment, domain] = known
        return known.utilisation
