"""How requests of uneven sizes fared under one choice of targets."""

import math
from collections import defaultdict
from collections.abc import Callable, Hashable, Mapping, Sequence
from dataclasses import dataclass

TENTHS = 10


@dataclass(frozen=True, slots=True)
class CostedEnding:
    """A request with the time to its first event, infinite without one."""

    request_class: str
    tokens: int
    first_event_s: float
    is_in_time: bool


@dataclass(frozen=True, slots=True)
class CostOutcome:
    """All requests of some replays."""

    endings: Sequence[CostedEnding]

    def percentile_s(self, percentile: float) -> float:
        """Return a percentile of the time to the first event, in seconds."""
        times = sorted(ending.first_event_s for ending in self.endings)
        place = math.ceil(percentile / 100 * len(times)) - 1
        return times[max(0, place)]

    def in_time(self) -> float:
        """Return the share of requests in time."""
        return _share(self.endings)

    def without_event(self) -> int:
        """Return how many requests got no event."""
        return sum(math.isinf(ending.first_event_s) for ending in self.endings)

    def in_time_by_class(self) -> Mapping[Hashable, float]:
        """Return the share in time by class."""
        return self._by(lambda ending: ending.request_class)

    def in_time_by_tenth(self) -> Mapping[Hashable, float]:
        """Return the share in time by tenth of sizes, the smallest first."""
        tenth_by_tokens = self._tenths()
        return self._by(lambda ending: tenth_by_tokens[ending.tokens])

    def in_time_by_class_and_tenth(self) -> Mapping[Hashable, float]:
        """Return the share in time by class and tenth of sizes."""
        tenth_by_tokens = self._tenths()
        return self._by(
            lambda ending: (
                ending.request_class,
                tenth_by_tokens[ending.tokens],
            )
        )

    def _tenths(self) -> Mapping[int, int]:
        tokens = sorted(ending.tokens for ending in self.endings)
        return {
            size: place * TENTHS // len(tokens)
            for place, size in enumerate(tokens)
        }

    def _by(
        self, key: Callable[[CostedEnding], Hashable]
    ) -> Mapping[Hashable, float]:
        endings_by_key = defaultdict(list)
        for ending in self.endings:
            endings_by_key[key(ending)].append(ending)
        return {
            each: _share(endings) for each, endings in endings_by_key.items()
        }


def worst_difference(
    before: Mapping[Hashable, float], now: Mapping[Hashable, float]
) -> float:
    """Return the least of the differences, negative where one is lower.

    Examples
    ========
    >>> round(worst_difference({'a': 0.5, 'b': 0.75}, {'a': 0.75, 'b': 0.5}), 2)
    -0.25
    """
    return min(now[key] - share for key, share in before.items())


def _share(endings: Sequence[CostedEnding]) -> float:
    return sum(ending.is_in_time for ending in endings) / max(1, len(endings))
