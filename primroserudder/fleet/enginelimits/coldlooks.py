"""How often this VM looked lately for a place at each cold engine.

Explanation
===========
A cold spell lasts for a few seconds, so that looks are counted in short
intervals and a rate is known soon after the spell began.
"""

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field

INTERVAL_S = 0.05
# Rates are averages over this many intervals.
AVERAGED = 10
# Intervals that tell how often this VM looks just now.
RECENT = 2
# What a VM did in the last intervals may be unknown to the others still: they
# span the longest time that a notice takes.
UNHEARD = 6
KEPT = AVERAGED + UNHEARD


@dataclass(slots=True)
class _Looks:
    """Looks by number of the interval, since the first look was possible."""

    first: int
    by_interval: Counter[int] = field(default_factory=Counter)

    def rate(self, last: int, count: int) -> float:
        """Return the looks a second in ``count`` intervals up to the last."""
        begin = max(last - count + 1, self.first)
        if begin > last:
            return 0
        looks = sum(self.by_interval[each] for each in range(begin, last + 1))
        # One interval alone may have just begun.
        return looks / (max(last - begin + 1, RECENT) * INTERVAL_S)


@dataclass(slots=True)
class ColdLooks:
    """Looks at cold engines, by their keys."""

    _looks_by_key: dict[int, _Looks] = field(default_factory=dict)

    def note(self, key: int, since: float, now: float) -> None:
        """Record a look at an engine that is cold since a monotonic time."""
        looks = self._looks_by_key.get(key)
        if looks is None:
            looks = _Looks(int(since / INTERVAL_S))
            self._looks_by_key[key] = looks
        last = int(now / INTERVAL_S)
        looks.by_interval[last] += 1
        if len(looks.by_interval) > KEPT:
            looks.by_interval = Counter(
                {
                    number: count
                    for number, count in looks.by_interval.items()
                    if number > last - KEPT
                }
            )

    def rate(self, key: int, now: float) -> float:
        """Return the looks at an engine, a second."""
        looks = self._looks_by_key.get(key)
        return looks.rate(int(now / INTERVAL_S), AVERAGED) if looks else 0

    def unheard_rise(self, key: int, now: float) -> float:
        """Return by how much the rate rose since the others heard of it."""
        looks = self._looks_by_key.get(key)
        if looks is None:
            return 0
        last = int(now / INTERVAL_S)
        recent = looks.rate(last, RECENT)
        return max(0, recent - looks.rate(last - UNHEARD, AVERAGED))

    def rates(self, keys: Collection[int], now: float) -> dict[int, int]:
        """Return the rates for some engines, if any, and forget the others."""
        for warm in self._looks_by_key.keys() - keys:
            self._looks_by_key.pop(warm)
        rates = {key: round(self.rate(key, now)) for key in self._looks_by_key}
        return {key: rate for key, rate in rates.items() if rate}
