"""How far predicted times to the first event are off.

Explanation
===========
Counts of other routers are a fraction of a second old, and all routers see the
same ones. Where the predictions turn out to be far off, differences between
them say little, and choices by them would send the requests of all routers to
the same engines.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

# The newest request counts at least this much.
MIN_GAIN = 0.03
# The first error counts as if so many were known.
ASSUMED = 3


@dataclass(slots=True)
class _Error:
    mean_s: float
    requests: int = 0


@dataclass(slots=True)
class PredictionErrors:
    """Mean absolute error of the predictions in seconds, by pool."""

    _by_pool: dict[str, _Error] = field(default_factory=dict)

    def error_s(self, pool: str, assumed_s: float) -> float:
        """Return a pool's mean error, an assumed one before the first."""
        error = self._by_pool.get(pool)
        return assumed_s if error is None else error.mean_s

    def record(
        self, pool: str, predicted_s: float, observed_s: float, assumed_s: float
    ) -> None:
        """Record a predicted and an observed time to the first event."""
        error = self._by_pool.setdefault(pool, _Error(assumed_s))
        error.requests += 1
        gain = max(MIN_GAIN, 1 / (error.requests + ASSUMED))
        off_s = abs(observed_s - predicted_s)
        error.mean_s += gain * (off_s - error.mean_s)

    def dump(self) -> Mapping[str, float]:
        """Return the errors by pool, for the state dump."""
        return {
            pool: round(error.mean_s, 4)
            for pool, error in self._by_pool.items()
        }
